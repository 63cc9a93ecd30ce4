package fplog

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 2048
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
	// flushInterval is the interval between flushes, each of which writes all queued lines.
	flushInterval = 100 * time.Millisecond
	// stopTimeout bounds the wait for the final flush.
	stopTimeout = 300 * time.Millisecond
)

type (
	// Queue is an io.Writer for whole lines whose Write never blocks.
	Queue struct {
		out     io.Writer
		lines   chan []byte
		dropped atomic.Int64
		// done is closed when Run has returned.
		done chan struct{}
	}
)

// NewQueue returns a queue whose lines Run writes to out.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Logger returns a logger that writes JSON lines to the queue.
func (q *Queue) Logger() log.Logger {
	return log.With(log.NewJSONLogger(q), "Time", log.DefaultTimestampUTC)
}

// Write queues a copy of a line, or drops it when the queue is full.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes queued lines until the context ends, and then the lines that are still queued.
func (q *Queue) Run(ctx context.Context) error {
	defer close(q.done)
	for fpclock.Sleep(ctx, flushInterval) {
		if err := q.flush(); err != nil {
			return err
		}
	}
	return q.flush()
}

// WaitStopped waits until Run has returned, but no longer than stopTimeout if the writer stalls.
func (q *Queue) WaitStopped() {
	select {
	case <-q.done:
	case <-time.After(stopTimeout):
	}
}

// flush writes the lines that are queued at the time of the call.
func (q *Queue) flush() error {
	var batch []byte
	for range len(q.lines) {
		batch = append(batch, <-q.lines...)
		if len(batch) >= batchBytes {
			if _, err := q.out.Write(batch); err != nil {
				return errors.Wrap(err, "write log lines")
			}
			batch = batch[:0]
		}
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := q.out.Write(batch)
	return errors.Wrap(err, "write log lines")
}
