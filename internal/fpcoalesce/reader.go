package fpcoalesce

import (
	"context"
	"sync"
	"time"
)

type (
	// Reader calls Read for any number of goroutines, one call at a time. A successful result comes from a call that
	// began after Get was called; an error may come from the call that was running then, so that none waits for
	// two failing calls. The zero value with Read set is ready to use.
	Reader[T any] struct {
		Read func() (T, error)
		// Overlap, unless it is 0, is how long a call may run before the next one begins beside it; Read has to be safe
		// for concurrent use then.
		Overlap time.Duration

		mu        sync.Mutex
		running   int
		startedAt time.Time
		next      *call[T]
	}

	call[T any] struct {
		done  chan struct{}
		value T
		err   error
	}
)

// Get returns the result of a call of Read, or the error of the context when that ends first.
func (r *Reader[T]) Get(ctx context.Context) (T, error) {
	l := r.join()
	select {
	case <-l.done:
		return l.value, l.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// join returns the call that begins next.
func (r *Reader[T]) join() *call[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &call[T]{done: make(chan struct{})}
		r.startLater()
	}
	l := r.next
	if r.running == 0 {
		r.start()
	}
	return l
}

// startLater begins the next call, if it has not begun by then, once the one before has run for Overlap; the lock is held.
func (r *Reader[T]) startLater() {
	if r.running == 0 || r.Overlap == 0 {
		return
	}
	l := r.next
	time.AfterFunc(r.Overlap-time.Since(r.startedAt), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.next == l {
			r.start()
		}
	})
}

// start begins the next call, if there is one; the lock is held.
func (r *Reader[T]) start() {
	if r.next == nil {
		return
	}
	r.running++
	r.startedAt = time.Now()
	go r.run(r.next)
	r.next = nil
}

func (r *Reader[T]) run(l *call[T]) {
	l.value, l.err = r.Read()
	close(l.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.err != nil && r.next != nil {
		r.next.err = l.err
		close(r.next.done)
		r.next = nil
	}
	if r.running--; r.running == 0 {
		r.start()
	}
}
