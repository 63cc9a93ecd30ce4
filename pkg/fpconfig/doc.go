// Package fpconfig holds the operators' configuration: the document, the
// patches that change it by one version each, and the state machine with which
// a host follows them. Nothing in it does I/O.
package fpconfig
