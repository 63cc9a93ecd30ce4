// Package fpmemory implements an in-memory key-value store with revisions, leases,
// watches and a bounded history. All simulated stores keep their state in it.
package fpmemory
