// Package fpfleet holds what a host believes of the replicas that registered
// themselves, from a store that may be away and come back without some of them.
package fpfleet
