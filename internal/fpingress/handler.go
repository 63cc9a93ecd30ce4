package fpingress

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	minBodyBytes = 4 << 10
)

type (
	contextKey struct{}

	// requestContext is what the context of a request carries.
	requestContext struct {
		conn    *conn
		message *message
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
// rest on to next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v, ok := r.Context().Value(contextKey{}).(*requestContext); ok {
			message, reason := v.conn.beginHandling()
			defer v.conn.endHandling()
			v.message = message
			if reason != "" {
				v.conn.guard.refused(reason, v.conn)
				status, header := reason.response(v.conn.guard.settings.RefusalHeader)
				maps.Copy(w.Header(), header)
				w.Header().Set("Connection", "close")
				w.WriteHeader(status)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
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
