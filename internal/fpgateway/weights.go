package fpgateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fpweights"
)

const (
	// rejectedWeightsPollInterval is the interval at which the report of a replica is read that rejected a request
	// for its weights; reports are some hundred milliseconds old.
	rejectedWeightsPollInterval = 100 * time.Millisecond
)

// recordLoading records the time until which a replica is assumed to load weights, 0 when it does not load any.
func (c *controlState) recordLoading(id string, until time.Duration) {
	if until == 0 {
		delete(c.loadingUntil, id)
		return
	}
	c.loadingUntil[id] = until
}

// weightsOf returns the version of the weights that a replica has as far as is known, and whether it has any.
func (c *controlState) weightsOf(r fpfleet.Replica, now time.Duration) (int64, bool) {
	if len(r.Weights) == 0 {
		return 0, false
	}
	registered := registeredWeights(r)
	age, known := c.proof.Age(now)
	if !known || c.storeUnreachable {
		return c.weights.Version(r.ID, registered, 0, now), true
	}
	return c.weights.Version(r.ID, registered, now-age, c.fleet.StoreReturnedAt()), true
}

// registeredWeights returns the highest version of the weights in a replica's registration.
func registeredWeights(r fpfleet.Replica) int64 {
	return slices.Max(slices.Collect(maps.Values(r.Weights)))
}

// announceWeights records what a replica reported of its weights on this host and notifies all others of it.
func (g *Gateway) announceWeights(id string, version int64, loading time.Duration) {
	w := &fpnotice.WeightsChange{Replica: id, Version: version, LoadingMs: int(loading.Milliseconds())}
	g.recordReport(id, version, g.deadlineIn(w.LoadingMs))
	g.sendNotice(g.snapshot.Load().allPeers, fpnotice.Notice{Weights: w})
}

// recordReport records what a replica's status report, read here or by another host, says of its weights.
func (g *Gateway) recordReport(id string, version int64, loadingUntil time.Duration) {
	s := fpweights.Statement{Version: version, At: g.clock(), Lag: fpweights.ReportLag}
	g.enqueueControl(func(c *controlState) {
		c.weights.Record(id, s)
		c.recordLoading(id, loadingUntil)
	})
}

// recordAnsweredWeights records the version of the weights that an answer of a replica names.
func (g *Gateway) recordAnsweredWeights(r fpbalance.Replica, a Reply) {
	if !r.Engine || a.Version <= 0 || a.Replica != "" && a.Replica != r.ID || a.Version == r.Version {
		return
	}
	s := fpweights.Statement{Version: a.Version, At: g.clock(), Lag: fpweights.AnswerLag}
	g.enqueueControl(func(c *controlState) {
		c.weights.Record(r.ID, s)
		if !a.NotRun {
			c.recordLoading(r.ID, 0)
		}
	})
}

// askWeights reads the status report of a replica that has other weights than it was taken to have. It gets no
// requests until then, or for assumedWeightsLoadTime if the report is older than the rejection.
func (q *request) askWeights(ctx context.Context, r fpbalance.Replica) {
	g, id, model := q.gateway, r.ID, q.caller.Model
	registered, ok := q.snapshot.registration(id)
	if !ok {
		return
	}
	g.mu.Lock()
	asked := g.weightsAsked[id]
	g.weightsAsked[id] = true
	g.mu.Unlock()
	if asked {
		return
	}
	until := g.clock() + assumedWeightsLoadTime
	g.enqueueControl(func(c *controlState) { c.recordLoading(id, until) })
	go func() {
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			delete(g.weightsAsked, id)
		}()
		g.pollWeights(context.WithoutCancel(ctx), registered, model, r.Version, until)
	}()
}

// pollWeights reads a replica's status report until it names other weights than those that the replica rejected.
func (g *Gateway) pollWeights(ctx context.Context, r fpfleet.Replica, model string, rejected int64, until time.Duration) {
	for g.clock() < until {
		report, err := g.fetchReport(ctx, r, controlCallTimeout)
		if err != nil {
			g.log("no valid status report", "Replica", r.ID, "Error", err.Error())
			return
		}
		if v, ok := report.Versions[model]; ok && !report.Busy && v != rejected {
			g.recordReport(r.ID, v, 0)
			return
		}
		if !fpclock.Sleep(ctx, rejectedWeightsPollInterval) {
			return
		}
	}
}
