package fpconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is
	// read. Larger bodies are written concurrently with the reading, since an
	// upstream may respond before it has read the whole body.
	maxInlineBodyBytes = 2 << 10
	// maxResponsesPerCall bounds the responses read for one call, including interim (1xx) ones and
	// ones that belong to other requests.
	maxResponsesPerCall = 3
	// maxMismatchedBodyBytes bounds the body of a response to another request.
	maxMismatchedBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the status line and header of one response to any client of this module.
	MaxHeaderBytes = 64 << 10
	// minReadBytes is the initial size of the buffer for a body.
	minReadBytes = 1 << 10
)

var (
	// ErrResponseTooLong means that a body is longer than the caller reads.
	ErrResponseTooLong = errors.New("the answer is too long")
	errNoMemory        = errors.New("the memory for long answers is used up")
)

type (
	// Call is one request to an upstream.
	Call struct {
		Address string
		Method  string
		// Target is the request line's path and query, sent verbatim.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// MaxIdle bounds the idle time of a reused connection; 0 asks for a new connection.
		MaxIdle time.Duration
		// Accept reports whether a response with this header belongs to the call; nil accepts any.
		Accept func(http.Header) bool
		// Key identifies the request, so that MarkRefused can keep it from a connection; it is "" for
		// calls that are never marked.
		Key string
		// Check, unless nil, is called once there is a connection; with an error nothing is sent.
		Check func(Connection) error
	}

	// Connection is what is known of a connection to an upstream.
	Connection interface {
		// OpenedAt returns when the connection was opened, on the pool's clock.
		OpenedAt() time.Duration
		// SetPeer records who answers on the connection, for later calls on it.
		SetPeer(peer int64)
		// Peer returns what was recorded with SetPeer, 0 for nothing.
		Peer() int64
	}

	// Response is an upstream's response; the caller must close it.
	Response struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Length is the body's length, or -1 when there is no Content-Length.
		Length int64
		// EndMarked reports whether a length or chunks mark the body's end, rather than the end of the
		// connection.
		EndMarked bool
		// NewConnection reports whether the connection was opened for this call, and ConnectTime is
		// how long that took.
		NewConnection bool
		ConnectTime   time.Duration
		// FirstOnConnection reports whether no other response came before on the connection.
		FirstOnConnection bool

		pool          *Pool
		conn          *conn
		key           string
		raw           *http.Response
		writeResult   chan error
		mismatched    bool
		detachContext func() bool
		bodyComplete  bool
	}

	// bodyReader reads the body and records when its end is reached.
	bodyReader struct {
		response *Response
	}
)

// Do sends a call and returns its response once the header has arrived. The error is ErrNotSent
// when no byte was sent, and ErrIncompleteResponse otherwise. When the context ends, the connection
// is closed at once, so that the upstream stops its work.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	c, err := p.acquireConn(ctx, call.Address, call.MaxIdle, call.Key)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = c.Close()
		return nil, errors.Mark(err, ErrNotSent)
	}
	if call.Check != nil {
		if err := call.Check(c); err != nil {
			_ = c.Close()
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	writtenBefore := c.bytesWritten.Load()
	r := &Response{pool: p, conn: c, key: call.Key, NewConnection: c.completedExchanges == 0}
	if r.NewConnection {
		r.ConnectTime = c.connectTime
	}
	r.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.sendRequest(call); err != nil {
		r.closeConn()
		if c.bytesWritten.Load() == writtenBefore {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Mark(err, ErrIncompleteResponse)
	}
	if err := r.receiveResponse(call); err != nil {
		r.closeConn()
		return nil, errors.Mark(err, ErrIncompleteResponse)
	}
	return r, nil
}

// sendRequest writes the request, in a goroutine of its own when the body is large.
func (r *Response) sendRequest(call Call) error {
	if len(call.Body) <= maxInlineBodyBytes {
		return writeRequest(r.conn, call)
	}
	r.writeResult = make(chan error, 1)
	go func() { r.writeResult <- writeRequest(r.conn, call) }()
	return nil
}

func writeRequest(w io.Writer, call Call) error {
	b := bufio.NewWriterSize(w, writeBufferBytes)
	_, _ = b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	keys := make([]string, 0, len(call.Header))
	for k := range call.Header {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		for _, v := range call.Header[k] {
			_, _ = b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead && call.Method != http.MethodDelete {
		_, _ = b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(call.Body)
	return b.Flush()
}

// receiveResponse reads responses until one belongs to the call.
func (r *Response) receiveResponse(call Call) error {
	for range maxResponsesPerCall {
		r.conn.limitReads(MaxHeaderBytes)
		res, err := http.ReadResponse(r.conn.reader, &http.Request{Method: call.Method})
		r.conn.unlimitReads()
		if err != nil {
			return err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		if call.Accept == nil || call.Accept(res.Header) {
			r.raw = res
			r.Status = res.StatusCode
			r.Header = res.Header
			r.Length = res.ContentLength
			r.EndMarked = res.ContentLength >= 0 || len(res.TransferEncoding) > 0
			r.Body = &bodyReader{response: r}
			r.FirstOnConnection = r.NewConnection && !r.mismatched
			return nil
		}
		r.mismatched = true
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxMismatchedBodyBytes))
		if err != nil || n == maxMismatchedBodyBytes || res.Close {
			return errors.New("the connection carries another request's answer")
		}
	}
	return errors.New("too many answers of other requests")
}

// Read reads the body; only a body read to io.EOF counts as complete.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.response.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.response.bodyComplete = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Mark(err, ErrIncompleteResponse)
	}
	return n, nil
}

// Connection returns the connection on which the response arrived.
func (r *Response) Connection() Connection { return r.conn }

// Close ends the exchange. The connection returns to the pool if the body was
// read completely and the connection is reusable; otherwise it is closed.
func (r *Response) Close() {
	if !r.detachContext() || !r.reusable() {
		r.closeConn()
		return
	}
	r.pool.releaseConn(r.conn, keepAliveDuration(r.Header))
}

func (r *Response) closeConn() {
	r.detachContext()
	_ = r.conn.Close()
}

func (r *Response) reusable() bool {
	if !r.bodyComplete || r.mismatched || r.raw.Close || r.conn.reader.Buffered() > 0 || r.conn.isBroken() || len(r.conn.refusedKeys) >= maxRefusedKeys {
		return false
	}
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// keepAliveDuration returns how long a connection may be kept, given the response's header.
func keepAliveDuration(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(maxIdleTime, time.Duration(seconds*float64(time.Second))-keepAliveMargin)
		}
	}
	return maxIdleTime
}

// Discard reads the rest of the body and drops it. It returns an error, and the connection is not
// reused, if the body is longer than limit bytes or takes longer than timeout.
func (r *Response) Discard(limit int64, timeout time.Duration) error {
	if err := r.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "set read deadline")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return ErrResponseTooLong
	}
	return errors.Wrap(r.conn.SetReadDeadline(time.Time{}), "clear read deadline")
}

// ReadAll reads a body of at most limit bytes into memory that it takes from m, which may be nil.
// If the body is longer or no memory is left, the error is marked ErrIncompleteResponse.
func ReadAll(r io.Reader, limit int64, m *fpbudget.Reservation) ([]byte, error) {
	limited := io.LimitReader(r, limit+1)
	var data []byte
	for {
		if len(data) == cap(data) {
			grown := max(2*cap(data), minReadBytes)
			if !m.Grow(int64(grown - cap(data))) {
				return nil, errors.Mark(errNoMemory, ErrIncompleteResponse)
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := limited.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errors.Mark(ErrResponseTooLong, ErrIncompleteResponse)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
