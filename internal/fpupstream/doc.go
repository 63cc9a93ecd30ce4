// Package fpupstream speaks to upstreams: it sends attempts to engines and
// plain services, resumes and cancels them, asks whether they still run, reads
// load reports and cache events, and gives orders.
package fpupstream
