// Package fpnews lets the hosts of an availability zone learn the store's
// changes from one of them, with the age of what it says, so that calls to the
// store don't grow with the number of hosts.
package fpnews
