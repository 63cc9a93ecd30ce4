// Package fppeer serves the protocol between entry hosts and calls it.
package fppeer
