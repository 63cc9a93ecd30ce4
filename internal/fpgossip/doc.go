// Package fpgossip carries heartbeats between hosts as authenticated datagrams.
package fpgossip
