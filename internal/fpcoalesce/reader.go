package fpcoalesce

import (
	"context"
	"sync"
)

type (
	// Reader calls Read for any number of goroutines, one call at a time. A successful result comes from a call that
	// began after Get was called; an error may come from the call that was running then, so that none waits for
	// two failing calls. The zero value with Read set is ready to use.
	Reader[T any] struct {
		Read func() (T, error)

		mu      sync.Mutex
		running *call[T]
		next    *call[T]
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
	}
	l := r.next
	if r.running == nil {
		r.start()
	}
	return l
}

// start begins the next call; the lock is held.
func (r *Reader[T]) start() {
	r.running, r.next = r.next, nil
	if r.running != nil {
		go r.run(r.running)
	}
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
	r.start()
}
