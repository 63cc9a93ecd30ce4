package fpingress

import (
	"cmp"
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

const (
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 16 << 20
	// copiesOfChunks is how many copies of a body of unknown length exist while it grows.
	copiesOfChunks = 2
)

// ErrNoMemory means that a request's body finds no room in the memory for requests. The request has not run.
var ErrNoMemory = errors.New("the memory for requests is used up")

type (
	// message is a request on its way in or being handled.
	message struct {
		// memory holds what the request takes, answer what its answer does.
		memory, answer *fpbudget.Reservation
		// refused is why the request is refused, "" if it is not.
		refused Reason
		// answered says that the answer has begun: the rest of the request is dropped.
		answered bool
	}
)

func (c *conn) newMessage() *message {
	return &message{memory: c.reserve(), answer: c.guard.settings.Budget.Reserve(fpbudget.Answer)}
}

// held returns the bytes that a message holds; a nil one holds none.
func (m *message) held() int64 {
	if m == nil {
		return 0
	}
	return m.memory.Held() + m.answer.Held()
}

// revoke takes back what a message holds; a nil one holds nothing.
func (m *message) revoke() {
	if m != nil {
		m.memory.Revoke()
		m.answer.Revoke()
	}
}

// refusedNow returns why the message that is being received is refused. One whose head is complete is refused by its
// handler, unless its body has exceeded the memory since. The mutex must be held.
func (c *conn) refusedNow() Reason {
	if c.next == nil || c.next.answered {
		return ""
	}
	return c.next.refused
}

// count counts bytes that were read. The mutex must be held.
func (c *conn) count(p []byte) {
	for len(p) > 0 {
		if c.next == nil {
			c.begin()
		}
		inHead := c.scanner.InHead()
		// A scanner of requests returns no error.
		n, event, _ := c.scanner.Scan(p)
		p = p[n:]
		if inHead {
			c.countHead()
		} else {
			c.countBody()
		}
		if event == fpframe.HeadEnd {
			c.endHead()
		}
		if c.scanner.Between() {
			c.next = nil
		}
	}
}

// begin begins a message. The mutex must be held.
func (c *conn) begin() {
	c.used = true
	c.since = c.guard.settings.Clock()
	c.next = c.newMessage()
	c.headBytes, c.bodyBytes = 0, 0
	if c.handled == nil && len(c.received) == 0 {
		return
	}
	// The client sends ahead: its socket may fill up until the requests before this one have their answers.
	if c.ahead.Held() == 0 && !c.ahead.Grow(kernelOverhead*int64(c.bufferBytes)) {
		c.next.refused = ReasonMemory
		c.dropping = true
		go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	}
}

// countHead counts the head of the message so far. The mutex must be held.
func (c *conn) countHead() {
	h, limit := c.scanner.Head(), limitOf(c.rules.HeaderBytes, defaultHeaderBytes)
	// The line that ends a head is not counted.
	if h.FieldBytes > limit+len("\r\n") || h.StartBytes > limit {
		c.next.refused = cmp.Or(c.next.refused, ReasonHead)
		return
	}
	c.growNext(&c.headBytes, copiesOfHead*int64(h.StartBytes+h.FieldBytes)+bytesPerLine*int64(h.Lines))
}

// growNext grows the memory of the message to n more than before. The mutex must be held.
func (c *conn) growNext(counted *int64, n int64) {
	if n <= *counted {
		return
	}
	// The guard may search for clients that stall, among them this one.
	m, d := c.next, n-*counted
	*counted = n
	if m.refused != "" {
		return
	}
	c.mu.Unlock()
	ok := c.guard.grow(m.memory, d)
	c.mu.Lock()
	if !ok {
		m.refused = ReasonMemory
	}
}

// limitOf returns a limit of the rules, or the default where they have none.
func limitOf[T int | int64](limit func() T, otherwise T) T {
	if limit == nil {
		return otherwise
	}
	if n := limit(); n > 0 {
		return n
	}
	return otherwise
}

// countBody counts a body of unknown length as it arrives. The mutex must be held.
func (c *conn) countBody() {
	if c.scanner.Head().Chunked {
		c.growNext(&c.bodyBytes, copiesOfChunks*c.rules.BodyCopies*c.scanner.BodyBytes())
		c.enlargeBuffer(c.scanner.BodyBytes())
	}
}

// enlargeBuffer lets more of a body of at least n bytes arrive at a time, if that is long and was admitted: what the socket
// holds of it is counted already. The mutex must be held.
func (c *conn) enlargeBuffer(n int64) {
	if c.bufferBytes == longBufferBytes || n < longBufferBytes || c.next.refused != "" {
		return
	}
	c.bufferBytes = longBufferBytes
	s, ok := c.socket().(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		// The error is ignored: the body arrives more slowly.
		_ = setReceiveBuffer(raw, longBufferBytes)
	}
}

// endHead passes a message with a complete head on to its handler, with the memory for a body of known length. The mutex
// must be held.
func (c *conn) endHead() {
	// A handler reads no more than the limit of a longer body, if it reads it at all.
	if length := min(c.scanner.Head().Length, limitOf(c.rules.BodyBytes, defaultBodyBytes)); length > 0 {
		c.growNext(&c.bodyBytes, c.rules.BodyCopies*length)
		c.enlargeBuffer(length)
	}
	c.received = append(c.received, c.next)
}

// beginHandling returns the message that a handler begins on, and why it is refused.
func (c *conn) beginHandling() (*message, Reason) {
	c.mu.Lock()
	if len(c.received) == 0 {
		// The server and the scanner disagree; the server's limits apply.
		c.handled = c.newMessage()
	} else {
		c.handled, c.received = c.received[0], c.received[1:]
	}
	m, refused := c.handled, c.handled.refused
	c.mu.Unlock()
	if refused == "" && !c.guard.grow(m.memory, requestBytes) {
		refused = ReasonMemory
	}
	return m, refused
}

// endHandling ends the message that a handler has ended.
func (c *conn) endHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled.revoke()
	c.handled = nil
	c.since = c.guard.settings.Clock()
	c.progress = c.since
	if len(c.received) == 0 && c.next == nil {
		c.ahead.Release()
	}
}

// beginAnswer says that the answer to the message that is being handled has begun.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled != nil {
		c.handled.answered = true
	}
}
