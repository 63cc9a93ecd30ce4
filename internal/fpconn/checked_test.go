package fpconn

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

const longBodyBytes = 16 << 20

// TestMalformedAnswer checks that bytes that are no answer in the protocol are none to a call.
func TestMalformedAnswer(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			address := fpconntest.ServeText(t, fmt.Sprintf(text, "Id: 0\r\n"))
			_, _, err := doCall(p, newCall(address, "0", "body"))
			is.True(errors.Is(err, ErrIncompleteResponse))
		})
	}
}

// TestTransportWithTLS checks that a transport reads answers, and checks them, behind TLS.
func TestTransportWithTLS(t *testing.T) {
	is := is.New(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/odd" {
			c, _, err := http.NewResponseController(w).Hijack()
			is.NoErr(err)
			_, _ = io.WriteString(c, "HTTP/1.1 999 None\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(w, "all")
	}))
	defer s.Close()
	pool := x509.NewCertPool()
	pool.AddCert(s.Certificate())
	c := http.Client{Transport: NewTransport((&net.Dialer{}).DialContext, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12})}
	defer c.CloseIdleConnections()
	res, err := c.Get(s.URL)
	is.NoErr(err)
	text, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(string(text), "all")
	_, err = c.Get(s.URL + "/odd")
	is.True(errors.Is(err, fpframe.ErrMalformed))
}

// TestAnswerResetDuringRequest checks that an answer without a length that a reset cuts, while the request is still being
// written, is not taken for a whole one, and that it is told apart from one that ends regularly.
func TestAnswerResetDuringRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n"
	body := strings.Repeat("x", longBodyBytes)
	reset := fpconntest.ServeReset(t, head+"a part")
	for range 24 {
		p := NewPool(fpclock.SinceBoot, nil)
		text, _, err := doCall(p, newCall(reset, "0", body))
		p.Close()
		if !errors.Is(err, ErrIncompleteResponse) {
			t.Fatalf("error %v, body %q", err, text)
		}
	}
	regular := map[string]func(c net.Conn, r *http.Request){
		"request read after the answer": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, head+"all")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"request not read": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, head+"all")
			_ = c.(*net.TCPConn).CloseWrite()
			fpclock.Sleep(context.Background(), 2*time.Second)
		},
		"request read before the answer": func(c net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, head+"all")
		},
	}
	for name, answer := range regular {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			text, _, err := doCall(p, newCall(fpconntest.Serve(t, answer), "0", body))
			is.NoErr(err)
			is.Equal(text, "all")
		})
	}
}
