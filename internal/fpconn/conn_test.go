package fpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

// startScriptedServer starts a server that handles each request by the next of the steps. A step
// returns whether the connection stays open.
func startScriptedServer(t *testing.T, steps ...func(net.Conn, *bufio.Reader) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan func(net.Conn, *bufio.Reader) bool, len(steps))
	for _, s := range steps {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := r.Peek(1); err != nil {
						return
					}
					select {
					case s := <-next:
						if !s(c, r) {
							return
						}
					default:
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

func respondWith(text string) func(net.Conn, *bufio.Reader) bool {
	return func(c net.Conn, r *bufio.Reader) bool {
		readRequest(r)
		_, _ = io.WriteString(c, text)
		return true
	}
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(address, id, body string) Call {
	return Call{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(body),
		MaxIdle: time.Minute, Accept: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func doCall(p *Pool, c Call) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := p.Do(ctx, c)
	if err != nil {
		return "", false, err
	}
	defer res.Close()
	data, err := ReadAll(res.Body, 1<<20, nil)
	return string(data), res.NewConnection, err
}

func TestExchange(t *testing.T) {
	mismatched := formatResponse("other", "not yours")
	tests := map[string]struct {
		steps          []func(net.Conn, *bufio.Reader) bool
		bodies         []string
		isNew          []bool
		wantIncomplete bool
	}{
		"idle connection is reused":          {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(formatResponse("0", "a")), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, false}},
		"surplus response closes connection": {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(formatResponse("0", "a") + formatResponse("0", "a")), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, true}},
		"trailing bytes close connection":    {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(formatResponse("0", "a") + "noise"), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, true}},
		"mismatched response is skipped":     {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(mismatched + formatResponse("0", "a")), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, true}},
		"no bytes that are an answer":        {steps: []func(net.Conn, *bufio.Reader) bool{respondWith("what?\r\n\r\n")}, wantIncomplete: true},
		"truncated body": {steps: []func(net.Conn, *bufio.Reader) bool{func(c net.Conn, r *bufio.Reader) bool {
			respondWith(strings.Replace(formatResponse("0", "abc"), ": 3", ": 9", 1))(c, r)
			return false
		}}, wantIncomplete: true},
		"no answer at all":               {steps: []func(net.Conn, *bufio.Reader) bool{func(_ net.Conn, r *bufio.Reader) bool { readRequest(r); return false }}, wantIncomplete: true},
		"interim response is skipped":    {steps: []func(net.Conn, *bufio.Reader) bool{respondWith("HTTP/1.1 100 Continue\r\n\r\n" + formatResponse("0", "a"))}, bodies: []string{"a"}, isNew: []bool{true}},
		"Connection: close is respected": {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(strings.Replace(formatResponse("0", "a"), "\r\n", "\r\nConnection: close\r\n", 1)), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, true}},
		"short Keep-Alive is respected":  {steps: []func(net.Conn, *bufio.Reader) bool{respondWith(strings.Replace(formatResponse("0", "a"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)), respondWith(formatResponse("1", "b"))}, bodies: []string{"a", "b"}, isNew: []bool{true, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			address := startScriptedServer(t, tt.steps...)
			if tt.wantIncomplete {
				_, _, err := doCall(p, newCall(address, "0", "body"))
				is.True(errors.Is(err, ErrIncompleteResponse))
				return
			}
			for i, want := range tt.bodies {
				got, isNew, err := doCall(p, newCall(address, fmt.Sprint(i), "body"))
				is.NoErr(err)
				is.Equal(got, want)
				is.Equal(isNew, tt.isNew[i])
			}
		})
	}
}

// TestConnClosedWhileIdle checks that a connection which the server closed while it was idle is not
// reused.
func TestConnClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	p := NewPool(fpclock.SinceBoot, nil)
	defer p.Close()
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) bool { respondWith(formatResponse("0", "a"))(c, r); return false }, respondWith(formatResponse("1", "b")))
	_, _, err := doCall(p, newCall(address, "0", ""))
	is.NoErr(err)
	fpclock.Sleep(context.Background(), 50*time.Millisecond)
	body, isNew, err := doCall(p, newCall(address, "1", ""))
	is.NoErr(err)
	is.Equal(body, "b")
	is.True(isNew)
}

// TestResponseBeforeBodyRead checks that a response sent before the server has read a large body is
// delivered, and that the connection with the unsent rest of the body is not reused.
func TestResponseBeforeBodyRead(t *testing.T) {
	is := is.New(t)
	p := NewPool(fpclock.SinceBoot, nil)
	defer p.Close()
	address := startScriptedServer(t, func(c net.Conn, _ *bufio.Reader) bool {
		_, _ = io.WriteString(c, formatResponse("0", "too long"))
		fpclock.Sleep(context.Background(), 300*time.Millisecond)
		return false
	}, respondWith(formatResponse("1", "b")))
	body, _, err := doCall(p, newCall(address, "0", strings.Repeat("x", 8<<20)))
	is.NoErr(err)
	is.Equal(body, "too long")
	body, isNew, err := doCall(p, newCall(address, "1", ""))
	is.NoErr(err)
	is.Equal(body, "b")
	is.True(isNew)
}

func TestDialFailureIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, _, err = doCall(NewPool(fpclock.SinceBoot, nil), newCall(address, "0", ""))
	is.True(errors.Is(err, ErrNotSent))
}
