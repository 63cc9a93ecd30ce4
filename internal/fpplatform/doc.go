// Package fpplatform implements fpstore.Store for the platform's key-value service.
// The service speaks the JSON form of the etcd version 3 protocol; the client uses
// its ranges, transactions, watches and leases.
package fpplatform
