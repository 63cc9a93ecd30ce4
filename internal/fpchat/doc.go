// Package fpchat holds the chat messages that callers and engines exchange:
// the shape that language-model clients use, with the offsets, totals and
// cache fields that this system adds.
package fpchat
