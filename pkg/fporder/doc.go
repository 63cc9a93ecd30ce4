// Package fporder decides which orders to give to upstreams: one holder of a
// lease brings replicas to the weights that the configuration asks for, a few
// at a time, and never so many that a zone's service stops. Nothing in it does I/O.
package fporder
