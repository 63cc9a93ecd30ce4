package fpingress

import "golang.org/x/sys/unix"

const (
	// descriptorsForFiles are left to files, and outboundShare is which part of the others is left to the host's own
	// connections: one of so many.
	descriptorsForFiles = 200
	outboundShare       = 4
	minConnections      = 16
)

// MaxConnections returns how many connections a host may accept that may have the given number of descriptors open, 0 for
// as many as the operating system allows.
func MaxConnections(descriptors int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || uint64(descriptors) > limit.Cur) {
		descriptors = int(min(limit.Cur, 1<<30))
	}
	descriptors -= descriptorsForFiles
	return max(descriptors-descriptors/outboundShare, minConnections)
}
