// Package fpfeed implements a change feed between the hosts of an availability zone:
// hosts fetch the store's changes and their age from a peer, so that the number of
// calls to the store doesn't grow with the number of hosts.
package fpfeed
