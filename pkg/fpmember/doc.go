// Package fpmember keeps the table of entry hosts: who is there, who has gone
// silent, and whom to send heartbeats to. No agreement is sought: suspicion
// only re-ranks. Nothing in it does I/O.
package fpmember
