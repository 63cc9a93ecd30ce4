package fpdispatch

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// upstreamStart identifies one start of an upstream.
	upstreamStart struct {
		name        string
		incarnation uint64
	}
)

func startOf(u fpstate.Upstream) upstreamStart {
	return upstreamStart{name: u.Name, incarnation: u.Report.Incarnation}
}

func (t target) start() upstreamStart {
	return upstreamStart{name: t.candidate.Replica, incarnation: t.candidate.Incarnation}
}

// recordIntake returns a function that records what the answers of a start of an upstream say of new requests.
func (d *Dispatcher) recordIntake(u upstreamStart) func(fpupstream.Intake) {
	return func(i fpupstream.Intake) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if i.Leaving && d.intakes.RecordLeaving(u, d.uptime()) {
			d.metrics.AddToCounter("upstreams_leaving", 1)
		}
	}
}

// uptime returns the time since the dispatcher was made.
func (d *Dispatcher) uptime() time.Duration { return time.Since(d.startedAt) }

// maySend reports whether an upstream has not said that it takes no new requests.
func (d *Dispatcher) maySend(u upstreamStart) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.intakes.MaySend(u, d.uptime())
}

// excludeClosed returns the names of replicas that must not be chosen with those of the model that have said
// that they take no new requests.
func (d *Dispatcher) excludeClosed(v *fproute.View, model string, excluded []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range v.Replicas {
		if r.Model == model && !d.intakes.MaySend(upstreamStart{name: r.Name, incarnation: r.Incarnation}, d.uptime()) {
			excluded = append(slices.Clone(excluded), r.Name)
		}
	}
	return excluded
}
