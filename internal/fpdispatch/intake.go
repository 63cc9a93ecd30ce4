package fpdispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

var (
	// errPaused means that all upstreams that could serve a request want none for a time.
	errPaused = errors.New("all upstreams pause requests")
	// errNotTaken means that an upstream said that it takes no new requests before one was sent.
	errNotTaken = errors.New("the upstream takes no new request now")
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
		if i.Pause > 0 && d.intakes.RecordPause(u, i.Pause, d.uptime()) {
			d.metrics.AddToCounter("upstream_pauses", 1)
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

// pauseLeft returns the time until the first of the starts takes requests again, 0 if one takes some now or none
// will.
func (d *Dispatcher) pauseLeft(starts []upstreamStart) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := time.Duration(0)
	for _, u := range starts {
		if d.intakes.MaySend(u, d.uptime()) {
			return 0
		}
		if left := d.intakes.PauseLeft(u, d.uptime()); left > 0 && !d.intakes.Leaving(u) && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// pauseLeftForModel is pauseLeft for the replicas that serve a model.
func (d *Dispatcher) pauseLeftForModel(v *fproute.View, model string) time.Duration {
	var starts []upstreamStart
	for _, r := range v.Replicas {
		if r.Model == model && !r.Leaving && !r.Down {
			starts = append(starts, upstreamStart{name: r.Name, incarnation: r.Incarnation})
		}
	}
	return d.pauseLeft(starts)
}

// refuseUnplaced returns the outcome of a service call for which there is no replica.
func (d *Dispatcher) refuseUnplaced(q AdmittedRequest, service string, ledger *fpoutcome.Ledger, eligible func(fpstate.Upstream) bool) fpoutcome.Outcome {
	var starts []upstreamStart
	for _, u := range d.state.Load().Services[service] {
		if !u.Leaving && (eligible == nil || eligible(u)) {
			starts = append(starts, startOf(u))
		}
	}
	if left := d.pauseLeft(starts); left > 0 {
		d.addRecord(q, fprecord.Refused, "", errPaused.Error())
		return ledger.IncompleteOutcome(errPaused.Error(), fplimit.ReturnAfter(left, rand.Float64()))
	}
	d.addRecord(q, fprecord.Refused, "", "no replica of the service can be reached")
	return ledger.IncompleteOutcome(fproute.ErrNoReplica.Error()+" "+service, defaultRetryAfter)
}

// gateFor returns a dispatch gate that also fails if the upstream has said since that it takes no new requests;
// nil stays nil.
func (d *Dispatcher) gateFor(u upstreamStart, gate func() error) func() error {
	if gate == nil {
		return nil
	}
	return func() error {
		if !d.maySend(u) {
			return errNotTaken
		}
		return gate()
	}
}
