package fplimit

import (
	"time"
)

const (
	// evenFraction is the fraction of a limit that is split evenly among hosts, whatever their demand.
	evenFraction = 0.02
	// demandHeadroom scales a host's demand to its share while the limit is not used up.
	demandHeadroom = 1.2
	// silentHostShareTTL is how long the share of a host stays reserved without reports from it.
	silentHostShareTTL = 30 * time.Second
)

type (
	// Allocator splits one team's limit among hosts by their demand. It is not safe for concurrent
	// use.
	Allocator struct {
		hosts map[string]hostShare
	}

	// hostShare is the last reported demand of a host and the share that it was given.
	hostShare struct {
		demand    Rates
		share     Rates
		updatedAt time.Time
	}
)

// NewAllocator returns an allocator that has given out no shares.
func NewAllocator() *Allocator { return &Allocator{hosts: make(map[string]hostShare)} }

// UpdateDemand records a host's demand and returns its share of the limit; hosts is the number of
// hosts in the fleet. The shares given out never sum to more than the limit: the share of another
// host is free only after that host was given a smaller one or sent no report for
// silentHostShareTTL.
func (a *Allocator) UpdateDemand(host string, demand, limit Rates, hosts int, now time.Time) Rates {
	for h, s := range a.hosts {
		if h != host && now.Sub(s.updatedAt) > silentHostShareTTL {
			delete(a.hosts, h)
		}
	}
	s := hostShare{demand: demand, updatedAt: now}
	var total, held Rates
	for h, o := range a.hosts {
		if h != host {
			total = total.add(o.demand)
			held = held.add(o.share)
		}
	}
	total = total.add(demand)
	s.share = Rates{
		Requests: splitLimit(demand.Requests, total.Requests, held.Requests, limit.Requests, hosts),
		Tokens:   splitLimit(demand.Tokens, total.Tokens, held.Tokens, limit.Tokens, hosts),
	}
	a.hosts[host] = s
	return s.share
}

// EvenShare returns the share that a host uses until it is given one: an even part of the limit.
func EvenShare(limit Rates, hosts int) Rates {
	n := float64(max(hosts, 1))
	return Rates{Requests: limit.Requests / n, Tokens: limit.Tokens / n}
}

// splitLimit returns a host's share of a limit. While the limit is not used up, that is the host's
// demand with headroom and an even part of what is left; otherwise it is an even part of a small
// fraction and, of the rest, a part in proportion to demand. The shares that other hosts hold are
// never given out again.
func splitLimit(demand, total, held, limit float64, hosts int) float64 {
	if limit <= 0 {
		return 0
	}
	n := float64(max(hosts, 1))
	share := limit*evenFraction/n + limit*(1-evenFraction)*demand/max(total, 1)
	if spare := limit - total*demandHeadroom; spare > 0 {
		share = demand*demandHeadroom + spare/n
	}
	return max(min(share, limit-held), 0)
}

// add returns the sum of the rates.
func (r Rates) add(o Rates) Rates {
	return Rates{Requests: r.Requests + o.Requests, Tokens: r.Tokens + o.Tokens}
}
