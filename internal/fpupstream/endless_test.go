package fpupstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

// maxTestAllocation is far above the largest permitted response and its copies while it is read.
const maxTestAllocation = 6 * fpupstream.MaxResponseBytes

// startEndlessServer starts a server that answers each request by the first text and then the
// repeated one until the client closes the connection.
func startEndlessServer(t *testing.T, first, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	chunk := bytes.Repeat([]byte(repeated), 1+(32<<10)/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, first)
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessResponse checks that an upstream that sends bytes without end costs bounded memory,
// and that what was read of its response is never returned as the complete response.
func TestEndlessResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ first, repeated string }{
		"header line":       {first: head + "Long: ", repeated: "x"},
		"header lines":      {first: head, repeated: "Another: x\r\n"},
		"interim responses": {first: "", repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"body":              {first: head + "\r\n", repeated: "x"},
		"body with length":  {first: head + "Content-Length: 99999999999\r\n\r\n", repeated: "x"},
		"chunks":            {first: chunked, repeated: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"trailer":           {first: chunked + "1\r\na\r\n0\r\n", repeated: "Another: x\r\n"},
		"event":             {first: head + "\r\ndata: ", repeated: "x"},
	}
	calls := map[string]func(*fpupstream.Client, context.Context, string) error{
		"service": func(c *fpupstream.Client, ctx context.Context, address string) error {
			_, err := c.CallService(ctx, fpupstream.Attempt{ID: "a1", Address: address, Method: http.MethodGet, Path: "/"})
			return err
		},
		"stream": func(c *fpupstream.Client, ctx context.Context, address string) error {
			s, err := c.OpenStream(ctx, fpupstream.Attempt{ID: "a1", Address: address, Method: http.MethodPost, Path: "/"})
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
		"report": func(c *fpupstream.Client, ctx context.Context, address string) error {
			_, err := c.FetchLoad(ctx, address)
			return err
		},
	}
	for kind, call := range calls {
		for name, tt := range tests {
			t.Run(kind+"/"+name, func(t *testing.T) {
				is := is.New(t)
				c := fpupstream.NewClient(fpupstream.Settings{SilenceTimeout: time.Second})
				defer c.Close()
				address := startEndlessServer(t, tt.first, tt.repeated)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := call(c, ctx, address)
				runtime.ReadMemStats(&after)
				is.True(err != nil && !errors.Is(err, io.EOF))
				is.NoErr(ctx.Err())
				if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxTestAllocation {
					t.Errorf("the call allocated %d MB", allocated>>20)
				}
			})
		}
	}
}
