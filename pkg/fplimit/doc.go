// Package fplimit enforces the teams' rate limits over a fleet without a remote
// call for each request: each host admits requests within its share of a limit,
// and the shares follow demand. It does no I/O.
package fplimit
