package fpgateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

const (
	// maxBrittlePause bounds for how long a brittle replica is left alone after a rejection.
	maxBrittlePause = 5 * time.Second
)

// errNotTaken means that a replica said that it takes no new request before one was sent.
var errNotTaken = errors.New("the replica takes no new request now")

// recordIntake records what an answer says of the requests that its replica takes from now on. An answer
// that may belong to another request or replica says nothing.
func (q *request) recordIntake(c fpbalance.Choice, a *fpconn.Response, r Reply) {
	if r.ID != q.caller.ID && (r.ID != "" || !a.NewConnection) {
		return
	}
	q.gateway.recordReplicaIntake(c.Replica.ID, c.Replica.StartUnixMilli, r)
	q.gateway.recordBrittle(c.Replica.Service, r)
}

// recordControlIntake is recordIntake for a control call, whose answer has no request's ID.
func (g *Gateway) recordControlIntake(id string, startUnixMilli int64, a *fpconn.Response) {
	if r := g.dialect.DecodeReply(a.Status, a.Header); r.ID == "" {
		g.recordReplicaIntake(id, startUnixMilli, r)
	}
}

// recordReplicaIntake records what an answer of a start of a replica, in Unix milliseconds, says.
func (g *Gateway) recordReplicaIntake(id string, startUnixMilli int64, r Reply) {
	if r.Replica != "" && r.Replica != id {
		return
	}
	if r.Leaving && g.markReplicaLeaving(id, startUnixMilli, "answer") {
		n := fpnotice.ReplicaLeaving{Replica: id, StartUnixMilli: startUnixMilli}
		g.sendNotice(g.snapshot.Load().allPeers, fpnotice.Notice{Leaving: &n})
	}
	pause := r.Pause
	if r.Brittle && r.NotRun && r.Unavailable {
		pause = max(pause, brittlePause(r.MaxRejections, g.snapshot.Load().hostCount))
	}
	if pause > 0 {
		g.pauseReplica(id, startUnixMilli, pause)
	}
}

// brittlePause returns for how long a host leaves a brittle replica alone that has rejected a request, so that all
// hosts together have no more rejected in a second than it bears.
func brittlePause(maxRejections float64, hosts int) time.Duration {
	seconds := float64(max(hosts, 1)) / max(maxRejections, 1)
	return min(time.Duration(seconds*float64(time.Second)), maxBrittlePause)
}

// recordBrittle records whether the replicas of a service say that they fall over when they have to reject many
// requests.
func (g *Gateway) recordBrittle(service string, r Reply) {
	hosts := g.snapshot.Load().hostCount
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Brittle {
		g.balancer.RecordBrittle(service, hosts)
	} else {
		g.balancer.RecordSturdy(service)
	}
}

// pauseReplica keeps requests from a start of a replica for a time.
func (g *Gateway) pauseReplica(id string, startUnixMilli int64, d time.Duration) {
	g.mu.Lock()
	began := g.balancer.RecordPause(id, startUnixMilli, d, g.clock())
	g.mu.Unlock()
	if began {
		g.metrics.AddToCounter("replica_pauses", 1)
		g.log("replica pauses requests", "Replica", id, "Pause", d.String())
	}
}

// markReplicaLeaving keeps new requests from a start of a replica, and reports whether it got any before.
func (g *Gateway) markReplicaLeaving(id string, startUnixMilli int64, source string) bool {
	g.mu.Lock()
	marked := g.balancer.RecordLeaving(id, startUnixMilli, g.clock())
	g.mu.Unlock()
	if marked {
		g.metrics.AddToCounter("replicas_leaving", 1)
		g.log("replica leaving", "Replica", id, "Start", startUnixMilli, "Source", source)
		// The next snapshot shows it.
		g.enqueueControl(func(*controlState) {})
	}
	return marked
}

// leaving reports whether a start of a replica has said that it leaves.
func (g *Gateway) leaving(id string, startUnixMilli int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Leaving(id, startUnixMilli)
}

// markLeaving sets the replicas that have said that they leave to draining.
func (g *Gateway) markLeaving(registered []fpfleet.Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range registered {
		registered[i].Draining = r.Draining || g.balancer.Leaving(r.ID, r.StartUnixMilli)
	}
}

// dropChoice gives up a choice whose replica has said since that it takes no new request, and reports
// whether it did.
func (q *request) dropChoice(c fpbalance.Choice) bool {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.balancer.MaySend(c.Replica, g.clock()) {
		return false
	}
	g.balancer.RecordEnd(c, false)
	return true
}

// checkIntake fails if a replica has said since it was chosen that it takes no new request.
func (g *Gateway) checkIntake(r fpbalance.Replica) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.balancer.MaySend(r, g.clock()) {
		return nil
	}
	return errNotTaken
}

// pauseLeft returns for how long a replica wants no requests.
func (g *Gateway) pauseLeft(r fpbalance.Replica) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.PauseLeft(r, g.clock())
}

// retryAfterChoice returns the time after which a caller may come back for whom no replica was chosen. Those
// that all replicas keep waiting come back spread over a part of the pause.
func (q *request) retryAfterChoice(c fpbalance.Choice, err error) time.Duration {
	if errors.Is(err, fpbalance.ErrPaused) {
		return max(fplimit.ReturnAfter(c.PredictedWait, rand.Float64()), q.retryAfter())
	}
	if errors.Is(err, errOnTrial) {
		return max(trialRetryAfter, q.retryAfter())
	}
	return max(c.PredictedWait-q.route.Objective, q.retryAfter())
}
