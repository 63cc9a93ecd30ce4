// Package fpupstream is the client for upstreams: it sends attempts to engines
// and plain services, resumes and cancels them, polls whether they still run,
// reads load reports and cache events, and sends orders to engines.
package fpupstream
