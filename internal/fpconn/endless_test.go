package fpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	// maxTestAllocation is far above what a call allocates for the largest permitted header and far
	// below what the endless server sends until the call's deadline.
	maxTestAllocation = 4 << 20
	endlessDeadline   = 2 * time.Second
)

// respondEndlessly sends the first text, and then the repeated text until the client closes the
// connection.
func respondEndlessly(first, repeated string) func(net.Conn, *bufio.Reader) bool {
	return func(c net.Conn, r *bufio.Reader) bool {
		readRequest(r)
		_, err := io.WriteString(c, first)
		chunk := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
		for err == nil {
			_, err = c.Write(chunk)
		}
		return false
	}
}

// allocatedBy returns the bytes that f allocates; the endless server shares the process and
// allocates its chunk once.
func allocatedBy(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessResponse checks that an upstream that sends bytes without end costs a call bounded
// memory, and ends it before its deadline where the end of a part of the response is overdue.
func TestEndlessResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 0\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		first, repeated string
		// complete says that the response is complete before the endless bytes.
		complete bool
	}{
		"status line":                {first: "HTTP/1.1 200 ", repeated: "O"},
		"bytes without a line":       {first: "", repeated: "\x00\xff"},
		"header line":                {first: head + "Long: ", repeated: "x"},
		"header lines":               {first: head, repeated: "Another: x\r\n"},
		"interim responses":          {first: "", repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"interim header lines":       {first: "HTTP/1.1 103 Early Hints\r\n", repeated: "Another: x\r\n"},
		"chunk extension":            {first: chunked + "1;x=", repeated: "x"},
		"chunk extensions":           {first: chunked, repeated: "1;x=" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"chunk length":               {first: chunked, repeated: "0"},
		"trailer line":               {first: chunked + "1\r\na\r\n0\r\nLong: ", repeated: "x"},
		"trailer lines":              {first: chunked + "1\r\na\r\n0\r\n", repeated: "Another: x\r\n"},
		"body over the limit":        {first: head + "Content-Length: 99999999999\r\n\r\n", repeated: "x"},
		"body without a length":      {first: head + "\r\n", repeated: "x"},
		"chunks":                     {first: chunked, repeated: "1\r\na\r\n"},
		"response to another call":   {first: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", repeated: "x"},
		"responses to other calls":   {first: "", repeated: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"bytes after the whole body": {first: head + "Content-Length: 1\r\n\r\na", repeated: "x", complete: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			address := startScriptedServer(t, respondEndlessly(tt.first, tt.repeated), respondWith(formatResponse("1", "b")))
			ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
			defer cancel()
			var err error
			allocated := allocatedBy(func() {
				var res *Response
				res, err = p.Do(ctx, newCall(address, "0", ""))
				if err != nil {
					return
				}
				defer res.Close()
				_, err = ReadAll(res.Body, 64<<10, nil)
			})
			is.NoErr(ctx.Err())
			if allocated > maxTestAllocation {
				t.Errorf("the call allocated %d bytes", allocated)
			}
			if tt.complete {
				is.NoErr(err)
			} else {
				is.True(errors.Is(err, ErrIncompleteResponse))
			}
			body, isNew, err := doCall(p, newCall(address, "1", ""))
			if tt.complete && err != nil {
				// The bytes may arrive just after the connection was found idle.
				is.True(errors.Is(err, ErrIncompleteResponse))
				body, isNew, err = doCall(p, newCall(address, "1", ""))
			}
			is.NoErr(err)
			is.Equal(body, "b")
			is.True(isNew)
		})
	}
}

// TestDiscard checks that the rest of a response is discarded only within its limits of bytes and
// time, and that the connection is reused only after the whole response.
func TestDiscard(t *testing.T) {
	const limit, timeout = 1 << 10, 100 * time.Millisecond
	head := "HTTP/1.1 503 Service Unavailable\r\nId: 0\r\n"
	tests := map[string]struct {
		step  func(net.Conn, *bufio.Reader) bool
		isNew bool
	}{
		"no body":         {step: respondWith(head + "Content-Length: 0\r\n\r\n")},
		"short body":      {step: respondWith(head + "Content-Length: 5\r\n\r\nabcde")},
		"long body":       {step: respondWith(head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)), isNew: true},
		"endless body":    {step: respondEndlessly(head+"\r\n", "x"), isNew: true},
		"unfinished body": {step: respondWith(head + "Content-Length: 5\r\n\r\nab"), isNew: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			address := startScriptedServer(t, tt.step, respondWith(formatResponse("1", "b")))
			res, err := p.Do(context.Background(), newCall(address, "0", ""))
			is.NoErr(err)
			began := fpclock.SinceBoot()
			err = res.Discard(limit, timeout)
			is.Equal(err != nil, tt.isNew)
			is.True(fpclock.SinceBoot()-began < 10*timeout)
			res.Close()
			body, isNew, err := doCall(p, newCall(address, "1", ""))
			is.NoErr(err)
			is.Equal(body, "b")
			is.Equal(isNew, tt.isNew)
		})
	}
}

// TestBudget checks that calls together hold at most what the budget allows for long answers, that a short one is read
// beside them, and that each returns what it took.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := fpbudget.New(3 << 20)
	first, second := b.Reserve(fpbudget.Answer), b.Reserve(fpbudget.Answer)
	data, err := ReadAll(strings.NewReader(strings.Repeat("x", 900<<10)), 4<<20, first)
	is.NoErr(err)
	is.Equal(len(data), 900<<10)
	_, err = ReadAll(strings.NewReader(strings.Repeat("x", 900<<10)), 4<<20, second)
	is.True(errors.Is(err, ErrIncompleteResponse))
	second.Release()
	data, err = ReadAll(strings.NewReader(strings.Repeat("x", 60<<10)), 4<<20, second)
	is.NoErr(err)
	is.Equal(len(data), 60<<10)
	first.Release()
	second.Release()
	data, err = ReadAll(strings.NewReader(strings.Repeat("x", 900<<10)), 4<<20, second)
	is.NoErr(err)
	is.Equal(len(data), 900<<10)
	second.Release()
	is.Equal(b.Used(), int64(0))
}
