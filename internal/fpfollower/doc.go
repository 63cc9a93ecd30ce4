// Package fpfollower keeps a host's copy of the configuration up to date from the
// platform's store and from other hosts, and writes operators' patches to the store.
package fpfollower
