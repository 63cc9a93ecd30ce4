// Package fpconn sends HTTP/1.1 requests to upstreams over its own connection
// pool. A connection carries one request at a time, requests are never retried,
// a response must match the call's ID, and a connection that carries unexpected
// bytes is closed.
package fpconn
