package fproute

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// Placement is the message by which a host tells the other hosts of its zone where it sent
	// a request: the keys of its owner levels, the replica and the prefill work.
	Placement struct {
		Keys        []fpprefix.Key
		Replica     string
		Incarnation uint64
		Class       Class
		MissTokens  float64
		Age         time.Duration
	}
)

// NewPlacement returns the placement of a request that was sent to a candidate.
func NewPlacement(q Request, c Candidate) Placement {
	p := Placement{
		Replica:     c.Replica,
		Incarnation: c.Incarnation,
		Class:       q.Class,
		MissTokens:  c.MissTokens,
	}
	for _, l := range ownerLevels(q.Prompt.Levels) {
		p.Keys = append(p.Keys, l.Key)
	}
	return p
}

// RecordPeerPlacement records a placement by another host of the zone.
func (r *Router) RecordPeerPlacement(p Placement, now time.Time) {
	at := now.Add(-p.Age)
	for _, k := range p.Keys {
		r.cacheIndex.RecordStored(k, p.Replica, p.Incarnation, at)
	}
	r.load.recordPeerDispatch(p.Replica, p.Class, p.MissTokens, at)
}

// LargestPlacements returns at most n of the placements, those with the most prefill work. It may
// reorder the list.
func LargestPlacements(list []Placement, n int) []Placement {
	if len(list) <= n {
		return list
	}
	slices.SortStableFunc(list, func(a, b Placement) int { return cmp.Compare(b.MissTokens, a.MissTokens) })
	return list[:n]
}
