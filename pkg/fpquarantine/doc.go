// Package fpquarantine finds the requests and the prompt parts that crash replicas, so that they can be
// kept from the replicas that are left. A crash breaks all requests at its replica; what caused it is what
// was there at crash after crash and that no replica has answered since.
// A suspected part is tried: requests with it are sent one at a time, each to a replica with no other trial.
// Where few others are answered, trials whose replicas crash at once tell as much: none of them would have crashed by itself
// just then. A replica that lives on with the suspect clears it.
// The package does no I/O.
package fpquarantine
