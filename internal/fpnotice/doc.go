// Package fpnotice sends short notices between hosts in datagrams: dispatched
// requests, and changes of replicas, their weights and their caches. A lost notice
// may cost time but never correctness.
package fpnotice
