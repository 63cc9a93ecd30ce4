// Package fppeer implements the server and the client of the protocol between entry hosts.
package fppeer
