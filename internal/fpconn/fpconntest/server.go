package fpconntest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	status  = "HTTP/1.1 200 OK\r\n"
	timeout = 5 * time.Second
)

// Malformed holds answers with bytes that are none in the protocol, by what is wrong with them; %s stands for fields
// and the body follows the head.
var Malformed = map[string]string{
	"status 000":           "HTTP/1.1 000 None\r\n%sContent-Length: 2\r\n\r\n{}",
	"status 099":           "HTTP/1.1 099 None\r\n%sContent-Length: 2\r\n\r\n{}",
	"status +20":           "HTTP/1.1 +20 OK\r\n%sContent-Length: 2\r\n\r\n{}",
	"status 999":           "HTTP/1.1 999 None\r\n%sContent-Length: 2\r\n\r\n{}",
	"version 3.7":          "HTTP/3.7 200 OK\r\n%sContent-Length: 2\r\n\r\n{}",
	"blank before a colon": status + "%sContent-Length : 2\r\n\r\n{}",
	"blank in a name":      status + "%sX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"control in a name":    status + "%sX\x01Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"control in a value":   status + "%sX: a\x01\r\nContent-Length: 2\r\n\r\n{}",
	"folded value":         status + "%sX: a\r\n b\r\nContent-Length: 2\r\n\r\n{}",
	"length and chunks":    status + "%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"name in a trailer":    status + "%sTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
}

// Serve answers each request with what answer writes, and returns the server's address. A connection is closed after
// its answer.
func Serve(t testing.TB, answer func(c net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(timeout))
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					answer(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ServeText answers each request with a text, after it has read the request's body.
func ServeText(t testing.TB, text string) string {
	t.Helper()
	return Serve(t, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	})
}

// ServeReset answers a request at once with a text, and resets the connection while the client still sends the body.
func ServeReset(t testing.TB, text string) string {
	t.Helper()
	return Serve(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		time.Sleep(20 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
}
