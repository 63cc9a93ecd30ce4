// Package fpstoretest holds the conformance tests for implementations of fpstore.Store.
package fpstoretest
