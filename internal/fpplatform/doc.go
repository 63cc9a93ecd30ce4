// Package fpplatform is the driver of the store port for the platform's
// key-value service of the product's own interface: the JSON form of the etcd
// version 3 protocol, of which it uses ranges, transactions, watches and leases.
package fpplatform
