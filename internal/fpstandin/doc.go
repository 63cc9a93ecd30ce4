// Package fpstandin plays the outside systems: the platform's key-value
// service, the host list, engines, plain services, the weight store and the
// cache store. Each speaks its system's protocol and has switches for its faults.
package fpstandin
