// Package fpstream assembles the pieces of an answer stream in order: pieces
// carry offsets, duplicates are dropped, gaps are never delivered and pieces
// of different attempts are never mixed.
package fpstream
