package fpgateway

import (
	"context"
	"slices"
	"time"

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
)

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
	if !q.buildKnown && q.isTakeUp() {
		build, err := q.findOrigin(ctx)
		if err != nil {
			g.metrics.AddToCounter("take_ups_refused_origin_unknown", 1)
			q.failRequest("it is not known which software version began the stream: "+err.Error(), q.retryAfter())
			return false
		}
		q.build, q.buildKnown = build, true
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
	o, known := g.origins.Use(q.streamID(), g.clock())
	g.mu.Unlock()
	if known {
		return o.Build, nil
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

// recordOrigin records the software version of a stream, before its first event is forwarded.
func (q *request) recordOrigin(build string) {
	if q.isTakeUp() {
		q.gateway.metrics.AddToCounter("take_ups_resumed", 1)
	}
	q.build, q.buildKnown = build, true
	q.gateway.recordOrigin(fporigin.Origin{Service: q.service.Name, Build: build}, q.streamID(), q.caller.ID)
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

// recordOrigin records the origin of a stream under the IDs of requests.
func (g *Gateway) recordOrigin(o fporigin.Origin, ids ...string) {
	several := len(g.snapshot.Load().builds[o.Service]) > 1
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range slices.Compact(ids) {
		if id == "" || len(id) > maxStreamIDBytes {
			continue
		}
		e := fporigin.Entry{Origin: o, ID: id, Host: g.settings().Host}
		g.origins.Record(e, g.clock())
		if (several || o.Build == unknownBuild) && len(g.unsentOrigins) < maxUnsentOrigins {
			g.unsentOrigins = append(g.unsentOrigins, e)
		}
	}
}

func (g *Gateway) setOriginRetention(c *fpcatalog.Catalog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Retention = originRetention(c)
}
