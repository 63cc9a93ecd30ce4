// Package fplimit holds teams to their limits over a fleet without a call for
// each request: each host admits within its share, and shares follow demand.
// Nothing in it does I/O.
package fplimit
