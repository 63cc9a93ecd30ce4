// Package fppipe simulates a network in memory for tests in virtual time: servers
// listen on addresses, which can be made unreachable, and connections can go silent.
package fppipe
