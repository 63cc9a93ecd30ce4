package fpgateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpestimate"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fporder"
)

const (
	// rolloutInterval is the interval at which replicas are checked for outdated weights.
	rolloutInterval = 100 * time.Millisecond
	// The order lease is renewed when its time to live divided by leaseRenewDivisor has passed.
	leaseRenewDivisor = 3
	// maxAcquireJitter spreads out hosts that try to acquire the lease at the same time.
	maxAcquireJitter = 250 * time.Millisecond
	// acquireRetryPause is the pause after a failed attempt to acquire the lease.
	acquireRetryPause = time.Second
	// controlCallTimeout bounds a report or an order; the longest round trip takes 60 ms.
	controlCallTimeout = 900 * time.Millisecond
	// maxControlAnswerBytes bounds the answer to a report or an order.
	maxControlAnswerBytes = 256 << 10
	// weightsLoadPrior is the assumed time from an order to a report of the new weights, until loads
	// have been seen.
	weightsLoadPrior = 400 * time.Millisecond
	// A loading replica is polled for its status from firstPollShare of the usual load time on, at
	// pollShare of it, but not more often than each minWeightsPollInterval.
	firstPollShare         = 0.6
	pollShare              = 0.0625
	minWeightsPollInterval = 50 * time.Millisecond
	// maxWeightsLoadTime bounds the time that a replica may load weights; it takes longer with many
	// loading at once.
	maxWeightsLoadTime = 8 * time.Second
	// orderRetryInterval is the time after which an order without effect is repeated.
	orderRetryInterval = time.Second
	// At most the number of a model's replicas divided by maxLoadingDivisor load at once, so that the
	// others can serve meanwhile.
	maxLoadingDivisor = 5
	// minConcurrentLoads is the number that may load at once even in a small service.
	minConcurrentLoads = 2
)

type (
	// rollout brings replicas to the published weights while this host holds the order lease.
	rollout struct {
		gateway     *Gateway
		planner     *fporder.Planner
		mu          sync.Mutex
		lease       fporder.Lease
		leaseID     fpstore.LeaseID
		lastRenewal time.Duration
		// retryAt is the earliest time of the next attempt to acquire the lease.
		retryAt time.Duration
		// noteAt holds the earliest time of the next note of a model's weights, and unnotedSince since when
		// they are to be noted.
		noteAt          map[string]time.Duration
		unnotedSince    map[string]time.Duration
		loadingReplicas map[string]bool
		// unansweredOrders holds the replicas whose last order got no answer and that do not load, as far
		// as is known.
		unansweredOrders map[string]bool
		// loadSeconds is the time from an order to a report of the new weights.
		loadSeconds fpestimate.Quantity
		updates     sync.WaitGroup
	}

	// weightsUpdate is the update of one replica to newer weights.
	weightsUpdate struct {
		replica fpfleet.Replica
		model   string
		version int64
	}
)

func newRollout(g *Gateway) *rollout {
	return &rollout{
		gateway: g, planner: fporder.NewPlanner(),
		noteAt: make(map[string]time.Duration), unnotedSince: make(map[string]time.Duration),
		loadingReplicas: make(map[string]bool), unansweredOrders: make(map[string]bool),
	}
}

// run acquires the order lease when no other host holds it, and gives orders while it holds the
// lease.
func (r *rollout) run(ctx context.Context) error {
	updatesCtx, stop := context.WithCancel(ctx)
	defer stop()
	for !r.gateway.draining.Load() && fpclock.Sleep(ctx, rolloutInterval) {
		if r.ensureLease(updatesCtx) {
			r.noteWeights(updatesCtx)
			r.startWeightsUpdates(updatesCtx)
		}
	}
	lease := r.leaseID
	r.dropLease("this host is stopping")
	stop()
	r.updates.Wait()
	// The next holder can take over while this host still drains.
	err := r.gateway.revokeLease(lease)
	<-ctx.Done()
	return err
}

