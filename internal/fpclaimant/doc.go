// Package fpclaimant runs the claim log's shards against the platform's
// key-value service, relays claims through other hosts when the platform cannot
// be reached, and stores the answers with which repeated requests are served.
package fpclaimant
