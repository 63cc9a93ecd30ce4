package fproute

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// maxHomeLevels bounds the levels that choose home replicas.
	maxHomeLevels = 4
	// maxNear bounds the replicas that are scored for one request, holders aside.
	maxNear = 32
)

// Place returns the ranked plan for a request, ErrNoReplica, or ErrOverload
// when even the best candidate's wait exceeds the class's bound.
func (r *Router) Place(v *View, q Request, now time.Time) (Decision, error) {
	local, remote := r.eligible(v, q, now)
	if len(local)+len(remote) == 0 {
		return Decision{}, ErrNoReplica
	}
	d := Decision{Eligible: len(local) + len(remote)}
	if len(local) > 0 {
		r.want(q.Prompt, v.Replicas[local[0]].PrefillRate, now)
		r.rank(&d, v, q, local, now)
	}
	if len(local) == 0 || d.Ranked[0].Queue > r.settings.SpillSeconds {
		r.rank(&d, v, q, remote, now)
	}
	best := d.Ranked[0]
	if best.Queue > r.settings.WaitBounds[q.Class] {
		return d, ErrOverload
	}
	d.Reason = best.reason(v)
	return d, nil
}

// eligible returns the indices of the replicas that may serve the request, inside and outside the zone.
func (r *Router) eligible(v *View, q Request, now time.Time) (local, remote []int) {
	local = make([]int, 0, len(v.Replicas))
	for i := range v.Replicas {
		p := &v.Replicas[i]
		switch {
		case p.Model != q.Model || p.Leaving || p.Down || slices.Contains(q.Avoid, p.Name):
		case q.Weights != "" && p.Weights != q.Weights:
		case !r.allows(p.Name, now):
		case p.Zone == v.Zone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	return local, remote
}

// rank scores the members and merges them into the decision's ranked list.
func (r *Router) rank(d *Decision, v *View, q Request, members []int, now time.Time) {
	if len(members) == 0 {
		return
	}
	hits := make([]float64, len(v.Replicas))
	near, home := r.home(d, v, q, members, hits, now)
	for _, i := range r.known(v, q, hits, now) {
		if !slices.Contains(near, i) && slices.Contains(members, i) {
			near = append(near, i)
		}
	}
	for _, i := range near {
		c := r.score(v, q, i, hits[i], now)
		c.Home = slices.Contains(home, i)
		d.Ranked = insert(d.Ranked, c)
	}
}

// home narrows the members level by level and credits each narrower circle
// with the level's tokens. It returns the circle in which a replica is looked
// for at all, and the innermost one.
func (r *Router) home(d *Decision, v *View, q Request, members []int, hits []float64, now time.Time) (near, innermost []int) {
	levels := homeLevels(q.Prompt.Levels)
	scratch := make([]uint64, len(members))
	near = slices.Clone(members)
	if len(levels) > 0 {
		first := levels[0].Key
		near = homes(first, v.Replicas, near, scratch, max(maxNear, r.width(v, first, now)))
	} else {
		near = homes(fpprefix.Key(HashName(q.ID)), v.Replicas, near, scratch, maxNear)
	}
	innermost = slices.Clone(near)
	for _, l := range levels {
		d.Width = r.width(v, l.Key, now)
		innermost = homes(l.Key, v.Replicas, innermost, scratch, d.Width)
		for _, i := range innermost {
			hits[i] = r.settings.HomePrior * float64(l.Tokens)
		}
	}
	return near, innermost
}

// width returns the number of replicas that the prefix's demand in the zone needs.
func (r *Router) width(v *View, key fpprefix.Key, now time.Time) int {
	zone := r.demand.perSecond(key, now) * float64(max(v.Hosts, 1))
	return 1 + int(zone/r.settings.TargetUtilization)
}

// known replaces the prior by evidence where there is any, and returns the replicas it is about.
func (r *Router) known(v *View, q Request, hits []float64, now time.Time) []int {
	var about []int
	for _, l := range q.Prompt.Levels {
		for _, h := range r.knowledge.holders(l.Key) {
			i := v.index(h.replica)
			if i < 0 || v.Replicas[i].Incarnation != h.incarnation {
				continue
			}
			sure := r.knowledge.confidence(h.replica, now.Sub(h.at))
			hits[i] = max(hits[i], sure*float64(l.Tokens))
			if !slices.Contains(about, i) {
				about = append(about, i)
			}
		}
	}
	return about
}

func (r *Router) score(v *View, q Request, i int, hit float64, now time.Time) Candidate {
	p := &v.Replicas[i]
	c := Candidate{
		Index:       i,
		Replica:     p.Name,
		Address:     p.Address,
		Incarnation: p.Incarnation,
		Queue:       r.load.queue(p, q.Class, now),
		HitTokens:   hit,
		MissTokens:  float64(q.Prompt.Tokens) - hit,
		PrefillRate: p.PrefillRate,
		RoundTrip:   p.RoundTrip,
		Remote:      p.Zone != v.Zone,
	}
	c.Score = c.Queue + c.RoundTrip + c.MissTokens/p.PrefillRate*(1+r.settings.RecomputeWeight[q.Class])
	if c.Remote {
		c.Score += r.settings.SpillSeconds
	}
	return c
}

// index returns the replica's index, or -1 when the view does not hold it.
func (v *View) index(name string) int {
	i, ok := slices.BinarySearchFunc(v.Replicas, name, func(p Replica, n string) int {
		switch {
		case p.Name < n:
			return -1
		case p.Name > n:
			return 1
		}
		return 0
	})
	if !ok {
		return -1
	}
	return i
}

func (c Candidate) reason(v *View) string {
	switch {
	case c.Remote:
		return "the zone cannot serve it in time"
	case c.HitTokens > 0 && c.Home:
		return "home of the prefix"
	case c.HitTokens > 0:
		return "holds the prefix"
	case len(v.Replicas) == 1:
		return "only replica"
	default:
		return "least predicted time to first token"
	}
}

// insert keeps the list sorted by score and no longer than MaxRanked.
func insert(list []Candidate, c Candidate) []Candidate {
	at := len(list)
	for at > 0 && c.Score < list[at-1].Score {
		at--
	}
	if at >= MaxRanked {
		return list
	}
	if list == nil {
		list = make([]Candidate, 0, MaxRanked+1)
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), MaxRanked)]
}

// homeLevels returns at most maxHomeLevels levels, evenly chosen, the shortest and the longest among them.
func homeLevels(levels []fpprefix.Level) []fpprefix.Level {
	if len(levels) <= maxHomeLevels {
		return levels
	}
	chosen := make([]fpprefix.Level, 0, maxHomeLevels)
	for i := range maxHomeLevels {
		chosen = append(chosen, levels[i*(len(levels)-1)/(maxHomeLevels-1)])
	}
	return chosen
}
