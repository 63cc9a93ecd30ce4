// Package fpfleet tracks the registered replicas. The store that holds their registrations
// may be unreachable for a time, and registrations of living replicas may lapse meanwhile.
package fpfleet
