// Package fpconfig defines the operators' configuration: the document, the
// patches that each advance it by one version, and the replica with which a
// host applies them in order. The package does no I/O.
package fpconfig
