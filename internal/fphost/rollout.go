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
	rolloutKey = "fescuepoint/lease/rollout"
	// idleEvery is the pace of looking whether any replica needs an order.
	idleEvery = time.Second
)

type (
	// rollout is this host's part in giving orders.
	rollout struct {
		host    *Host
		planner *fporder.Planner
		lease   fporder.Lease
		id      fpstore.LeaseID
		renewed time.Duration
	}
)

// rollOut brings replicas to their wanted weights whenever some differ and
// this host gets the lease; the lease is given up at a planned stop.
func (h *Host) rollOut(ctx context.Context) error {
	r := &rollout{host: h, planner: fporder.NewPlanner()}
	defer r.giveUp()
	return every(ctx, idleEvery, func() { r.step(ctx) })
}

func (r *rollout) step(ctx context.Context) {
	s := r.host.state.Load()
	replicas := wanted(s)
	if !pending(replicas) || s.Draining {
		r.giveUp()
		return
	}
	if r.id == 0 && !r.acquire(ctx) {
		return
	}
	if !r.renew(ctx) {
		r.forget()
		return
	}
	if !r.lease.MayOrder(fpclock.SinceBoot()) {
		return
	}
	for _, n := range r.planner.NextOrders(replicas, fpclock.SinceBoot()) {
		r.order(ctx, s, n)
	}
}

// acquire takes the lease if nobody holds it.
func (r *rollout) acquire(ctx context.Context) bool {
	v, err := fpstore.GetOrZero(ctx, r.host.store, rolloutKey)
	if err != nil || v.Revision != 0 {
		return false
	}
	start := fpclock.SinceBoot()
	id, err := r.host.store.Grant(ctx, fporder.LeaseTTL)
	if err != nil {
		return false
	}
	revision, err := fpstore.CompareAndSwap(ctx, r.host.store, rolloutKey, 0, []byte(r.host.settings.Host.Name), id)
	if err != nil {
		_ = r.host.store.End(ctx, id)
		return false
	}
	r.id = id
	r.renewed = start
	r.lease = fporder.Lease{FencingToken: revision, AcquiredAt: fpclock.SinceBoot(), ExpiresAt: start + fporder.LeaseTTL}
	return true
}

// renew keeps the lease alive at its pace; a renewal counts from before it was sent.
func (r *rollout) renew(ctx context.Context) bool {
	start := fpclock.SinceBoot()
	if start-r.renewed < fporder.RenewInterval {
		return true
	}
	err := r.host.store.KeepAlive(ctx, r.id)
	switch {
	case err == nil:
		r.renewed = start
		r.lease.ExpiresAt = start + fporder.LeaseTTL
		return true
	case errors.Is(err, fpstore.ErrLeaseNotFound):
		return false
	default:
		return start < r.lease.ExpiresAt
	}
}

func (r *rollout) forget() {
	r.id = 0
	r.lease = fporder.Lease{}
}

func (r *rollout) giveUp() {
	if r.id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.host.store.End(ctx, r.id)
	r.forget()
}

// order gives one order, after a last look at the lease.
func (r *rollout) order(ctx context.Context, s *fpstate.Snapshot, n fporder.Replica) {
	if !r.lease.MayOrder(fpclock.SinceBoot()) {
		return
	}
	u, ok := s.Config.Document.Upstream(n.Name)
	if !ok {
		return
	}
	_, err := r.host.upstreams.SendOrder(ctx, u.Address, fpupstream.Order{
		Fencing:       r.lease.FencingToken,
		Weights:       n.WantedWeights,
		ConfigVersion: s.Config.Version,
		Deadline:      time.Now().Add(fporder.OrderTimeout).UnixMilli(),
	})
	reason := "load weights " + n.WantedWeights
	if err != nil {
		reason += ": " + err.Error()
	}
	r.host.records.Add(fprecord.Record{
		At:        time.Now(),
		Host:      r.host.settings.Host.Name,
		RequestID: "order-" + n.Name,
		Kind:      fprecord.Ordered,
		Upstream:  n.Name,
		Reason:    reason,
		Figures:   []fprecord.Figure{{Name: "fencing number", Value: float64(r.lease.FencingToken)}},
	})
}

// wanted lists the engines with the weights that the configuration asks for.
func wanted(s *fpstate.Snapshot) []fporder.Replica {
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

func pending(replicas []fporder.Replica) bool {
	for _, r := range replicas {
		if r.Reachable && r.Weights != r.WantedWeights {
			return true
		}
	}
	return false
}
