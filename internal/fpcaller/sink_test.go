package fpcaller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

const (
	pieceBytes = 64 << 10
	// maxUnread bounds the pieces that a caller may leave unread: 64 MB.
	maxUnread = 1000
)

// TestCallerStopsReading gives up a caller that reads nothing, with a bounded
// number of bytes on the way to it, and leaves nothing behind.
func TestCallerStopsReading(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	result := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := &streamSink{w: w, control: http.NewResponseController(w), timeout: 50 * time.Millisecond, stop: make(chan struct{})}
		defer sink.close()
		sink.BeginAnswer("engine-1", "")
		text, n := strings.Repeat("x", pieceBytes), 0
		for n < maxUnread && sink.WriteText(n*pieceBytes, text) == nil {
			n++
		}
		result <- n
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	n := <-result
	t.Logf("given up after %d pieces of %d bytes", n, pieceBytes)
	is.True(n < maxUnread)
	is.NoErr(conn.Close())
}
