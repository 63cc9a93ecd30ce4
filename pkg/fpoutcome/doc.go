// Package fpoutcome holds the four results that a request can have and the
// ledger that decides which of them may be claimed.
package fpoutcome
