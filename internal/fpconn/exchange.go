package fpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// earlyWriteBytes is the size up to which a request is written before its
	// answer is read; longer ones are written beside the reading, since an
	// upstream may answer before it has read them.
	earlyWriteBytes = 2 << 10
	// maxStrays bounds the answers of other requests that are passed over.
	maxStrays = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

type (
	// Call is one request to an upstream.
	Call struct {
		Address string
		Method  string
		// Target is the request line's path and query, sent as it is.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Recent is how lately a kept connection must have served to be used again; 0 asks for a new one.
		Recent time.Duration
		// Accept reports whether an answer's header belongs to this call; nil accepts all.
		Accept func(http.Header) bool
	}

	// Answer is an upstream's answer; Close must be called on it.
	Answer struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Length is the body's length, or -1 when its end is marked otherwise.
		Length int64
		// Fresh reports whether the connection was opened for this call.
		Fresh bool

		pool     *Pool
		conn     *conn
		response *http.Response
		writing  chan error
		stray    bool
		stop     func() bool
		whole    bool
	}

	// wholeReader notes when the body has been read to its end.
	wholeReader struct {
		answer *Answer
	}
)

// Do sends a call and returns its answer once the header has come. The error is
// ErrNotSent when no byte left, and ErrBroken otherwise. When the context ends
// the connection is closed at once, which ends the work at the upstream.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address, call.Recent)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = c.Close()
		return nil, errors.Mark(err, ErrNotSent)
	}
	before := c.written.Load()
	a := &Answer{pool: p, conn: c, Fresh: c.served == 0}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.send(call); err != nil {
		a.abort()
		if c.written.Load() == before {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Mark(err, ErrBroken)
	}
	if err := a.receive(call); err != nil {
		a.abort()
		return nil, errors.Mark(err, ErrBroken)
	}
	return a, nil
}

// send writes the request, beside the reading when it is long.
func (a *Answer) send(call Call) error {
	if len(call.Body) <= earlyWriteBytes {
		return writeRequest(a.conn, call)
	}
	a.writing = make(chan error, 1)
	go func() { a.writing <- writeRequest(a.conn, call) }()
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

// receive reads answers until one belongs to the call.
func (a *Answer) receive(call Call) error {
	for range maxStrays {
		res, err := http.ReadResponse(a.conn.reader, &http.Request{Method: call.Method})
		if err != nil {
			return err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		if call.Accept == nil || call.Accept(res.Header) {
			a.response = res
			a.Status = res.StatusCode
			a.Header = res.Header
			a.Length = res.ContentLength
			a.Body = &wholeReader{answer: a}
			return nil
		}
		a.stray = true
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || res.Close {
			return errors.New("the connection carries another request's answer")
		}
	}
	return errors.New("too many answers of other requests")
}

// Read reads the body; only a body read to its marked end counts as whole.
func (r *wholeReader) Read(p []byte) (int, error) {
	n, err := r.answer.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.answer.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Mark(err, ErrBroken)
	}
	return n, nil
}

// Close ends the exchange: the connection is kept if the answer was read whole
// and nothing speaks against using it again, and closed otherwise.
func (a *Answer) Close() {
	if !a.stop() || !a.reusable() {
		a.abort()
		return
	}
	a.pool.put(a.conn, keepFor(a.Header))
}

func (a *Answer) abort() {
	a.stop()
	_ = a.conn.Close()
}

func (a *Answer) reusable() bool {
	if !a.whole || a.stray || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false
	}
}

// keepFor returns how long a connection may be kept by an answer's header.
func keepFor(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(idleFor, time.Duration(seconds*float64(time.Second))-keepAliveMargin)
		}
	}
	return idleFor
}

// ReadAll reads a body of at most limit bytes; a longer one is ErrBroken.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, errors.Mark(errors.New("the answer is too long"), ErrBroken)
	}
	return b.Bytes(), nil
}
