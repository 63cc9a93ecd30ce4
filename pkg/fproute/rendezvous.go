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

// hash returns the replica's hash for rendezvous.
func (r *Replica) hash() uint64 {
	if r.Hash != 0 {
		return r.Hash
	}
	return HashName(r.Name)
}

// homes narrows members, indices into replicas, to the width best for key; the
// order among them is not defined. Members is reordered; scratch is as long.
func homes(key fpprefix.Key, replicas []Replica, members []int, scratch []uint64, width int) []int {
	if width >= len(members) {
		return members
	}
	scratch = scratch[:len(members)]
	for i, m := range members {
		scratch[i] = mix(uint64(key), replicas[m].hash())
	}
	selectTop(scratch, members, width)
	return members[:width]
}

// selectTop moves the n members with the highest values to the front (quickselect).
func selectTop(values []uint64, members []int, n int) {
	swap := func(i, j int) {
		values[i], values[j] = values[j], values[i]
		members[i], members[j] = members[j], members[i]
	}
	low, high := 0, len(values)-1
	for low < high {
		pivot := values[(low+high)/2]
		i, j := low, high
		for i <= j {
			for values[i] > pivot {
				i++
			}
			for values[j] < pivot {
				j--
			}
			if i <= j {
				swap(i, j)
				i++
				j--
			}
		}
		switch {
		case n-1 <= j:
			high = j
		case n-1 >= i:
			low = i
		default:
			return
		}
	}
}
