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
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fporder"
)

const (
	// rolloutEvery is the pace of looking for replicas that need an order.
	rolloutEvery = 100 * time.Millisecond
	// renewShare of the lease's time passes between two renewals.
	renewShare = 3
	// acquireJitter spreads the hosts that want the lease at the same moment.
	acquireJitter = 250 * time.Millisecond
	// acquireRetry is the pause after the store did not give the lease.
	acquireRetry = time.Second
	// orderTimeout bounds a report or an order; the longest way takes 60 ms there and back.
	orderTimeout = 900 * time.Millisecond
	// watchLoading is the pace of asking a loading replica whether it is done.
	watchLoading = 100 * time.Millisecond
	// loadFloor is the least time that new weights take a replica (users' figures: 1.1 and 1.8 s).
	loadFloor = 900 * time.Millisecond
	// loadPatience bounds the time that a replica may load; with many loading it takes longer than the users' 1.8 s.
	loadPatience = 8 * time.Second
	// reorderAfter is when an order without effect is given again.
	reorderAfter = time.Second
	// loadShare is the share of a model's replicas that may load at once: the users'
	// weight stores slow down beyond 2 of 9, 14 of 71 and 11 of 57.
	loadShare = 5
	// minAtOnce is the least number that may load at once.
	minAtOnce = 2
)

type (
	// rollout is this host's part in bringing replicas to the weights that are named.
	rollout struct {
		gateway *Gateway
		planner *fporder.Planner
		mu      sync.Mutex
		lease   fporder.Lease
		id      fpstore.Lease
		renewed time.Duration
		// retry is when the lease may be asked for again.
		retry   time.Duration
		active  map[string]bool
		waiting sync.WaitGroup
	}

	// loadJob is one replica's way to newer weights.
	loadJob struct {
		replica fpfleet.Replica
		model   string
		version int64
	}
)

func newRollout(g *Gateway) *rollout {
	return &rollout{gateway: g, planner: fporder.NewPlanner(), active: make(map[string]bool)}
}

// run holds the right to give orders while nobody else does, and gives them.
func (r *rollout) run(ctx context.Context) error {
	jobs, stop := context.WithCancel(ctx)
	defer stop()
	for !r.gateway.draining.Load() && fpclock.Sleep(ctx, rolloutEvery) {
		if r.hold(jobs) {
			r.step(jobs)
		}
	}
	lease := r.id
	r.drop("stopping")
	stop()
	r.waiting.Wait()
	// At a planned stop the next holder takes over while this host still drains.
	err := r.gateway.endLease(lease)
	<-ctx.Done()
	return err
}

// hold acquires or renews the lease and reports whether this host holds it.
func (r *rollout) hold(ctx context.Context) bool {
	s := r.gateway.state.Load()
	now := r.gateway.clock()
	if r.id != 0 && r.until() == 0 {
		// A replica has seen a higher token: another host holds the lease by now.
		r.drop("fenced")
	}
	if r.id == 0 {
		if s.catalog == nil || s.orderHolder != "" || s.away {
			return false
		}
		if now < r.retry || !fpclock.Sleep(ctx, rand.N(acquireJitter)) {
			return false
		}
		if r.acquire(ctx) {
			return true
		}
		r.retry = r.gateway.clock() + acquireRetry
		return false
	}
	if now-r.renewed < r.gateway.settings().OrderLease/renewShare {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.gateway.store.KeepAlive(callCtx, r.id)
	switch {
	case err == nil:
		r.renewed = now
		r.mu.Lock()
		r.lease.ExpiresAt = now + r.gateway.settings().OrderLease
		r.mu.Unlock()
	case errors.Is(err, fpstore.ErrLeaseGone) || r.gateway.clock() >= r.until():
		r.drop(err.Error())
		return false
	}
	return true
}

// acquire takes the lease if nobody holds it. The fencing token is the
// revision of the write, which rises with each holder.
func (r *rollout) acquire(ctx context.Context) bool {
	g := r.gateway
	if s := g.state.Load(); s.orderHolder != "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := g.clock()
	id, err := g.store.Grant(ctx, g.settings().OrderLease)
	if err != nil {
		g.log("orders not acquired", "Error", err.Error())
		return false
	}
	fence, err := g.store.Commit(ctx, fpstore.Transaction{
		Conditions: []fpstore.Condition{{Key: orderKey}},
		Puts:       []fpstore.Put{{Key: orderKey, Value: []byte(g.settings().Host), Lease: id}},
	})
	if err != nil {
		g.log("orders not acquired", "Error", err.Error())
		return false
	}
	r.id, r.renewed = id, sent
	r.mu.Lock()
	r.lease = fporder.Lease{FencingToken: fence, AcquiredAt: g.clock(), ExpiresAt: sent + g.settings().OrderLease}
	r.mu.Unlock()
	g.log("orders acquired", "Fence", fence, "Lease", int64(id))
	return true
}

func (r *rollout) until() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.ExpiresAt
}

func (r *rollout) drop(reason string) {
	if r.id == 0 {
		return
	}
	r.gateway.log("orders given up", "Fence", r.lease.FencingToken, "Reason", reason)
	r.id = 0
	r.mu.Lock()
	r.lease = fporder.Lease{}
	r.mu.Unlock()
}

// step starts the orders that may be given now.
func (r *rollout) step(ctx context.Context) {
	g := r.gateway
	s := g.state.Load()
	now := g.clock()
	for model := range s.weights {
		members, jobs := r.members(s, model, s.newest(model).version)
		r.planner.MaxLoading = max(minAtOnce, len(members)/loadShare)
		for _, m := range r.planner.NextOrders(members, now) {
			r.mu.Lock()
			r.active[m.Name] = true
			r.mu.Unlock()
			r.waiting.Go(func() { r.load(ctx, jobs[m.Name]) })
		}
	}
}

