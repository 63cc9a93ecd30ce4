// Package fpmemory is a key-value store in memory with revisions, leases,
// watches and a bounded history: the state behind every stand-in of a store.
package fpmemory
