package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

const (
	// maxOrigins bounds the streams whose origin a host remembers.
	maxOrigins = 1 << 15
	// maxStreamIDBytes is the longest ID of a request whose origin is remembered; it fits into a notice.
	maxStreamIDBytes = 160
	// minBuildRetention is the least time for which a software version counts as in service after its last
	// replica has left.
	minBuildRetention = 30 * time.Second
	// maxBuildRetention bounds the same; the store's leases are no longer than ten minutes.
	maxBuildRetention = 6 * time.Minute
	// confirmOriginsInterval is the interval at which inferred origins are checked.
	confirmOriginsInterval = 100 * time.Millisecond
)

// errOriginUnknown means that nothing is known that could tell a stream's software version.
var errOriginUnknown = errors.New("the host that began it could not tell")

// buildRetention returns how long a stream may be taken up after the last replica of its software version
// has left: for as long as a request may wait.
func buildRetention(c *fpcatalog.Catalog) time.Duration {
	longest := minBuildRetention
	if c != nil {
		longest = max(longest, c.LongestTimeout())
	}
	return min(longest, maxBuildRetention)
}

// originRetention returns how long a stream's origin is remembered: while it runs, and while it may be taken
// up afterwards.
func originRetention(c *fpcatalog.Catalog) time.Duration { return 2 * buildRetention(c) }

// isTakeUp reports whether the caller already holds events of the stream that it asks for.
func (q *request) isTakeUp() bool {
	return q.route != nil && q.route.Kind == fpcatalog.Stream && (q.caller.LastEventID != "" || q.caller.Resumes != "")
}

// streamID returns the ID of the request that brought the first event of the stream, or that is to bring it.
func (q *request) streamID() string {
	if q.isTakeUp() && q.caller.Resumes != "" {
		return q.caller.Resumes
	}
	return q.caller.ID
}

// settleBuild finds the software version at which a stream has to go on that the caller takes up, and ends
// the request if it can't go on.
func (q *request) settleBuild(ctx context.Context) bool {
	g := q.gateway
	if !q.buildKnown && q.isTakeUp() || q.inference != (fporigin.Inference{}) {
		build, err := q.findOrigin(ctx)
		if err != nil {
			g.metrics.AddToCounter("take_ups_refused_origin_unknown", 1)
			q.failRequest("it is not known which software version began the stream: "+err.Error(), max(q.retryAfter(), g.originDueIn(q.streamID())))
			return false
		}
		q.build, q.buildKnown, q.inference = build, true, fporigin.Inference{}
	}
	if q.buildKnown && !slices.ContainsFunc(q.snapshot.replicasByService[q.service.Name], q.maySendTo) {
		g.metrics.AddToCounter("take_ups_refused_build_gone", 1)
		q.failRequest("no replica of software version "+q.build+", which began the stream, is left", q.deadline-g.clock())
		return false
	}
	return true
}

// findOrigin returns the software version that began the stream. An unknown one is clear only if the store,
// asked after the request arrived, shows a single one: any host may have begun the stream, also at a replica
// that this host has not heard of.
func (q *request) findOrigin(ctx context.Context) (string, error) {
	g := q.gateway
	g.mu.Lock()
	e, known := g.origins.Use(q.streamID(), g.clock())
	g.mu.Unlock()
	if !known && q.buildKnown {
		e, known = fporigin.Entry{Origin: fporigin.Origin{Service: q.service.Name, Build: q.build}, Inference: q.inference}, true
	}
	if !known || !e.Certain() {
		if build, archived := q.archivedOrigin(); archived {
			q.appendTrail("the store tells that software version %s began the stream", build)
			return build, nil
		}
	}
	if known {
		return e.Build, q.confirmInference(ctx, e.Inference)
	}
	if len(q.snapshot.builds[q.service.Name]) > 1 {
		return "", errSeveralBuilds
	}
	builds, err := g.currentBuilds.Get(ctx)
	if err != nil {
		return "", err
	}
	if len(builds[q.service.Name]) != 1 {
		return "", errSeveralBuilds
	}
	return builds[q.service.Name][0], nil
}

func (q *request) maySendTo(r fpbalance.Replica) bool { return !q.buildKnown || r.Build == q.build }

// candidates returns the service's replicas that the request may be sent to.
func (q *request) candidates() []fpbalance.Replica {
	all := q.snapshot.replicasByService[q.service.Name]
	if !slices.ContainsFunc(all, func(r fpbalance.Replica) bool { return !q.maySendTo(r) }) {
		return all
	}
	var out []fpbalance.Replica
	for _, r := range all {
		if q.maySendTo(r) {
			out = append(out, r)
		}
	}
	return out
}

