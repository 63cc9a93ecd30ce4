// Package fpcatalog holds one version of the operator's routing configuration
// as an immutable value: routes by host and path prefix, services, teams with
// their keys, and limits on what callers may send.
package fpcatalog
