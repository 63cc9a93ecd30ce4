// Package fpstream reassembles an answer stream from pieces with byte offsets:
// duplicates are dropped, text behind a gap is buffered until the gap closes,
// and pieces of any attempt but the current one are rejected.
package fpstream
