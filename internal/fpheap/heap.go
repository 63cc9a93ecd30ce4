package fpheap

import (
	"container/heap"
	"slices"
)

type (
	// Heap is a binary heap ordered by the function given to New. It is not safe for concurrent use.
	Heap[T any] struct {
		inner sliceHeap[T]
	}

	// sliceHeap implements heap.Interface.
	sliceHeap[T any] struct {
		items []T
		less  func(a, b T) bool
	}
)

// New returns an empty heap; less reports whether a sorts before b.
func New[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{inner: sliceHeap[T]{less: less}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// Items returns the heap's own slice of items in no particular order; it must not be modified.
func (h *Heap[T]) Items() []T { return h.inner.items }

// Push adds an item.
func (h *Heap[T]) Push(v T) { heap.Push(&h.inner, v) }

// Pop removes and returns the first item; it panics on an empty heap.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.inner).(T) }

// First returns the first item; it panics on an empty heap.
func (h *Heap[T]) First() T { return h.inner.items[0] }

// DeleteFunc removes all items for which drop is true.
func (h *Heap[T]) DeleteFunc(drop func(T) bool) {
	h.inner.items = slices.DeleteFunc(h.inner.items, drop)
	heap.Init(&h.inner)
}

// Len returns the number of items.
func (q *sliceHeap[T]) Len() int { return len(q.items) }

// Less reports whether item i sorts before item j.
func (q *sliceHeap[T]) Less(i, j int) bool { return q.less(q.items[i], q.items[j]) }

// Swap exchanges two items.
func (q *sliceHeap[T]) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push adds an item at the end.
func (q *sliceHeap[T]) Push(v any) { q.items = append(q.items, v.(T)) }

// Pop removes the last item.
func (q *sliceHeap[T]) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
