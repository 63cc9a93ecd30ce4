// Package fpclock reads a monotonic clock that keeps running while the machine is
// suspended, and provides a sleep that a context can cancel.
package fpclock
