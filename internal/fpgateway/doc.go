// Package fpgateway is a host's shell on a platform whose store holds the
// configuration and the list of replicas: it takes callers' requests, sends
// them to replicas and relays the answers, follows the store, and brings
// replicas to the weights that are named. What is spoken on the wire is behind
// the Dialect port.
package fpgateway
