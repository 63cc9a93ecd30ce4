package fproute

import (
	"math"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying demand averages.
	demandTimeConstant = 5 * time.Second
)

type (
	// prefixDemand averages the prefill work per second that each prefix causes at this host.
	// Two generations bound its size: a full young one replaces the old one.
	prefixDemand struct {
		maxPrefixes int
		young       map[fpprefix.Key]decayingAverage
		old         map[fpprefix.Key]decayingAverage
	}

	// decayingAverage is an average with exponential decay, as of its last update.
	decayingAverage struct {
		value     float64
		updatedAt time.Time
	}
)

func newPrefixDemand(maxPrefixes int) *prefixDemand {
	return &prefixDemand{maxPrefixes: maxPrefixes, young: make(map[fpprefix.Key]decayingAverage), old: make(map[fpprefix.Key]decayingAverage)}
}

// recordWork adds work, in seconds of prefill, to the prefix's average.
func (d *prefixDemand) recordWork(key fpprefix.Key, work float64, now time.Time) {
	a := d.average(key)
	a.value = a.valueAt(now) + work/demandTimeConstant.Seconds()
	a.updatedAt = now
	delete(d.old, key)
	d.young[key] = a
	if len(d.young) > d.maxPrefixes {
		d.old = d.young
		d.young = make(map[fpprefix.Key]decayingAverage)
	}
}

// utilization returns the prefix's average work in seconds of prefill a second.
func (d *prefixDemand) utilization(key fpprefix.Key, now time.Time) float64 {
	return d.average(key).valueAt(now)
}

func (d *prefixDemand) average(key fpprefix.Key) decayingAverage {
	if a, ok := d.young[key]; ok {
		return a
	}
	return d.old[key]
}

func (a decayingAverage) valueAt(now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-now.Sub(a.updatedAt).Seconds()/demandTimeConstant.Seconds())
}
