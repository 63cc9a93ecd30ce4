// Package fpprefix computes the keys that identify shared prompt prefixes: a hash chain over
// blocks of text, seeded with the properties that two requests must share for one to use
// the cache entries of the other.
package fpprefix
