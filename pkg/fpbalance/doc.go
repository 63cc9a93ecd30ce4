// Package fpbalance chooses replicas for requests with and without prompts:
// by what each replica holds in its cache, by predicted wait, by distance and
// by the version of its weights. It does no I/O and has no clock.
package fpbalance
