// Package fpstore is the port to a key-value store with revisions, leases and
// watches, and the follower that keeps a copy of it current.
package fpstore
