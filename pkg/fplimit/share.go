package fplimit

import (
	"time"
)

const (
	// floorShare is the part of a limit that is spread evenly, whatever the demand.
	floorShare = 0.02
	// headroom is what a host may get beyond its present demand when the limit is not used up.
	headroom = 1.2
	// reserveFor is how long the share of a host that fell silent stays reserved.
	reserveFor = 30 * time.Second
)

type (
	// Allocator shares one team's limit among hosts by their demand. It is not safe for concurrent use.
	Allocator struct {
		hosts map[string]claimed
	}

	claimed struct {
		demand Rates
		share  Rates
		at     time.Time
	}
)

// NewAllocator returns an allocator without demand.
func NewAllocator() *Allocator { return &Allocator{hosts: make(map[string]claimed)} }

// Update takes in a host's demand and returns its share of the limit; hosts is
// the number of hosts in the fleet. Shares handed out never sum to more than
// the limit: what another host holds is free only once it has reported less
// demand or has been silent for a while.
func (a *Allocator) Update(host string, demand, limit Rates, hosts int, now time.Time) Rates {
	for h, c := range a.hosts {
		if h != host && now.Sub(c.at) > reserveFor {
			delete(a.hosts, h)
		}
	}
	c := claimed{demand: demand, at: now}
	var total, held Rates
	for h, o := range a.hosts {
		if h != host {
			total = total.plus(o.demand)
			held = held.plus(o.share)
		}
	}
	total = total.plus(demand)
	c.share = Rates{
		Requests: shareOf(demand.Requests, total.Requests, held.Requests, limit.Requests, hosts),
		Tokens:   shareOf(demand.Tokens, total.Tokens, held.Tokens, limit.Tokens, hosts),
	}
	a.hosts[host] = c
	return c.share
}

// Even returns the share of a host that has not been told one.
func Even(limit Rates, hosts int) Rates {
	n := float64(max(hosts, 1))
	return Rates{Requests: limit.Requests / n, Tokens: limit.Tokens / n}
}

// shareOf splits a limit. While it is not used up, each host gets its demand
// with headroom and an even part of what is left; otherwise a floor and the
// rest by demand. A host never gets what others hold.
func shareOf(demand, total, held, limit float64, hosts int) float64 {
	if limit <= 0 {
		return 0
	}
	n := float64(max(hosts, 1))
	fair := limit*floorShare/n + limit*(1-floorShare)*demand/max(total, 1)
	if spare := limit - total*headroom; spare > 0 {
		fair = demand*headroom + spare/n
	}
	return max(min(fair, limit-held), 0)
}

func (r Rates) plus(o Rates) Rates {
	return Rates{Requests: r.Requests + o.Requests, Tokens: r.Tokens + o.Tokens}
}
