// Package fplog writes JSON log lines through a bounded queue: callers never block
// on the writer, and lines that don't fit into the queue are dropped and counted.
package fplog
