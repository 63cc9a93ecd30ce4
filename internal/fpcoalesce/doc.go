// Package fpcoalesce merges concurrent calls of one function whose results must not be older than the call.
package fpcoalesce
