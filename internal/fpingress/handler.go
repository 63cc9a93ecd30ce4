package fpingress

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	// arrivedBodyBytes and arrivedBodyTime bound the body of a refused request that is read so that its connection can be
	// kept: one that has arrived with its head, or nearly so.
	arrivedBodyBytes = 64 << 10
	arrivedBodyTime  = 10 * time.Millisecond
	minBodyBytes     = 4 << 10
	// answerTime bounds how long a connection stays open that is closed after a refusal.
	answerTime = 500 * time.Millisecond
)

type (
	contextKey struct{}

	// requestContext is what the context of a request carries.
	requestContext struct {
		conn    *conn
		message *message
	}

	// body is a request's body that knows whether it has been read to its end.
	body struct {
		io.ReadCloser
		ended bool
	}

	// responseWriter answers a request without waiting for the rest of its body.
	responseWriter struct {
		http.ResponseWriter
		// conn is nil if the listener is not guarded.
		conn    *conn
		request *http.Request
		body    *body
		begun   bool
	}
)

// ConnContext is the ConnContext of a server whose listener is guarded.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, &requestContext{conn: g})
	}
	return ctx
}

// Handler returns the handler of a server whose listener is guarded: it refuses what the guard refused, and passes the
// rest on to next. Its answers don't wait for bodies that next does not read.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &responseWriter{ResponseWriter: w, request: r, body: &body{ReadCloser: r.Body}}
		// The server looks at its own body afterwards.
		defer func(own io.ReadCloser) { r.Body = own }(r.Body)
		r.Body = answer.body
		if v, ok := r.Context().Value(contextKey{}).(*requestContext); ok {
			message, reason := v.conn.beginHandling()
			defer v.conn.endHandling()
			v.message, answer.conn = message, v.conn
			if reason != "" {
				v.conn.guard.refused(reason, v.conn, r.Header)
				status, header := reason.response(v.conn.guard.settings.RefusalHeader)
				maps.Copy(answer.Header(), header)
				answer.Header().Set("Connection", "close")
				answer.WriteHeader(status)
				return
			}
		}
		next.ServeHTTP(answer, r)
		answer.begin()
	})
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Unwrap returns the writer of the server.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the answer.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written.
func (w *responseWriter) Flush() {
	w.begin()
	// The error is ignored, as http.Flusher returns none; a later write returns it.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// FlushError sends what was written.
func (w *responseWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// begin prepares the answer to a request whose body was not read: unless the rest of the body has arrived already, the
// connection is closed after the answer, which does not wait for the body.
func (w *responseWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.conn != nil {
		w.conn.beginAnswer()
	}
	if w.body.ended || w.request.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w.ResponseWriter)
	if w.request.Header.Get("Expect") == "" && w.request.ContentLength <= arrivedBodyBytes && controller.SetReadDeadline(time.Now().Add(arrivedBodyTime)) == nil {
		n, err := io.CopyN(io.Discard, w.body, arrivedBodyBytes+1)
		if errors.Is(err, io.EOF) && n <= arrivedBodyBytes {
			// The error is ignored: the server sets a deadline for the next request.
			_ = controller.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	// What the server still reads of the body is bounded.
	_ = controller.SetReadDeadline(time.Now().Add(answerTime))
}

// AnswerMemory returns the memory that the answer to a request takes, or nil if its listener is not guarded.
func AnswerMemory(r *http.Request) *fpbudget.Reservation {
	if v, ok := r.Context().Value(contextKey{}).(*requestContext); ok && v.message != nil {
		return v.message.answer
	}
	return nil
}

// ReadBody reads a body of at most limit bytes. The error is an http.MaxBytesError if it is longer, also if it only says
// so, and ErrNoMemory if there is no room for it.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	size := max(r.ContentLength, 0)
	if r.ContentLength < 0 {
		size = min(minBodyBytes, limit)
	}
	// Room for the byte that shows the end.
	data := make([]byte, 0, size+1)
	limited := http.MaxBytesReader(w, r.Body, limit)
	for {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(2*int64(cap(data)), limit+1)), data...)
		}
		n, err := limited.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			// Nothing reads the trailer, whose lines take more than their bytes.
			r.Trailer = nil
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
