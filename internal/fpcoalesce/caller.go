package fpcoalesce

import (
	"context"
	"sync"
)

type (
	// Caller calls Func for any number of goroutines, one call at a time. A successful result comes from a call
	// that began after Do was called; an error may come from the call that was running then, so that a caller
	// never waits for two failing calls. The zero value with Func set is ready to use.
	Caller[T any] struct {
		Func func() (T, error)

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

// Do returns the result of a call of Func, or the error of the context when that ends first.
func (c *Caller[T]) Do(ctx context.Context) (T, error) {
	l := c.join()
	select {
	case <-l.done:
		return l.value, l.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// join returns the call that begins next.
func (c *Caller[T]) join() *call[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &call[T]{done: make(chan struct{})}
	}
	l := c.next
	if c.running == nil {
		c.start()
	}
	return l
}

// start begins the next call; the lock is held.
func (c *Caller[T]) start() {
	c.running, c.next = c.next, nil
	if c.running != nil {
		go c.run(c.running)
	}
}

func (c *Caller[T]) run(l *call[T]) {
	l.value, l.err = c.Func()
	close(l.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.err != nil && c.next != nil {
		c.next.err = l.err
		close(c.next.done)
		c.next = nil
	}
	c.start()
}
