// Package fpcoalesce merges concurrent reads whose results must not be older than the read.
package fpcoalesce
