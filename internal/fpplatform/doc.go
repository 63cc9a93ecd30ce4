// Package fpplatform speaks to the platform's key-value service over the JSON
// form of the etcd version 3 protocol: single-key compare-and-swap, leases and
// watches, and nothing else of it.
package fpplatform