// ensureLease acquires or renews the lease and reports whether this host holds it.
func (r *rollout) ensureLease(ctx context.Context) bool {
	s := r.gateway.snapshot.Load()
	now := r.gateway.clock()
	if r.holdsLease() && r.leaseExpiry() == 0 {
		// A replica refused an order as fenced: another host holds the lease by now.
		r.dropLease("a replica has seen a higher fencing token")
	}
	if r.holdsLease() && r.leaseID.Incarnation < s.incarnation {
		r.dropLease(fpstore.ErrRestored.Error())
	}
	if r.holdsLease() && r.cannotNote(now) {
		r.dropLease("published weights can't be noted in the store")
		r.retryAt = now + r.gateway.settings().OrderLeaseTTL
	}
	if !r.holdsLease() {
		if s.catalog == nil || s.orderLeaseHolder != "" || s.storeUnreachable || !r.formerLeaseEnded(s, now) {
			return false
		}
		if now < r.retryAt || !fpclock.Sleep(ctx, rand.N(maxAcquireJitter)) {
			return false
		}
		if r.acquireLease(ctx) {
			return true
		}
		r.retryAt = r.gateway.clock() + acquireRetryPause
		return false
	}
	if now-r.lastRenewal < r.gateway.settings().OrderLeaseTTL/leaseRenewDivisor {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := r.gateway.store.RenewLease(callCtx, r.leaseID)
	switch {
	case err == nil:
		r.lastRenewal = now
		r.mu.Lock()
		r.lease.ExpiresAt = now + r.gateway.settings().OrderLeaseTTL
		r.mu.Unlock()
	case errors.Is(err, fpstore.ErrLeaseNotFound) || r.gateway.clock() >= r.leaseExpiry():
		r.dropLease(err.Error())
		return false
	}
	return true
}

// acquireLease acquires the lease if no host holds it. The fencing token is the revision of the
// write, which increases with each holder.
func (r *rollout) acquireLease(ctx context.Context) bool {
	g := r.gateway
	s := g.snapshot.Load()
	if s.orderLeaseHolder != "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := g.clock()
	id, err := g.store.GrantLease(ctx, g.settings().OrderLeaseTTL)
	if err != nil {
		g.log("order lease not acquired", "Error", err.Error())
		return false
	}
	position, err := g.store.Commit(ctx, fpstore.Transaction{
		Conditions: []fpstore.Condition{{Key: orderLeaseKey}},
		Puts:       []fpstore.Put{{Key: orderLeaseKey, Value: []byte(g.settings().Host), Lease: id}},
	})
	if err != nil {
		g.log("order lease not acquired", "Error", err.Error())
		return false
	}
	if position.Incarnation != id.Incarnation || id.Incarnation != s.incarnation {
		g.log("order lease not acquired", "Error", fpstore.ErrRestored.Error())
		return false
	}
	fence := position.FencingToken()
	r.leaseID, r.lastRenewal = id, sent
	r.mu.Lock()
	r.lease = fporder.Lease{FencingToken: fence, AcquiredAt: g.clock(), ExpiresAt: sent + g.settings().OrderLeaseTTL}
	r.mu.Unlock()
	g.log("order lease acquired", "Fence", fence, "Lease", id.Number)
	return true
}

// formerLeaseEnded reports whether any lease of an earlier incarnation of the store has ended at its
// holder too, which may not have learnt yet that the store was restored.
func (r *rollout) formerLeaseEnded(s *snapshot, now time.Duration) bool {
	return now-s.incarnationSince >= r.gateway.settings().OrderLeaseTTL
}

// holdsLease reports whether this host holds the order lease as far as it knows.
func (r *rollout) holdsLease() bool { return r.leaseID != (fpstore.LeaseID{}) }

func (r *rollout) leaseExpiry() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.ExpiresAt
}

func (r *rollout) dropLease(reason string) {
	if !r.holdsLease() {
		return
	}
	r.gateway.log("order lease no longer held", "Fence", r.lease.FencingToken, "Reason", reason)
	r.leaseID = fpstore.LeaseID{}
	clear(r.unnotedSince)
	r.mu.Lock()
	r.lease = fporder.Lease{}
	r.mu.Unlock()
}

// startWeightsUpdates starts the updates of replicas that the planner allows now.
func (r *rollout) startWeightsUpdates(ctx context.Context) {
	g := r.gateway
	s := g.snapshot.Load()
	now := g.clock()
	for model := range s.published.versions {
		replicas, updates := r.plannerReplicas(s, model, s.published.newest(model).version)
		r.planner.MaxLoading = r.maxOrders(len(replicas))
		for _, m := range r.planner.NextOrders(replicas, now) {
			r.mu.Lock()
			r.loadingReplicas[m.Name] = true
			r.mu.Unlock()
			r.updates.Go(func() { r.updateReplicaWeights(ctx, updates[m.Name]) })
		}
	}
}

