// Package fpstoretest holds the tests that every driver of the store port passes.
package fpstoretest
