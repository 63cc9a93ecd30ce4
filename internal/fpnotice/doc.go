// Package fpnotice carries short notices between hosts in datagrams: what was
// sent where, and which replicas change their weights. A lost notice costs
// time and never correctness.
package fpnotice
