// Package fpstore defines the interface of a key-value store with revisions,
// leases and watches, and a follower that streams all changes under a prefix.
package fpstore
