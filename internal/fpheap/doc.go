// Package fpheap implements a priority queue for items of any type.
package fpheap
