// Package fplog writes JSON lines through a bounded queue: a caller never
// waits for the writer, and what finds no room is dropped and counted.
package fplog
