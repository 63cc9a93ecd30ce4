// Package fpchat defines the chat completion messages that callers and engines exchange. They have
// the format that language-model clients commonly use, extended by text offsets, totals and cache
// fields.
package fpchat
