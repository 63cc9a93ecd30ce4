// Package fproute decides which replica serves a request. It predicts the time
// to first token of each replica from delayed load reports, the dispatches that
// this host knows of and the prefixes believed to be cached, and picks the lowest.
// Nothing in it does I/O; times are arguments.
package fproute
