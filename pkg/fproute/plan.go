package fproute

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// maxOwnerLevels bounds the levels by which rendezvous hash owners are selected.
	maxOwnerLevels = 4
	// maxScored bounds the replicas that are scored for one request, not counting holders of
	// its prefixes; a prefix that needs more owners raises it.
	maxScored = 32
)

// Place returns the ranked candidates for a request, ErrNoReplica, or ErrOverload when the
// best candidate's predicted wait exceeds the class's bound.
func (r *Router) Place(v *View, q Request, now time.Time) (Decision, error) {
	local, remote := r.eligibleReplicas(v, q, now)
	if len(local)+len(remote) == 0 {
		return Decision{}, ErrNoReplica
	}
	d := Decision{EligibleCount: len(local) + len(remote)}
	if len(local) > 0 {
		r.recordDemand(q.Prompt, v.Replicas[local[0]].PrefillRate, now)
		r.rankReplicas(&d, v, q, local, now)
	}
	if len(local) == 0 || d.Ranked[0].QueueSeconds > r.settings.SpillSeconds {
		r.rankReplicas(&d, v, q, remote, now)
	}
	best := d.Ranked[0]
	if best.QueueSeconds > r.settings.WaitBounds[q.Class] {
		return d, ErrOverload
	}
	d.Reason = best.reason(v)
	return d, nil
}

// eligibleReplicas returns the indices of the replicas that may serve the request, inside and
// outside the zone.
func (r *Router) eligibleReplicas(v *View, q Request, now time.Time) (local, remote []int) {
	local = make([]int, 0, len(v.Replicas))
	for i := range v.Replicas {
		p := &v.Replicas[i]
		switch {
		case p.Model != q.Model || p.Leaving || p.Down || slices.Contains(q.ExcludedReplicas, p.Name):
		case q.Weights != "" && p.Weights != q.Weights:
		case q.Continued && p.SoftwareVersion != q.SoftwareVersion:
		case !r.allowsDispatch(p.Name, now):
		case p.Zone == v.Zone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	return local, remote
}

// rankReplicas scores the best of the eligible replicas and merges them into the decision's
// ranked list.
func (r *Router) rankReplicas(d *Decision, v *View, q Request, eligible []int, now time.Time) {
	if len(eligible) == 0 {
		return
	}
	hits := make([]float64, len(v.Replicas))
	scored, owners := r.selectOwners(d, v, q, eligible, hits, now)
	for _, i := range r.applyCacheIndex(v, q, hits, now) {
		if !slices.Contains(scored, i) && slices.Contains(eligible, i) {
			scored = append(scored, i)
		}
	}
	for _, i := range scored {
		c := r.scoreReplica(v, q, i, hits[i], now)
		c.IsOwner = slices.Contains(owners, i)
		d.Ranked = insertRanked(d.Ranked, c)
	}
}

// selectOwners narrows the eligible replicas level by level to the rendezvous hash owners of
// each level, and assumes for these a share of the level's tokens as cached. It returns the
// replicas to score and, among them, the owners of the longest level.
func (r *Router) selectOwners(d *Decision, v *View, q Request, eligible []int, hits []float64, now time.Time) (scored, owners []int) {
	levels := ownerLevels(q.Prompt.Levels)
	scratch := make([]uint64, len(eligible))
	scored = slices.Clone(eligible)
	if len(levels) > 0 {
		first := levels[0].Key
		scored = topByRendezvous(first, v.Replicas, scored, scratch, max(maxScored, r.ownerCount(v, first, now)))
	} else {
		scored = topByRendezvous(fpprefix.Key(HashName(q.ID)), v.Replicas, scored, scratch, maxScored)
	}
	owners = slices.Clone(scored)
	for _, l := range levels {
		d.OwnerCount = r.ownerCount(v, l.Key, now)
		owners = topByRendezvous(l.Key, v.Replicas, owners, scratch, d.OwnerCount)
		for _, i := range owners {
			hits[i] = r.settings.HomePrior * float64(l.Tokens)
		}
	}
	return scored, owners
}

// ownerCount returns the number of owners that the prefix's demand in the zone needs.
// The zone's demand is estimated as this host's times the number of hosts.
func (r *Router) ownerCount(v *View, key fpprefix.Key, now time.Time) int {
	zoneDemand := r.demand.utilization(key, now) * float64(max(v.Hosts, 1))
	return 1 + int(zoneDemand/r.settings.TargetUtilization)
}

// applyCacheIndex raises the expected hits to those that the cache index predicts, and returns
// the indices of the replicas that hold a level of the prompt according to it.
func (r *Router) applyCacheIndex(v *View, q Request, hits []float64, now time.Time) []int {
	var known []int
	for _, l := range q.Prompt.Levels {
		for _, h := range r.cacheIndex.holders(l.Key) {
			i := v.indexOf(h.replica)
			if i < 0 || v.Replicas[i].Incarnation != h.incarnation {
				continue
			}
			probability := r.cacheIndex.residencyProbability(h.replica, now.Sub(h.storedAt))
			hits[i] = max(hits[i], probability*float64(l.Tokens))
			if !slices.Contains(known, i) {
				known = append(known, i)
			}
		}
	}
	return known
}

func (r *Router) scoreReplica(v *View, q Request, i int, hit float64, now time.Time) Candidate {
	p := &v.Replicas[i]
	c := Candidate{
		Index:            i,
		Replica:          p.Name,
		Address:          p.Address,
		Incarnation:      p.Incarnation,
		SoftwareVersion:  p.SoftwareVersion,
		QueueSeconds:     r.load.queueSeconds(p, q.Class, now),
		HitTokens:        hit,
		MissTokens:       float64(q.Prompt.Tokens) - hit,
		PrefillRate:      p.PrefillRate,
		RoundTripSeconds: p.RoundTripSeconds,
		Remote:           p.Zone != v.Zone,
	}
	c.Score = c.QueueSeconds + c.RoundTripSeconds + c.MissTokens/p.PrefillRate*(1+r.settings.RecomputeWeight[q.Class])
	if c.Remote {
		c.Score += r.settings.SpillSeconds
	}
	return c
}

// indexOf returns the index of the named replica, or -1 when the view does not have it.
func (v *View) indexOf(name string) int {
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
	case c.HitTokens > 0 && c.IsOwner:
		return "home of the prefix"
	case c.HitTokens > 0:
		return "holds the prefix"
	case len(v.Replicas) == 1:
		return "only replica"
	default:
		return "least predicted time to first token"
	}
}

// insertRanked inserts a candidate into a list sorted by score and keeps the MaxRanked best.
func insertRanked(list []Candidate, c Candidate) []Candidate {
	i := len(list)
	for i > 0 && c.Score < list[i-1].Score {
		i--
	}
	if i >= MaxRanked {
		return list
	}
	if list == nil {
		list = make([]Candidate, 0, MaxRanked+1)
	}
	list = slices.Insert(list, i, c)
	return list[:min(len(list), MaxRanked)]
}

// ownerLevels returns at most maxOwnerLevels levels, evenly spaced, including the shortest and
// the longest.
func ownerLevels(levels []fpprefix.Level) []fpprefix.Level {
	if len(levels) <= maxOwnerLevels {
		return levels
	}
	chosen := make([]fpprefix.Level, 0, maxOwnerLevels)
	for i := range maxOwnerLevels {
		chosen = append(chosen, levels[i*(len(levels)-1)/(maxOwnerLevels-1)])
	}
	return chosen
}
