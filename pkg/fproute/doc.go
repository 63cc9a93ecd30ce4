// Package fproute decides which replica serves a request. It predicts the time
// to first token of each replica from lagging load reports, the host's own
// work in flight and what is believed to be cached, and takes the least.
// Nothing in it does I/O; times and random sources are arguments.
package fproute
