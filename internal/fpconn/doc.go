// Package fpconn sends single HTTP/1.1 requests to upstreams over connections
// that it keeps itself: one request a connection at a time, never a repeat of
// its own, answers matched by ID, and a connection with anything unexpected on
// it is closed.
package fpconn
