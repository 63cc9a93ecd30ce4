// Package fpweights keeps what is known of the weights that replicas have loaded: their own statements, which arrive
// late and out of order, and their registrations, which follow later still. It does no I/O.
package fpweights
