// Package fpupstream is the client for upstreams: it sends attempts to engines
// and plain services, resumes and cancels them, polls whether they still run,
// reads load reports and cache events, and sends orders to engines.
//
// An upstream that takes no new requests until it starts anew may say so in the header of any answer,
// X-Leaving: true, besides its load reports.
package fpupstream
