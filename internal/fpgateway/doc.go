// Package fpgateway runs a host on a platform whose key-value store holds the configuration and
// the list of replicas. It accepts callers' requests, forwards them to replicas and relays the
// answers, follows the store, and rolls published model weights out to replicas. The Dialect
// interface hides the platform's wire formats.
package fpgateway
