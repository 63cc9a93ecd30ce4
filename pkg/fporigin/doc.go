// Package fporigin remembers at which software version of a service each stream began, for as long as
// its caller may take it up again. It does no I/O.
package fporigin
