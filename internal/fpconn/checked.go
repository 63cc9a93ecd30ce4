package fpconn

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

type (
	// checkedConn is a connection to an upstream whose answers are checked as they are read. Bytes that are no answer in
	// the protocol are an error.
	checkedConn struct {
		net.Conn
		mu sync.Mutex
		// requests follows what is written, answers what is read.
		requests, answers fpframe.Scanner
		// failure is the error that reads return from now on.
		failure error
	}
)

// CheckAnswers returns a connection that checks the answers which are read from c.
func CheckAnswers(c net.Conn) net.Conn { return newCheckedConn(c) }

func newCheckedConn(c net.Conn) *checkedConn {
	return &checkedConn{Conn: c, answers: fpframe.NewAnswerScanner()}
}

// CheckingDialer returns a dialer whose connections check the answers which are read from them.
func CheckingDialer(d DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return CheckAnswers(c), nil
	}
}

// Write writes p and follows the request in it.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followRequests(p[:n])
	return n, err
}

// followRequests scans what was written; the mutex must be held.
func (c *checkedConn) followRequests(p []byte) {
	for len(p) > 0 {
		// A scanner of requests returns no error.
		n, event, _ := c.requests.Scan(p)
		p = p[n:]
		if event == fpframe.HeadEnd && c.requests.Head().Method == http.MethodHead {
			c.answers.SkipBody()
		}
	}
}

// Read reads bytes of answers. Those before malformed ones are returned first.
func (c *checkedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	err := c.failure
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if valid, malformed := c.scanAnswers(p[:n]); malformed != nil {
		c.failure = malformed
		if valid > 0 {
			return valid, nil
		}
		return 0, malformed
	}
	return n, err
}

// scanAnswers scans what was read and returns how much of it precedes a malformed answer. The mutex must be held.
func (c *checkedConn) scanAnswers(p []byte) (int, error) {
	valid := 0
	for scanned := 0; scanned < len(p); {
		n, event, err := c.answers.Scan(p[scanned:])
		if err != nil {
			return valid, err
		}
		scanned += n
		if event == fpframe.BodyEnd || c.answers.Between() {
			valid = scanned
		}
	}
	return len(p), nil
}

// isBroken reports whether malformed bytes have been read.
func (c *checkedConn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure != nil
}
