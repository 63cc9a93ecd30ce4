// Package fppipe is a network in memory, for tests in virtual time: servers
// listen on addresses, and connections can be refused, lost or go silent.
package fppipe
