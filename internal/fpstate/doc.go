// Package fpstate holds the immutable snapshot of configuration, replicas, hosts and
// readiness that the control goroutine publishes and request handlers read.
package fpstate
