package fproute

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// mix returns a well spread hash of a and b (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	z := a ^ (b * mixMultiplier1)
	z = (z ^ (z >> 30)) * mixMultiplier1
	z = (z ^ (z >> 27)) * mixMultiplier2
	return z ^ (z >> 31)
}

// Owner returns the index of the name with the highest rendezvous hash for
// key, or -1 when there are no names.
func Owner(key string, names []string) int {
	best := -1
	var top uint64
	k := xxhash.Sum64String(key)
	for i, n := range names {
		if h := mix(k, xxhash.Sum64String(n)); best < 0 || h > top {
			best, top = i, h
		}
	}
	return best
}

// homes narrows members, indices into hashes, to the width best for key.
func homes(key fpprefix.Key, hashes []uint64, members []int, width int) []int {
	if width >= len(members) {
		return members
	}
	for i := range width {
		best := i
		top := mix(uint64(key), hashes[members[i]])
		for j := i + 1; j < len(members); j++ {
			if h := mix(uint64(key), hashes[members[j]]); h > top {
				best, top = j, h
			}
		}
		members[i], members[best] = members[best], members[i]
	}
	return members[:width]
}
