package fpstandin

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

// repeatDelay is the time from a call to a refusal of another one in its answer's place.
const repeatDelay = 10 * time.Millisecond

// repeatRefusal lets a call take effect, and answers it with a refusal that has no attempt's ID.
func repeatRefusal(w http.ResponseWriter, r *http.Request, next http.Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		next.ServeHTTP(&discardingWriter{header: make(http.Header)}, r)
	}()
	fpclock.Sleep(r.Context(), repeatDelay)
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nnot run")
	<-done
}
