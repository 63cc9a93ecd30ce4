// Package fpclock reads a clock that goes on while the machine is suspended,
// and sleeps until a context ends.
package fpclock
