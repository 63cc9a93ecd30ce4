// Package fpstate holds the immutable snapshot that the control goroutine
// publishes and that traffic reads: configuration, replicas, hosts, readiness.
package fpstate