// maxOrders returns the number of replicas of a model that may load or have an order at once. One that left
// its order unanswered still serves, and another may load meanwhile; as many as may load at once can
// carry out such orders late, at the same time.
func (r *rollout) maxOrders(replicas int) int {
	loads := max(minConcurrentLoads, replicas/maxLoadingDivisor)
	r.mu.Lock()
	defer r.mu.Unlock()
	return loads + min(len(r.unansweredOrders), loads)
}

// setUnanswered records whether a replica left its order unanswered.
func (r *rollout) setUnanswered(id string, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unanswered {
		r.unansweredOrders[id] = true
		return
	}
	delete(r.unansweredOrders, id)
}

// plannerReplicas lists a model's replicas for the planner: those with the oldest weights first,
// then with zones alternating, then the least loaded first.
func (r *rollout) plannerReplicas(s *snapshot, model string, wanted int64) ([]fporder.Replica, map[string]weightsUpdate) {
	g := r.gateway
	routedVersions := make(map[string]int64)
	for _, list := range s.replicasByService {
		for _, m := range list {
			routedVersions[m.ID] = m.Version
		}
	}
	updates := make(map[string]weightsUpdate)
	var replicas []fporder.Replica
	outstanding := make(map[string]float64)
	version := make(map[string]int64)
	g.mu.Lock()
	for _, f := range s.registered {
		if _, ok := f.Weights[model]; !ok {
			continue
		}
		outstanding[f.ID] = g.balancer.OutstandingRequests(f.ID, g.clock())
		version[f.ID] = f.Weights[model]
		if v, routed := routedVersions[f.ID]; routed {
			version[f.ID] = v
		}
		r.mu.Lock()
		loading := r.loadingReplicas[f.ID]
		r.mu.Unlock()
		replicas = append(replicas, fporder.Replica{
			Name: f.ID, Zone: f.Zone, Model: model,
			Weights:       strconv.FormatInt(version[f.ID], 10),
			WantedWeights: strconv.FormatInt(wanted, 10),
			Loading:       loading, Leaving: f.Draining, Reachable: g.balancer.Reachable(f.ID, g.clock()),
			Outdated: s.published.timeToBegin(model, version[f.ID], g.settings().OldWeightsLimit, g.clock()+weightsPropagationMargin) <= 0,
		})
		updates[f.ID] = weightsUpdate{replica: f, model: model, version: wanted}
	}
	g.mu.Unlock()
	slices.SortStableFunc(replicas, func(a, b fporder.Replica) int { return cmp.Compare(outstanding[a.Name], outstanding[b.Name]) })
	replicas = interleaveZones(replicas)
	// The oldest weights go first, because they are the first that may no longer be used.
	slices.SortStableFunc(replicas, func(a, b fporder.Replica) int { return cmp.Compare(version[a.Name], version[b.Name]) })
	return replicas, updates
}

// interleaveZones sorts replicas so that zones alternate, and keeps the order within a zone.
func interleaveZones(replicas []fporder.Replica) []fporder.Replica {
	nextPosition := make(map[string]int)
	position := make(map[string]int, len(replicas))
	for _, m := range replicas {
		if m.Weights == m.WantedWeights {
			continue
		}
		position[m.Name] = nextPosition[m.Zone]
		nextPosition[m.Zone]++
	}
	slices.SortStableFunc(replicas, func(a, b fporder.Replica) int { return cmp.Compare(position[a.Name], position[b.Name]) })
	return replicas
}