// members lists a model's replicas for the planner, those with the least work
// first and zones in turn.
func (r *rollout) members(s *snapshot, model string, wanted int64) ([]fporder.Replica, map[string]loadJob) {
	g := r.gateway
	known := make(map[string]int64)
	for _, list := range s.services {
		for _, m := range list {
			known[m.ID] = m.Version
		}
	}
	jobs := make(map[string]loadJob)
	var members []fporder.Replica
	work := make(map[string]float64)
	version := make(map[string]int64)
	g.mu.Lock()
	for _, f := range s.members {
		if _, ok := f.Weights[model]; !ok {
			continue
		}
		work[f.ID] = g.balancer.OutstandingRequests(f.ID, g.clock())
		version[f.ID] = max(known[f.ID], f.Weights[model])
		r.mu.Lock()
		loading := r.active[f.ID]
		r.mu.Unlock()
		members = append(members, fporder.Replica{
			Name: f.ID, Zone: f.Zone, Model: model,
			Weights:       strconv.FormatInt(version[f.ID], 10),
			WantedWeights: strconv.FormatInt(wanted, 10),
			Loading:       loading, Leaving: f.Draining, Reachable: g.balancer.Reachable(f.ID, g.clock()),
		})
		jobs[f.ID] = loadJob{replica: f, model: model, version: wanted}
	}
	g.mu.Unlock()
	slices.SortStableFunc(members, func(a, b fporder.Replica) int { return cmp.Compare(work[a.Name], work[b.Name]) })
	members = inTurn(members)
	// The oldest weights go first: they are the first that may no longer be used.
	slices.SortStableFunc(members, func(a, b fporder.Replica) int { return cmp.Compare(version[a.Name], version[b.Name]) })
	return members, jobs
}

// inTurn orders members so that zones take turns, and keeps the order within a zone.
func inTurn(members []fporder.Replica) []fporder.Replica {
	rank := make(map[string]int)
	place := make(map[string]int, len(members))
	for _, m := range members {
		if m.Weights == m.WantedWeights {
			continue
		}
		place[m.Name] = rank[m.Zone]
		rank[m.Zone]++
	}
	slices.SortStableFunc(members, func(a, b fporder.Replica) int { return cmp.Compare(place[a.Name], place[b.Name]) })
	return members
}

// load brings one replica to newer weights and watches it until it has them.
func (r *rollout) load(ctx context.Context, j loadJob) {
	g := r.gateway
	id := j.replica.ID
	defer func() {
		r.mu.Lock()
		delete(r.active, id)
		r.mu.Unlock()
	}()
	started := g.clock()
	ordered := -reorderAfter
	for g.clock()-started < loadPatience {
		rep, err := r.report(ctx, j)
		now := g.clock()
		switch {
		case err != nil:
			g.log("report failed", "Replica", id, "Error", err.Error())
			g.fail(id)
			return
		case rep.Versions[j.model] >= j.version:
			g.tellWeights(id, rep.Versions[j.model], 0)
			g.log("weights in place", "Replica", id, "WeightsVersion", rep.Versions[j.model], "Took", (now - started).String())
			return
		case rep.Busy:
			g.tellWeights(id, rep.Versions[j.model], watchLoading+orderTimeout)
		case now-ordered >= reorderAfter:
			ordered = now
			if !r.order(ctx, j, rep) {
				return
			}
		}
		pause := watchLoading
		if ordered == now {
			pause = loadFloor
		}
		if !fpclock.Sleep(ctx, pause) {
			return
		}
	}
}

func (r *rollout) report(ctx context.Context, j loadJob) (Report, error) {
	g := r.gateway
	status, body, err := g.ask(ctx, g.dialect.ReportCall(j.replica.Address, j.replica.ID))
	if err != nil {
		return Report{}, err
	}
	return g.dialect.Report(status, body)
}

// order gives one order, after a last look at the lease, and reports whether
// to go on watching the replica.
func (r *rollout) order(ctx context.Context, j loadJob, rep Report) bool {
	g := r.gateway
	id := j.replica.ID
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	now := g.clock()
	if !lease.MayOrderWithin(now, 0, orderTimeout) {
		return false
	}
	o := Order{
		Replica: id, Model: j.model, Version: j.version, Mode: KeepRuns,
		Holder: g.settings().Host, Fence: lease.FencingToken, Orders: rep.Orders,
	}
	g.tellWeights(id, rep.Versions[j.model], loadFloor+orderTimeout)
	call, err := g.dialect.OrderCall(j.replica.Address, o)
	if err != nil {
		g.log("order not given", "Replica", id, "Error", err.Error())
		return false
	}
	status, _, err := g.ask(ctx, call)
	if err != nil {
		g.log("order unanswered", "Replica", id, "WeightsVersion", j.version, "Fence", o.Fence, "Error", err.Error())
		return true
	}
	result, err := g.dialect.OrderResult(status)
	g.log("order", "Replica", id, "Model", j.model, "WeightsVersion", j.version, "Mode", o.Mode.String(),
		"Fence", o.Fence, "Orders", o.Orders, "Running", rep.Running, "Status", status)
	switch {
	case err != nil:
		return true
	case result == OrderFenced:
		r.mu.Lock()
		r.lease.ExpiresAt = 0
		r.mu.Unlock()
		return false
	case result == OrderWrong || result == OrderElsewhere:
		return false
	}
	return true
}

// ask makes a control call to a replica and reads the answer whole.
func (g *Gateway) ask(ctx context.Context, call fpconn.Call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a, err := g.pool.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	body, err := fpconn.ReadAll(a.Body, maxPlainBytes)
	return a.Status, body, err
}
