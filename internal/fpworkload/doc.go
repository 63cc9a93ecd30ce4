// Package fpworkload generates the requests of the named workloads: prompts with
// prefixes nested in levels, Zipf-distributed popularity and a hot prefix that
// changes over time.
package fpworkload
