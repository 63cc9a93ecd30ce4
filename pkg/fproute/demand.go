package fproute

import (
	"math"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// demandMemory is the time over which demand is averaged.
	demandMemory = 5 * time.Second
)

type (
	// demand averages the prefill work per second that each prefix causes at this host.
	demand struct {
		limit int
		young map[fpprefix.Key]rate
		old   map[fpprefix.Key]rate
	}

	rate struct {
		work float64
		at   time.Time
	}
)

func newDemand(limit int) *demand {
	return &demand{limit: limit, young: make(map[fpprefix.Key]rate), old: make(map[fpprefix.Key]rate)}
}

// add records work in seconds of prefill for the prefix.
func (d *demand) add(key fpprefix.Key, work float64, now time.Time) {
	r := d.get(key)
	r.work = r.decayed(now) + work/demandMemory.Seconds()
	r.at = now
	delete(d.old, key)
	d.young[key] = r
	if len(d.young) > d.limit {
		d.old = d.young
		d.young = make(map[fpprefix.Key]rate)
	}
}

// perSecond returns the prefix's work in seconds of prefill a second.
func (d *demand) perSecond(key fpprefix.Key, now time.Time) float64 {
	return d.get(key).decayed(now)
}

func (d *demand) get(key fpprefix.Key) rate {
	if r, ok := d.young[key]; ok {
		return r
	}
	return d.old[key]
}

func (r rate) decayed(now time.Time) float64 {
	if r.work == 0 {
		return 0
	}
	return r.work * math.Exp(-now.Sub(r.at).Seconds()/demandMemory.Seconds())
}
