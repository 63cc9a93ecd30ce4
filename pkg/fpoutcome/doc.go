// Package fpoutcome defines the four outcomes of a request and the ledger that
// derives the outcome from what was dispatched.
package fpoutcome
