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
	// queueLines bounds the lines that wait for the writer.
	queueLines = 2048
	// batchBytes bounds what is handed to the writer in one call.
	batchBytes = 32 << 10
	// flushEvery is the pace of writing: one call takes all lines since the last.
	flushEvery = 100 * time.Millisecond
	// stopWait bounds the last write at a stop.
	stopWait = 300 * time.Millisecond
)

type (
	// Queue is an io.Writer for whole lines that never blocks.
	Queue struct {
		out     io.Writer
		lines   chan []byte
		dropped atomic.Int64
		stopped chan struct{}
	}
)

// NewQueue returns a queue before a writer; Run moves the lines.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueLines), stopped: make(chan struct{})}
}

// Logger returns a logger of JSON lines into the queue.
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

// Run writes queued lines until the context ends, then what is still queued.
func (q *Queue) Run(ctx context.Context) error {
	defer close(q.stopped)
	for fpclock.Sleep(ctx, flushEvery) {
		if err := q.flush(); err != nil {
			return err
		}
	}
	return q.flush()
}

// Wait waits for Run's last write, but not for a writer that stalls.
func (q *Queue) Wait() {
	select {
	case <-q.stopped:
	case <-time.After(stopWait):
	}
}

// flush writes the lines that are queued now.
func (q *Queue) flush() error {
	var batch []byte
	for range len(q.lines) {
		batch = append(batch, <-q.lines...)
		if len(batch) >= batchBytes {
			if _, err := q.out.Write(batch); err != nil {
				return errors.Wrap(err, "log")
			}
			batch = batch[:0]
		}
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := q.out.Write(batch)
	return errors.Wrap(err, "log")
}
