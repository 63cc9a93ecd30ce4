package fpingress

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lingerTime bounds for how long what a client still sends is read and dropped after a refusal, so that the client
	// gets it before its connection is reset, and lingerBytes how much of it.
	lingerTime       = 2 * time.Second
	lingerBytes      = 16 << 20
	lingerPieceBytes = 4 << 10
	// refusalWriteTimeout bounds the write of a refusal.
	refusalWriteTimeout = time.Second
	// RetryAfter is the Retry-After of a refusal for want of memory.
	RetryAfter = time.Second
)

// response returns the status and the header of a refusal, with the given fields.
func (r Reason) response(fields http.Header) (int, http.Header) {
	h := http.Header{}
	maps.Copy(h, fields)
	if r == ReasonHead {
		return http.StatusRequestHeaderFieldsTooLarge, h
	}
	h.Set("Retry-After", strconv.FormatInt(int64(RetryAfter/time.Second), 10))
	return http.StatusServiceUnavailable, h
}

func (r Reason) err() error {
	if r == ReasonMemory {
		return ErrNoMemory
	}
	return io.ErrUnexpectedEOF
}

// answerPlain tells a client that sent a request without TLS to a listener with it, if that is the error, what is wrong.
func answerPlain(err error) {
	var record tls.RecordHeaderError
	if !errors.As(err, &record) || record.Conn == nil {
		return
	}
	switch string(record.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET":
		_ = record.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		// The client is told if it can be.
		_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\nConnection: close\r\n\r\nThis listener uses TLS.\n")
	}
}

// refuse answers a request whose head is not complete, and reads on for a moment so that the answer arrives.
func (c *conn) refuse(r Reason) error {
	c.guard.refused(r, c, nil)
	status, header := r.response(c.guard.settings.RefusalHeader)
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", "0")
	header.Set("Connection", "close")
	// A buffer returns no error.
	_ = header.Write(&text)
	text.WriteString("\r\n")
	c.mu.Lock()
	c.closing = true
	c.next.revoke()
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Conn.Write(text.Bytes()); err != nil {
		return io.EOF
	}
	// The error is ignored: the connection ends anyway.
	_ = c.CloseWrite()
	return io.EOF
}

// CloseWrite ends what is sent to the client, and drops what the client still sends of its request. The server calls it
// before it closes some of the connections whose request it has not read.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	err := errors.Wrap(w.CloseWrite(), "close write")
	c.mu.Lock()
	c.closing, c.since = true, c.guard.settings.Clock()
	complete := c.next == nil
	c.mu.Unlock()
	if !complete {
		c.dropRest()
	}
	return err
}

// dropRest reads and drops what the client sends, until its message ends or a bound is reached.
func (c *conn) dropRest() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	piece := make([]byte, lingerPieceBytes)
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(piece)
		if err != nil {
			return
		}
		total += n
		if c.endsWith(piece[:n]) {
			return
		}
	}
}

// endsWith reports whether the message that is being received ends in p.
func (c *conn) endsWith(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		// A scanner of requests returns no error.
		n, _, _ := c.scanner.Scan(p)
		p = p[n:]
		if c.scanner.Between() {
			return true
		}
	}
	return false
}

// evict closes the connection; what its client held is free at once.
func (c *conn) evict() {
	c.mu.Lock()
	for _, m := range c.messages() {
		m.revoke()
	}
	c.mu.Unlock()
	// Close of a connection with TLS waits until the client has read an alert, unless its socket is closed.
	_ = c.socket().Close()
	_ = c.close()
}

// Close closes the connection. A client that has its answer and still sends its request is read for a moment before, in
// the background: a reset could keep the answer from it.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := !c.closed && !c.closing && c.handled == nil && c.next != nil && c.next.answered
	if lingers {
		c.closing = true
	}
	c.mu.Unlock()
	if !lingers {
		return c.close()
	}
	go func() {
		// The error is ignored: the connection ends anyway.
		_ = c.CloseWrite()
		_ = c.close()
	}()
	return nil
}

// close closes the connection at once. What its handler holds is free when it ends.
func (c *conn) close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.connection.Revoke()
		c.ahead.Revoke()
		for _, m := range c.messages() {
			if m != c.handled {
				m.revoke()
			}
		}
	}
	c.mu.Unlock()
	c.guard.remove(c)
	return c.Conn.Close()
}
