// Package fpmember implements the membership table of the entry hosts: a
// heartbeat failure detector and the choice of gossip contacts. Hosts seek no
// consensus on membership, because a wrong suspicion only changes the ranking
// of hosts. The package does no I/O.
package fpmember
