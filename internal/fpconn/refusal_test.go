package fpconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

// doRefused sends a call that the upstream refuses and reports whether it took a new connection.
func doRefused(is *is.I, p *Pool, address, key string) bool {
	is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := newCall(address, "0", "")
	c.Key = key
	r, err := p.Do(ctx, c)
	is.NoErr(err)
	r.MarkRefused()
	is.NoErr(r.Discard(100, time.Second))
	r.Close()
	return r.NewConnection
}

// TestRefusedCallTakesAnotherConnection checks that a call is not sent again on a connection on which
// it was refused, where the refusal might come once more, that other calls are, and that what a
// connection remembers of refusals is bounded.
func TestRefusedCallTakesAnotherConnection(t *testing.T) {
	is := is.New(t)
	p := NewPool(fpclock.SinceBoot, nil)
	defer p.Close()
	var steps []func(net.Conn, *bufio.Reader) bool
	for range maxRefusedKeys + 4 {
		steps = append(steps, respondWith(formatResponse("0", "full")))
	}
	address := startScriptedServer(t, steps...)
	is.True(doRefused(is, p, address, "a"))
	is.True(!doRefused(is, p, address, "b"))
	is.True(doRefused(is, p, address, "a"))
	for i := range maxRefusedKeys - 1 {
		is.True(!doRefused(is, p, address, strconv.Itoa(i)))
	}
	is.True(doRefused(is, p, address, "c"))
}

// TestStrayBytesWithoutBody checks that bytes after answers that have no body, whatever length they
// name, are not taken for the next answer.
func TestStrayBytesWithoutBody(t *testing.T) {
	tests := map[string]struct {
		method string
		status string
	}{
		"HEAD": {http.MethodHead, "200 OK"}, "204": {http.MethodPost, "204 No Content"}, "304": {http.MethodPost, "304 Not Modified"},
	}
	for name, tt := range tests {
		for kind, stray := range map[string]string{"bytes": "full", "refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				p := NewPool(fpclock.SinceBoot, nil)
				defer p.Close()
				first := fmt.Sprintf("HTTP/1.1 %s\r\nId: 0\r\nContent-Length: %d\r\n\r\n%s", tt.status, len(stray), stray)
				address := startScriptedServer(t, respondWith(first), respondWith(formatResponse("1", "b")))
				c := newCall(address, "0", "")
				c.Method = tt.method
				_, _, err := doCall(p, c)
				is.NoErr(err)
				c = newCall(address, "1", "")
				c.Accept = nil
				body, isNew, err := doCall(p, c)
				is.NoErr(err)
				is.Equal(body, "b")
				is.True(isNew)
			})
		}
	}
}