// confirmInference fails unless the start of a replica that began a stream still answers, which proves that an earlier
// answer on a connection of its time was its own.
func (q *request) confirmInference(ctx context.Context, i fporigin.Inference) error {
	switch {
	case i == fporigin.Inference{}:
		return nil
	case i.Replica == "":
		return errOriginUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	switch q.askStart(ctx, i.Replica, i.StartUnixMilli) {
	case startConfirmed:
		return nil
	case startReplaced:
		return errRestarted
	default:
		return errors.Wrap(errStartUnknown, i.Replica)
	}
}

// originDueIn returns the time until the replica can be asked from which a stream's origin was inferred.
func (g *Gateway) originDueIn(id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, _ := g.origins.Use(id, g.clock())
	return g.balancer.PauseLeft(fpbalance.Replica{ID: e.Inference.Replica, StartUnixMilli: e.Inference.StartUnixMilli}, g.clock())
}

// recordOrigin records the software version of a stream, before its first event is forwarded.
func (q *request) recordOrigin(build string, i fporigin.Inference) {
	if q.isTakeUp() {
		q.gateway.metrics.AddToCounter("take_ups_resumed", 1)
	}
	q.build, q.buildKnown, q.inference = build, true, i
	q.gateway.recordOrigin(fporigin.Entry{Origin: fporigin.Origin{Service: q.service.Name, Build: build}, Inference: i}, q.streamID(), q.caller.ID)
}

// keepOrigin renews the stream's origin, since its caller may take it up from now on.
func (q *request) keepOrigin() {
	if !q.buildKnown {
		return
	}
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Use(q.streamID(), g.clock())
	g.origins.Use(q.caller.ID, g.clock())
}

// recordOrigin records the origin of a stream that this host forwards under the IDs of requests.
func (g *Gateway) recordOrigin(e fporigin.Entry, ids ...string) {
	several := len(g.snapshot.Load().builds[e.Service]) > 1
	e.Host = g.settings().Host
	g.mu.Lock()
	defer g.mu.Unlock()
	if !e.Certain() {
		g.metrics.AddToCounter("stream_origins_inferred", 1)
	}
	for _, id := range slices.Compact(ids) {
		if id == "" || len(id) > maxStreamIDBytes {
			continue
		}
		e.ID = id
		g.origins.Record(e, g.clock())
		if several || !e.Certain() {
			g.enqueueOrigins(e)
		}
	}
}

// enqueueOrigins has the other hosts and the store told of origins, as many as there is room for. The gateway's mutex must
// be held.
func (g *Gateway) enqueueOrigins(list ...fporigin.Entry) {
	g.enqueueUnarchived(list...)
	g.unsentOrigins = append(g.unsentOrigins, list[:min(len(list), maxUnsentOrigins-len(g.unsentOrigins))]...)
}

// confirmOrigins makes the origins certain that were inferred from a start that was seen to answer, and has the other
// hosts told of this host's. The gateway's mutex must be held.
func (g *Gateway) confirmOrigins(replica string, s seenStart) {
	confirmed := g.origins.Confirm(replica, s.startUnixMilli, s.at)
	if len(confirmed) == 0 {
		return
	}
	g.metrics.AddToCounter("stream_origins_confirmed", len(confirmed))
	g.log("stream origins confirmed", "Replica", replica, "Start", s.startUnixMilli, "Build", confirmed[0].Build, "Streams", len(confirmed))
	g.enqueueOrigins(slices.DeleteFunc(confirmed, func(e fporigin.Entry) bool { return e.Host != g.settings().Host })...)
}

// confirmOwnOrigins asks replicas for their start, until the context ends, whose starts were registered but could not be
// asked as this host's streams began there.
func (g *Gateway) confirmOwnOrigins(ctx context.Context) error {
	unconfirmed := func() []string {
		g.mu.Lock()
		list := g.origins.Unconfirmed(g.settings().Host, g.clock())
		g.mu.Unlock()
		var ids []string
		for _, i := range list {
			if r, registered := g.snapshot.Load().registration(i.Replica); registered && r.StartUnixMilli == i.StartUnixMilli {
				ids = append(ids, i.Replica)
			}
		}
		return ids
	}
	return g.askStarts(ctx, confirmOriginsInterval, unconfirmed, func(id string, err error) {
		g.log("replica start not read", "Replica", id, "Error", err.Error())
	})
}

func (g *Gateway) setOriginRetention(c *fpcatalog.Catalog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Retention, g.archive.Retention = originRetention(c), originRetention(c)
}
