// Package fpupstream is the client for upstreams: it sends attempts to engines
// and plain services, resumes and cancels them, polls whether they still run,
// reads load reports and cache events, and sends orders to engines.
//
// An upstream that takes no new requests until it starts anew may say so in the header of any answer,
// X-Leaving: true, besides its load reports. One that refuses an attempt with 503 or 429, which means that it did
// not run it, may add Retry-After in seconds: it wants no request from this host for so long. A plain service's
// refusal has Retry-After and no attempt's ID; with the ID it is its response.
package fpupstream
