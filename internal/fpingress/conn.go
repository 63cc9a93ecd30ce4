package fpingress

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpframe"
)

const (
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 16 << 20
	// copiesOfChunks is how many copies of a body of unknown length exist while it grows.
	copiesOfChunks = 2
	// lingerTime bounds for how long what a client still sends is read and dropped after a refusal, so that the client
	// gets it before its connection is reset, and lingerBytes how much of it.
	lingerTime       = 2 * time.Second
	lingerBytes      = 16 << 20
	lingerPieceBytes = 4 << 10
	// writePieceBytes is what a client must read of an answer to make progress.
	writePieceBytes = 32 << 10
	// refusalWriteTimeout bounds the write of a refusal.
	refusalWriteTimeout = time.Second
	// retryAfterSeconds is the Retry-After of a refusal for want of memory.
	retryAfterSeconds = 1
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

	// conn is a client's connection.
	conn struct {
		net.Conn
		guard *Guard
		rules Rules
		// connection holds the memory of the connection itself, ahead that of bytes which were sent before the answer to
		// the request before them.
		connection, ahead *fpbudget.Reservation

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
	n := &conn{Conn: c, guard: g, rules: r, since: now, progress: now}
	n.connection, n.ahead = n.reserve(), n.reserve()
	return n
}

func (c *conn) reserve() *fpbudget.Reservation {
	if c.rules.Control {
		return c.guard.settings.Budget.Reserve(fpbudget.Peer)
	}
	return c.guard.settings.Budget.Reserve(fpbudget.Request)
}

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

// response returns the status and the header of a refusal, with the given fields.
func (r Reason) response(fields http.Header) (int, http.Header) {
	h := http.Header{}
	maps.Copy(h, fields)
	if r == ReasonHead {
		return http.StatusRequestHeaderFieldsTooLarge, h
	}
	h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	return http.StatusServiceUnavailable, h
}

func (r Reason) err() error {
	if r == ReasonMemory {
		return ErrNoMemory
	}
	return io.ErrUnexpectedEOF
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
	if c.ahead.Held() == 0 && !c.ahead.Grow(receiveBufferBytes) {
		c.next.refused = ReasonMemory
		c.dropping = true
		go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	}
}

// countHead counts the head of the message so far. The mutex must be held.
func (c *conn) countHead() {
	h := c.scanner.Head()
	limit := defaultHeaderBytes
	if c.rules.HeaderBytes != nil {
		if n := c.rules.HeaderBytes(); n > 0 {
			limit = n
		}
	}
	// The line that ends a head is not counted.
	if h.FieldBytes > limit+len("\r\n") || h.StartBytes > limit {
		c.refuseNext(ReasonHead)
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

func (c *conn) refuseNext(r Reason) {
	if c.next.refused == "" {
		c.next.refused = r
	}
}

// countBody counts a body of unknown length as it arrives. The mutex must be held.
func (c *conn) countBody() {
	if c.scanner.Head().Chunked {
		c.growNext(&c.bodyBytes, copiesOfChunks*c.rules.BodyCopies*c.scanner.BodyBytes())
	}
}

// endHead passes a message with a complete head on to its handler, with the memory for a body of known length. The mutex
// must be held.
func (c *conn) endHead() {
	limit := int64(defaultBodyBytes)
	if c.rules.BodyBytes != nil {
		if n := c.rules.BodyBytes(); n > 0 {
			limit = n
		}
	}
	if length := c.scanner.Head().Length; length > 0 && length <= limit {
		c.growNext(&c.bodyBytes, c.rules.BodyCopies*length)
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

// messages returns the messages of the connection, some of which may be nil.
func (c *conn) messages() []*message { return append([]*message{c.handled, c.next}, c.received...) }

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

// beginAnswer says that the answer to the message that is being handled has begun.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled != nil {
		c.handled.answered = true
	}
}

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

// evict closes the connection; what its client held is free at once.
func (c *conn) evict() {
	c.mu.Lock()
	for _, m := range c.messages() {
		m.revoke()
	}
	c.mu.Unlock()
	if t, ok := c.Conn.(*tls.Conn); ok {
		// Its own Close waits until the client has read an alert.
		_ = t.NetConn().Close()
	}
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
