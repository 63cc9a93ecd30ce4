// Package fpheap is a priority queue of any type.
package fpheap
