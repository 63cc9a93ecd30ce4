package fpconn

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

const (
	// blockedWriteWait is how long a write must have been blocked after the other side has ended its answer until the
	// end counts as a regular one. A reset ends a blocked write at once.
	blockedWriteWait = 500 * time.Millisecond
)

// errResetDuringRequest means that the other side reset the connection while the request was being written.
var errResetDuringRequest = errors.New("the connection was reset while the request was being written")

type (
	// checkedConn is a connection to an upstream whose answers are checked as they are read. Bytes that are no answer in
	// the protocol are an error, as is the end of an answer without a length if a reset caused it.
	checkedConn struct {
		net.Conn
		mu      sync.Mutex
		changed sync.Cond
		// requests follows what is written, answers what is read.
		requests, answers fpframe.Scanner
		// failure is the error that reads return from now on.
		failure error
		// writing is the number of writes in progress, writes that of those that have ended.
		writing, writes int
		writeErr        error
		closed          bool
	}
)

func newCheckedConn(c net.Conn) *checkedConn {
	k := &checkedConn{Conn: c, answers: fpframe.NewAnswerScanner()}
	k.changed.L = &k.mu
	return k
}

// Write writes p and follows the request in it.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.writes++
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.followRequests(p[:n])
	c.changed.Broadcast()
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
	if errors.Is(err, io.EOF) && c.answers.EndsWithConnection() && !c.endedRegularly() {
		c.failure = errors.Mark(errors.Mark(errResetDuringRequest, io.ErrUnexpectedEOF), syscall.ECONNRESET)
		return n, c.failure
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

// endedRegularly reports whether the end of the connection is that of the answer. Where the request is still being
// written, the write has taken the error of a reset, if there was one, and the reader sees a plain end. The mutex must be
// held.
func (c *checkedConn) endedRegularly() bool {
	for !c.closed && c.writeErr == nil && (c.writing > 0 || !c.requests.Between()) {
		writes := c.writes
		expired := false
		t := time.AfterFunc(blockedWriteWait, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			expired = true
			c.changed.Broadcast()
		})
		for !c.closed && c.writes == writes && !expired {
			c.changed.Wait()
		}
		t.Stop()
		if c.writing > 0 && c.writes == writes && !c.closed {
			return true
		}
	}
	return !c.closed && c.writeErr == nil
}

// isBroken reports whether malformed bytes have been read.
func (c *checkedConn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure != nil
}

// Close closes the connection.
func (c *checkedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
