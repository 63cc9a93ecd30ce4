package fphost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fporder"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	rolloutLeaseKey = "fescuepoint/lease/rollout"
	// rolloutInterval is the interval between checks whether any replica needs an order.
	rolloutInterval = time.Second
)

type (
	// rolloutRunner sends the weight orders while this host holds the rollout lease.
	rolloutRunner struct {
		host      *Host
		clock     fpclock.Clock
		planner   *fporder.Planner
		lease     fporder.Lease
		leaseID   fpstore.LeaseID
		renewedAt time.Duration
	}
)

// runRollout orders replicas to load their wanted weights whenever some differ
// and this host gets the rollout lease. It releases the lease at a planned stop.
func (h *Host) runRollout(ctx context.Context) error {
	r := &rolloutRunner{host: h, clock: fpclock.SinceBoot, planner: fporder.NewPlanner()}
	defer r.releaseLease()
	return runEvery(ctx, rolloutInterval, func() { r.sendDueOrders(ctx) })
}

// sendDueOrders acquires or renews the lease if any replica needs an order, and sends the orders
// that are due. It releases the lease if none needs one or the host is draining.
func (r *rolloutRunner) sendDueOrders(ctx context.Context) {
	s := r.host.snapshots.Load()
	replicas := rolloutReplicas(s)
	if !needsOrder(replicas) || s.Draining {
		r.releaseLease()
		return
	}
	if r.leaseID == (fpstore.LeaseID{}) && !r.acquireLease(ctx) {
		return
	}
	if !r.renewLease(ctx) {
		r.clearLease()
		return
	}
	if !r.lease.MayOrder(r.clock()) {
		return
	}
	for _, replica := range r.planner.NextOrders(replicas, r.clock()) {
		r.sendOrder(ctx, s, replica)
	}
}

// acquireLease acquires the lease if no host holds it.
func (r *rolloutRunner) acquireLease(ctx context.Context) bool {
	v, err := fpstore.GetOrZero(ctx, r.host.store, rolloutLeaseKey)
	if err != nil || v.Revision != 0 {
		return false
	}
	start := r.clock()
	leaseID, err := r.host.store.GrantLease(ctx, fporder.LeaseTTL)
	if err != nil {
		return false
	}
	position, err := fpstore.CompareAndSwap(ctx, r.host.store, rolloutLeaseKey, 0, []byte(r.host.settings.Host.Name), leaseID)
	if err != nil {
		_ = r.host.store.RevokeLease(ctx, leaseID)
		return false
	}
	r.leaseID = leaseID
	r.renewedAt = start
	r.lease = fporder.Lease{FencingToken: position.FencingToken(), AcquiredAt: r.clock(), ExpiresAt: start + fporder.LeaseTTL}
	return true
}

// renewLease renews the lease when that is due and reports whether the lease is still held. A
// renewal counts from before it was sent, so that the lease never seems to last longer than it
// does.
func (r *rolloutRunner) renewLease(ctx context.Context) bool {
	start := r.clock()
	if start-r.renewedAt < fporder.RenewInterval {
		return true
	}
	err := r.host.store.RenewLease(ctx, r.leaseID)
	switch {
	case err == nil:
		r.renewedAt = start
		r.lease.ExpiresAt = start + fporder.LeaseTTL
		return true
	case errors.Is(err, fpstore.ErrLeaseNotFound):
		return false
	default:
		return start < r.lease.ExpiresAt
	}
}

func (r *rolloutRunner) clearLease() {
	r.leaseID = fpstore.LeaseID{}
	r.lease = fporder.Lease{}
}

func (r *rolloutRunner) releaseLease() {
	if r.leaseID == (fpstore.LeaseID{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.host.store.RevokeLease(ctx, r.leaseID)
	r.clearLease()
}

// sendOrder sends one order if the lease still permits it, and records the result. The order's
// deadline counts from before the lease is checked, so that it passes during a pause after the check.
func (r *rolloutRunner) sendOrder(ctx context.Context, s *fpstate.Snapshot, replica fporder.Replica) {
	deadline := time.Now().Add(fporder.OrderTimeout)
	if !r.lease.MayOrder(r.clock()) {
		return
	}
	u, ok := s.Config.Document.Upstream(replica.Name)
	if !ok {
		return
	}
	_, err := r.host.upstreams.SendOrder(ctx, u.Address, fpupstream.Order{
		Fencing:       r.lease.FencingToken,
		Weights:       replica.WantedWeights,
		ConfigVersion: s.Config.Version,
		Deadline:      deadline.UnixMilli(),
	})
	reason := "load weights " + replica.WantedWeights
	if err != nil {
		reason += ": " + err.Error()
	}
	r.host.records.Add(fprecord.Record{
		At:        time.Now(),
		Host:      r.host.settings.Host.Name,
		RequestID: "order-" + replica.Name,
		Kind:      fprecord.Ordered,
		Upstream:  replica.Name,
		Reason:    reason,
		Figures:   []fprecord.Figure{{Name: "fencing number", Value: float64(r.lease.FencingToken)}},
	})
}

// rolloutReplicas returns the engines with their current weights and those of the configuration.
func rolloutReplicas(s *fpstate.Snapshot) []fporder.Replica {
	var out []fporder.Replica
	for _, u := range s.Upstreams {
		if u.Kind != fpconfig.KindEngine {
			continue
		}
		m, _ := s.Config.Document.Model(u.Model)
		out = append(out, fporder.Replica{
			Name:          u.Name,
			Zone:          u.AvailabilityZone,
			Model:         u.Model,
			Weights:       u.Report.Weights,
			WantedWeights: m.Weights,
			Loading:       u.Report.Loading,
			Leaving:       u.Leaving,
			Reachable:     u.Reachable,
		})
	}
	return out
}

// needsOrder reports whether any reachable replica doesn't have its wanted weights.
func needsOrder(replicas []fporder.Replica) bool {
	for _, r := range replicas {
		if r.Reachable && r.Weights != r.WantedWeights {
			return true
		}
	}
	return false
}
