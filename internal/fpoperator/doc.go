// Package fpoperator implements the HTTP API that a host offers to operators,
// and the client for it that the command line uses.
package fpoperator
