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
	// maxUnreadPieces bounds the pieces that a caller may leave unread, 64 MB together.
	maxUnreadPieces = 1000
)

// TestCallerStopsReading checks that writing to a caller that reads nothing fails
// after a bounded number of bytes, and that no goroutine is left.
func TestCallerStopsReading(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	result := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := &streamSink{writer: w, controller: http.NewResponseController(w), writeTimeout: 50 * time.Millisecond, closed: make(chan struct{})}
		defer sink.close()
		sink.BeginAnswer("engine-1", "")
		text, n := strings.Repeat("x", pieceBytes), 0
		for n < maxUnreadPieces && sink.WriteText(n*pieceBytes, text) == nil {
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
	t.Logf("write failed after %d pieces of %d bytes", n, pieceBytes)
	is.True(n < maxUnreadPieces)
	is.NoErr(conn.Close())
}
