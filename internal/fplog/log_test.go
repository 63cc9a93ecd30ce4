package fplog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledWriter checks that nobody waits for a writer that stalls, and that dropped lines are counted.
func TestStalledWriter(t *testing.T) {
	is := is.New(t)
	w := stalled{release: make(chan struct{})}
	q := NewQueue(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	logger := q.Logger()
	began := time.Now()
	for range 10 * queueLines {
		is.NoErr(logger.Log("Message", "line"))
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(q.Dropped() > 0)
	cancel()
	q.Wait()
	close(w.release)
	is.NoErr(<-ended)
}

func TestLinesComeInOrder(t *testing.T) {
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
