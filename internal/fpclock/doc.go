// Package fpclock reads a clock that goes on while the machine is suspended.
package fpclock
