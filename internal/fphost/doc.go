// Package fphost assembles one entry host: a control goroutine that owns the
// control state and publishes snapshots of it, the I/O around the packages that
// do none, and the listeners. All run in one run group and stop together.
package fphost
