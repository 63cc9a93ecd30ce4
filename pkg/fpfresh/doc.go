// Package fpfresh judges how recent a host's belief of the operator's
// configuration is, and what it may still decide by it.
package fpfresh
