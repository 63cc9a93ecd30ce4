package fproute

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// mixHashes combines two hashes into one by the finalizer of splitmix64.
func mixHashes(a, b uint64) uint64 {
	z := a ^ (b * mixMultiplier1)
	z = (z ^ (z >> 30)) * mixMultiplier1
	z = (z ^ (z >> 27)) * mixMultiplier2
	return z ^ (z >> 31)
}

// RendezvousOwner returns the index of the name with the highest rendezvous hash for
// key, or -1 when there are no names.
func RendezvousOwner(key string, names []string) int {
	best := -1
	var highest uint64
	keyHash := xxhash.Sum64String(key)
	for i, n := range names {
		if h := mixHashes(keyHash, xxhash.Sum64String(n)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// RendezvousRank returns the number of names with a higher rendezvous hash for key than the given name.
func RendezvousRank(key, name string, names []string) int {
	keyHash := xxhash.Sum64String(key)
	own, rank := mixHashes(keyHash, xxhash.Sum64String(name)), 0
	for _, n := range names {
		if n != name && mixHashes(keyHash, xxhash.Sum64String(n)) > own {
			rank++
		}
	}
	return rank
}

// nameHash returns the hash of the replica's name, its input to rendezvous hashing.
func (r *Replica) nameHash() uint64 {
	if r.Hash != 0 {
		return r.Hash
	}
	return HashName(r.Name)
}

// topByRendezvous returns the n of the given indices into replicas with the highest
// rendezvous hashes for key, in undefined order. It reorders indices in place; scratch must
// be at least as long.
func topByRendezvous(key fpprefix.Key, replicas []Replica, indices []int, scratch []uint64, n int) []int {
	if n >= len(indices) {
		return indices
	}
	scratch = scratch[:len(indices)]
	for i, p := range indices {
		scratch[i] = mixHashes(uint64(key), replicas[p].nameHash())
	}
	selectTop(scratch, indices, n)
	return indices[:n]
}

// selectTop moves the n indices with the highest values to the front, by quickselect.
func selectTop(values []uint64, indices []int, n int) {
	swap := func(i, j int) {
		values[i], values[j] = values[j], values[i]
		indices[i], indices[j] = indices[j], indices[i]
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
