// Package fpload drives a named workload against entry hosts and reports what
// their callers saw.
package fpload
