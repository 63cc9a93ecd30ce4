// Package fpfresh tracks how stale a host's copy of the operator's configuration
// may be, and which decisions that staleness still allows.
package fpfresh
