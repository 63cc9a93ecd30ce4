// Package fpstandin holds stand-ins (test doubles) for the external systems: the platform's
// key-value service, the host list, engines, plain services, the weight store and the cache store.
// Each speaks the protocol of its system; those with faults to inject have a switch for each fault.
package fpstandin
