package fpingress

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

// writePieceBytes is what a client must read of an answer to make progress.
const writePieceBytes = 32 << 10

type (
	// conn is a client's connection.
	conn struct {
		net.Conn
		guard *Guard
		rules Rules
		// connection holds the memory of the connection itself, ahead that of bytes which were sent before the answer to
		// the request before them.
		connection, ahead *fpbudget.Reservation
		// bufferBytes is the size that was asked for the socket's receive buffer.
		bufferBytes int

		mu      sync.Mutex
		scanner fpframe.Scanner
		// next is the message that is being received, nil between two, and headBytes what its head is counted with.
		next      *message
		headBytes int64
		bodyBytes int64
		// received are the messages whose heads are complete and that no handler has begun on.
		received []*message
		// handled is the message that a handler is at work on, nil for none.
		handled *message
		used    bool
		closed  bool
		// closing says that nothing more is sent to the client, whose last message is still being dropped.
		closing bool
		// dropping says that what the client sends ahead is read and dropped, and that the connection ends after the
		// answers that it waits for.
		dropping bool
		// since is when the client's state began, progress when bytes were read last, and writingSince when the
		// write began that is in progress, 0 for none.
		since, progress, writingSince time.Duration
	}
)

func newConn(g *Guard, c net.Conn, r Rules) *conn {
	now := g.settings.Clock()
	n := &conn{Conn: c, guard: g, rules: r, since: now, progress: now, bufferBytes: receiveBufferBytes}
	n.connection, n.ahead = n.reserve(), n.reserve()
	return n
}

// socket returns the connection below TLS.
func (c *conn) socket() net.Conn {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c.Conn
}

func (c *conn) reserve() *fpbudget.Reservation {
	if c.rules.Control {
		return c.guard.settings.Budget.Reserve(fpbudget.Peer)
	}
	return c.guard.settings.Budget.Reserve(fpbudget.Request)
}

// Read reads and counts what the client sends. A head that exceeds a limit is answered here, unless a handler is at work:
// then its handler refuses it.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	// Nothing is being written to the client when the server waits for a head. It reads a single byte while a handler is at
	// work, and until it has sent its answer.
	mayAnswer := len(p) > 1 && c.handled == nil && len(c.received) == 0 && c.scanner.InHead()
	refused := c.refusedNow()
	dropping := c.dropping
	c.mu.Unlock()
	if dropping {
		return 0, io.EOF
	}
	if refused != "" && mayAnswer {
		return 0, c.refuse(refused)
	}
	if refused != "" {
		return 0, refused.err()
	}
	n, err := c.Conn.Read(p)
	answerPlain(err)
	c.mu.Lock()
	if n > 0 {
		c.progress = c.guard.settings.Clock()
	}
	c.count(p[:n])
	refused = c.refusedNow()
	inHead := c.scanner.InHead()
	c.mu.Unlock()
	switch {
	case refused == "":
		return n, err
	case mayAnswer && inHead:
		return 0, c.refuse(refused)
	case inHead:
		return n, err
	default:
		return n, refused.err()
	}
}

// messages returns the messages of the connection, some of which may be nil.
func (c *conn) messages() []*message { return append([]*message{c.handled, c.next}, c.received...) }

// Write writes to the client, a piece at a time: one that reads slowly does not stall.
func (c *conn) Write(p []byte) (int, error) {
	defer c.setWriting(0)
	for written := 0; ; {
		c.setWriting(c.guard.settings.Clock())
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) setWriting(since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// describe returns what decides whether the client loses its share.
func (c *conn) describe() fpbudget.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := fpbudget.Client{Since: c.since, Progress: c.progress, HeldBytes: c.connection.Held() + c.ahead.Held()}
	for i, m := range c.messages() {
		if i != 1 || m != c.handled {
			d.HeldBytes += m.held()
		}
	}
	switch {
	case c.closed:
		d.State = fpbudget.Busy
	case c.writingSince != 0:
		d.State, d.Since = fpbudget.Receiving, c.writingSince
	case c.closing:
		d.State = fpbudget.Closing
	case c.next != nil && len(c.received) == 0 && (c.handled == nil || c.handled == c.next):
		d.State, d.SentBytes = fpbudget.Sending, c.scanner.BodyBytes()
	case c.handled != nil || len(c.received) > 0:
		d.State = fpbudget.Busy
	case !c.used:
		d.State = fpbudget.Silent
	default:
		d.State = fpbudget.Idle
	}
	return d
}
