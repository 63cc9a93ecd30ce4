// Package fpclaimant runs the claim log's shards against the platform's
// service, relays claims through other hosts when the platform cannot be
// reached, and keeps the answers that repeats are given.
package fpclaimant
