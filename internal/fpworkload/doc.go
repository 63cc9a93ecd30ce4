// Package fpworkload generates the requests of the named workloads: prompts
// whose prefixes are nested in levels, popularity that is skewed, and a hot
// prefix that moves.
package fpworkload
