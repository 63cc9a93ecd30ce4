// Package fpbudget divides a limited number of bytes of memory among its users by class, and chooses whose share is
// taken back when the bytes run short.
package fpbudget
