// Package fprecord keeps typed records of routing and control decisions in a
// ring buffer, from which operators learn why a request was handled as it was.
package fprecord
