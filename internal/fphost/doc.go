// Package fphost puts one entry host together: one control goroutine that owns
// control state and publishes snapshots, the shells around the pure packages,
// and the listeners, all in one run group that starts and stops together.
package fphost
