// Package fpfollower keeps a host's copy of the configuration current, from
// the platform's service and from other hosts, and writes operators' patches.
package fpfollower
