package fpgateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// reachProbeInterval is the interval at which connections to replicas that can't be reached are tried.
	reachProbeInterval = 500 * time.Millisecond
)

// recordNoConnection records that no connection to a replica could be opened.
func (g *Gateway) recordNoConnection(id string, err error) {
	g.mu.Lock()
	isNew := g.balancer.RecordNoConnection(id, errors.Is(err, syscall.ECONNREFUSED), g.clock())
	g.mu.Unlock()
	if isNew {
		g.log("replica unreachable", "Replica", id, "Error", err.Error())
	}
}

// unreachableReplicas returns the registered replicas to which no connection could be opened.
func (g *Gateway) unreachableReplicas() []fpbalance.Replica {
	var out []fpbalance.Replica
	s := g.snapshot.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, replicas := range s.replicasByService {
		for _, r := range replicas {
			if g.balancer.Unreachable(r.ID) {
				out = append(out, r)
			}
		}
	}
	return out
}

// probeUnreachable tries connections to the replicas that can't be reached, so that they are used again as
// soon as they can be and no request waits for them before, until the context ends.
func (g *Gateway) probeUnreachable(ctx context.Context) error {
	for fpclock.Sleep(ctx, reachProbeInterval) {
		var probes sync.WaitGroup
		for _, r := range g.unreachableReplicas() {
			probes.Go(func() {
				if g.pool.Probe(ctx, r.Address) == nil {
					g.markReachable(r.ID)
				}
			})
		}
		probes.Wait()
	}
	return nil
}

// markReachable records that a connection to a replica was opened.
func (g *Gateway) markReachable(id string) {
	g.mu.Lock()
	wasUnreachable := g.balancer.RecordReachable(id)
	g.mu.Unlock()
	if wasUnreachable {
		g.log("replica reachable again", "Replica", id)
	}
}
