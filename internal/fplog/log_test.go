package fplog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledWriter checks that callers don't block on a stalled writer, and that dropped lines
// are counted.
func TestStalledWriter(t *testing.T) {
	is := is.New(t)
	w := stalledWriter{release: make(chan struct{})}
	q := NewQueue(w)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- q.Run(ctx) }()
	logger := q.Logger()
	start := time.Now()
	for range 10 * maxQueuedLines {
		is.NoErr(logger.Log("Message", "line"))
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(q.Dropped() > 0)
	cancel()
	q.WaitStopped()
	close(w.release)
	is.NoErr(<-done)
}

func TestLineOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := NewQueue(&out)
	ctx, cancel := context.WithCancel(context.Background())
	for _, text := range []string{"first", "second", "third"} {
		is.NoErr(q.Logger().Log("Message", text))
	}
	cancel()
	is.NoErr(q.Run(ctx))
	is.Equal(strings.Count(out.String(), "\n"), 3)
	is.True(strings.Index(out.String(), "first") < strings.Index(out.String(), "third"))
}