// updateReplicaWeights orders one replica to load newer weights and polls it until it has them.
func (r *rollout) updateReplicaWeights(ctx context.Context, u weightsUpdate) {
	g := r.gateway
	id := u.replica.ID
	defer func() {
		r.mu.Lock()
		delete(r.loadingReplicas, id)
		delete(r.unansweredOrders, id)
		r.mu.Unlock()
	}()
	started := g.clock()
	lastOrder, orders := -orderRetryInterval, 0
	for g.clock()-started < maxWeightsLoadTime {
		report, err := g.fetchReport(ctx, u.replica, controlCallTimeout)
		now := g.clock()
		switch {
		case err != nil:
			g.log("no valid status report", "Replica", id, "Error", err.Error())
			g.recordFailure(id)
			return
		case report.Versions[u.model] >= u.version:
			g.announceWeights(id, report.Versions[u.model], 0)
			if orders == 1 {
				r.recordLoadTime(id, now-lastOrder)
			}
			g.log("weights loaded", "Replica", id, "WeightsVersion", report.Versions[u.model], "Took", (now - started).String(), "Usual", r.loadTime().String())
			return
		case report.Busy:
			r.setUnanswered(id, false)
			g.announceWeights(id, report.Versions[u.model], r.pollInterval()+controlCallTimeout)
		case now-lastOrder >= orderRetryInterval:
			lastOrder = now
			orders++
			if !r.sendOrder(ctx, u, report) {
				return
			}
		}
		pause := r.pollInterval()
		if lastOrder == now {
			pause = time.Duration(firstPollShare * float64(r.loadTime()))
		}
		if !fpclock.Sleep(ctx, pause) {
			return
		}
	}
}

// loadTime returns the usual time from an order to a report of the new weights.
func (r *rollout) loadTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.loadSeconds.Value(weightsLoadPrior.Seconds()) * float64(time.Second))
}

func (r *rollout) pollInterval() time.Duration {
	return max(minWeightsPollInterval, time.Duration(pollShare*float64(r.loadTime())))
}

// recordLoadTime records the time that a replica took to load weights after a single order.
func (r *rollout) recordLoadTime(id string, took time.Duration) {
	r.mu.Lock()
	next, err := r.loadSeconds.WithSample(took.Seconds(), weightsLoadPrior.Seconds())
	r.loadSeconds = next
	r.mu.Unlock()
	if err != nil {
		r.gateway.log("load time not used", "Replica", id, "Took", took.String(), "Error", err.Error())
	}
}

// fetchReport reads a replica's status report within a timeout.
func (g *Gateway) fetchReport(ctx context.Context, r fpfleet.Replica, timeout time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := g.callReplica(ctx, r, g.dialect.ReportCall(r.Address, r.ID))
	if err != nil {
		return Report{}, err
	}
	return g.dialect.DecodeReport(status, body)
}

// sendOrder sends one order, after checking the lease once more, and reports whether to go on
// polling the replica.
func (r *rollout) sendOrder(ctx context.Context, u weightsUpdate, report Report) bool {
	g := r.gateway
	id := u.replica.ID
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	now := g.clock()
	if !lease.MayOrderWithin(now, 0, controlCallTimeout) {
		return false
	}
	o := Order{
		Replica: id, Model: u.model, Version: u.version, Mode: KeepRuns,
		Holder: g.settings().Host, FencingToken: lease.FencingToken, OrdersAccepted: report.OrdersAccepted,
	}
	g.announceWeights(id, report.Versions[u.model], r.loadTime()+controlCallTimeout)
	call, err := g.dialect.OrderCall(u.replica.Address, o)
	if err != nil {
		g.log("order not sent", "Replica", id, "Error", err.Error())
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	status, _, err := g.callReplica(ctx, u.replica, call)
	r.setUnanswered(id, err != nil)
	if err != nil {
		g.log("no answer to the order", "Replica", id, "WeightsVersion", u.version, "Fence", o.FencingToken, "Error", err.Error())
		return true
	}
	result, err := g.dialect.DecodeOrderResult(status)
	g.log("order sent", "Replica", id, "Model", u.model, "WeightsVersion", u.version, "Mode", o.Mode.String(),
		"Fence", o.FencingToken, "Orders", o.OrdersAccepted, "Running", report.Running, "Status", status)
	switch {
	case err != nil:
		return true
	case result == OrderFenced:
		r.mu.Lock()
		r.lease.ExpiresAt = 0
		r.mu.Unlock()
		return false
	case result == OrderInvalid || result == OrderWrongReplica:
		return false
	}
	return true
}

// callReplica makes a control call to a replica, until the context ends, and reads the whole answer.
func (g *Gateway) callReplica(ctx context.Context, r fpfleet.Replica, call fpconn.Call) (int, []byte, error) {
	a, err := g.pool.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	g.recordControlIntake(r.ID, r.StartUnixMilli, a)
	body, err := fpconn.ReadAll(a.Body, maxControlAnswerBytes, nil)
	return a.Status, body, err
}
