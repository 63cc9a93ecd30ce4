// Package fpquarantine finds the prompt parts that crash replicas, so that requests with them can be
// kept from the replicas that are left. A crash breaks all requests at its replica; the part that
// caused it is the one that was there at crash after crash and that no replica has answered since.
// The package does no I/O.
package fpquarantine
