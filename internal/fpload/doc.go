// Package fpload is a load generator: it sends a named workload's requests to entry
// hosts and reports what callers observed.
package fpload
