package fplimit

import (
	"math"
	"time"
)

const (
	// extraSharers is added to the requests a second of a limit to bound the hosts that share it. Each
	// host may send one request at once, so that more hosts could exceed a low limit together.
	extraSharers = 2
	// minSharedRate is the rate that the hosts that share a limit use at least; without any request
	// they would not learn of its end.
	minSharedRate = 0.1
	// ProbeInterval is the interval at which a host without a share of a limit may send a request once
	// nobody has told it of the limit for as long.
	ProbeInterval = 10 * time.Second
	// NoShare is the wait of a host without a share.
	NoShare = time.Duration(math.MaxInt64)
)

type (
	// Pace spaces the requests that one host sends within its share of a limit. The zero value has no
	// request to wait for. It is not safe for concurrent use.
	Pace struct {
		share  float64
		toldAt time.Duration
		next   time.Duration
	}
)

// Sharers returns the number of hosts, of those in the fleet, that share a limit on requests a second.
func Sharers(limit float64, hosts int) int {
	return max(min(float64ToInt(limit)+extraSharers, hosts), 1)
}

func float64ToInt(v float64) int { return int(min(v, math.MaxInt32)) }

// HostShare returns the requests a second that a host may send within a limit that the fleet shares;
// rank is its place among the hosts, and it is 0 for those that get no share.
func HostShare(limit float64, rank, hosts int) float64 {
	n := Sharers(limit, hosts)
	if rank >= n {
		return 0
	}
	return max(limit, minSharedRate) / float64(n)
}

// SetShare sets the host's share of the limit, in requests a second, as it was told at a time. Places
// that are reserved already count at the new share.
func (p *Pace) SetShare(share float64, now time.Duration) {
	before := p.interval()
	p.share, p.toldAt = share, now
	if p.next > now {
		p.next = now + time.Duration(float64(p.next-now)*float64(p.interval())/float64(before))
	}
}

// Wait returns how long the next request has to wait, NoShare if there is none to wait for.
func (p *Pace) Wait(now time.Duration) time.Duration {
	if p.share <= 0 && now-p.toldAt < ProbeInterval {
		return NoShare
	}
	return max(p.next-now, 0)
}

// Reserve takes the place of the next request.
func (p *Pace) Reserve(now time.Duration) { p.next = max(p.next, now) + p.interval() }

func (p *Pace) interval() time.Duration {
	if p.share <= 0 {
		return ProbeInterval
	}
	return time.Duration(float64(time.Second) / p.share)
}
