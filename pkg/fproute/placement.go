package fproute

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// Placement is what a host tells the others of its zone about a request it
	// placed: the keys of its levels, where it went and the work that it brought.
	Placement struct {
		Keys        []fpprefix.Key
		Replica     string
		Incarnation uint64
		Class       Class
		MissTokens  float64
		Age         time.Duration
	}
)

// NewPlacement returns what to tell other hosts of a request sent to a candidate.
func NewPlacement(q Request, c Candidate) Placement {
	p := Placement{
		Replica:     c.Replica,
		Incarnation: c.Incarnation,
		Class:       q.Class,
		MissTokens:  c.MissTokens,
	}
	for _, l := range homeLevels(q.Prompt.Levels) {
		p.Keys = append(p.Keys, l.Key)
	}
	return p
}

// Heard takes in what another host of the zone placed.
func (r *Router) Heard(p Placement, now time.Time) {
	at := now.Add(-p.Age)
	for _, k := range p.Keys {
		r.knowledge.Stored(k, p.Replica, p.Incarnation, at)
	}
	r.load.heard(p.Replica, p.Class, p.MissTokens, at)
}

// Heaviest returns at most n of the placements, those that brought most work.
func Heaviest(list []Placement, n int) []Placement {
	if len(list) <= n {
		return list
	}
	slices.SortStableFunc(list, func(a, b Placement) int { return cmp.Compare(b.MissTokens, a.MissTokens) })
	return list[:n]
}
