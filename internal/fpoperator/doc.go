// Package fpoperator is the operators' interface of a host: its HTTP handler
// and the client that the command line uses.
package fpoperator
