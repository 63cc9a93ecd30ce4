package fpdispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fppipe"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	serviceAddress  = "10.0.0.1:80"
	secondAddress   = "10.0.0.2:80"
	serviceDuration = 40 * time.Millisecond
	testDedupWindow = time.Minute
)

var errUnreachable = errors.New("unreachable")

type (
	// testFleet is a fleet in virtual time: hosts with real dispatchers, the stand-in store with
	// injected faults, and two addresses of a plain service in an in-memory network.
	testFleet struct {
		network fppipe.Network
		store   *fpmemory.Store
		service *fpstandin.Service
		mu      sync.Mutex
		faults  storeFaults
		hosts   []*host
		started time.Time
		random  *rand.Rand
		// runTimes holds the times at which each request reached the service.
		runTimes map[string][]time.Duration
		// isolateNext makes the replica that runs the next request unreachable.
		isolateNext bool
	}

	// storeFaults holds the injected faults of the platform.
	storeFaults struct {
		unreachable    bool
		delay          time.Duration
		lostAnswerRate float64
		lateWriteRate  float64
	}

	host struct {
		fleet            *testFleet
		index            int
		name             string
		cancel           context.CancelFunc
		state            fpstate.Holder
		claimant         *fpclaimant.Claimant
		answers          *fpclaimant.AttemptTable
		broker           *fpclaimant.Broker
		dispatcher       *Dispatcher
		client           *fpupstream.Client
		incarnation      uint64
		mu               sync.Mutex
		killed           bool
		storeUnreachable bool
		peersUnreachable bool
		pendingFreeze    time.Duration
		records          *fprecord.Ring
	}

	// hostStore is the platform's store as one host reaches it.
	hostStore struct{ host *host }

	// lateWriteStore is a store whose writes may take effect late.
	lateWriteStore struct {
		fpmemory.Direct
		fleet *testFleet
	}

	// hostPeers gives one host access to the other hosts.
	hostPeers struct{ host *host }
)

func newTestFleet(seed uint64, hosts int) *testFleet {
	tf := &testFleet{
		store:    fpmemory.New(),
		service:  fpstandin.NewService("booking", serviceDuration),
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		runTimes: make(map[string][]time.Duration),
	}
	for i := range hosts {
		tf.hosts = append(tf.hosts, tf.newHost(i, time.Now().Add(-2*testDedupWindow)))
	}
	return tf
}

func (tf *testFleet) newHost(index int, started time.Time) *host {
	h := &host{
		fleet:       tf,
		index:       index,
		name:        fmt.Sprintf("entry-%d", index),
		incarnation: uint64(started.UnixNano()),
		answers:     fpclaimant.NewAttemptTable(100, 1<<20),
		records:     fprecord.NewRing(1000),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	name := fmt.Sprintf("%s-%d", h.name, h.incarnation)
	h.claimant = fpclaimant.New(name, hostStore{h}.newStore(), fpclaimant.Settings{
		Shards: 1,
		Shard:  fpclaim.Settings{Slots: 3, Window: testDedupWindow, Linger: 3 * time.Millisecond},
	})
	go func() { _ = h.claimant.Run(ctx) }()
	self := fpclaimant.Member{Name: h.name, Zone: h.zone(), Incarnation: h.incarnation, StartedAt: started}
	h.broker = fpclaimant.NewBroker(self, testDedupWindow, h.claimant, h.answers, hostPeers{h}, h.members, func() {})
	h.client = fpupstream.NewClient(fpupstream.Settings{Dialer: tf.network.Dial})
	h.state.Publish(&fpstate.Snapshot{Services: map[string][]fpstate.Upstream{"booking": {
		{Upstream: fpconfig.Upstream{Name: "booking-1", Address: serviceAddress}, Reachable: true},
		{Upstream: fpconfig.Upstream{Name: "booking-2", Address: secondAddress}, Reachable: true},
	}}})
	settings := Settings{DispatchTimeout: 5 * time.Second, DedupWindow: testDedupWindow, Clock: h.clock}
	h.dispatcher = New(Host{Name: h.name, Incarnation: h.incarnation}, settings, &h.state, h.client,
		h.broker, h.answers, h.records, fpmetric.New())
	return h
}

func (h *host) zone() string { return fmt.Sprintf("zone-%d", h.index%2) }

// clock sleeps once for the pending freeze, so that the host stops between the claim and the first
// byte.
func (h *host) clock() time.Duration {
	h.mu.Lock()
	d := h.pendingFreeze
	h.pendingFreeze = 0
	h.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	return time.Since(h.fleet.started)
}

// update changes the host under its lock.
func (h *host) update(f func(*host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

// holds reports whether a condition holds, evaluated under the host's lock.
func (h *host) holds(f func(*host) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(h)
}

// replaceHost kills a host and starts a new incarnation without its state.
func (tf *testFleet) replaceHost(index int) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	old := tf.hosts[index]
	old.update(func(h *host) { h.killed = true })
	old.cancel()
	tf.hosts[index] = tf.newHost(index, time.Now())
}

func (tf *testFleet) host(index int) *host {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	return tf.hosts[index]
}

func (tf *testFleet) updateFaults(f func(*storeFaults)) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	f(&tf.faults)
}

func (tf *testFleet) drawWithProbability(p float64) bool {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	return tf.random.Float64() < p
}

func (tf *testFleet) close() {
	for _, h := range tf.hosts {
		h.cancel()
		h.client.Close()
	}
}

func (h *host) members() []fpclaimant.Member {
	var members []fpclaimant.Member
	tf := h.fleet
	tf.mu.Lock()
	defer tf.mu.Unlock()
	for _, o := range tf.hosts {
		if o.index != h.index {
			members = append(members, fpclaimant.Member{Name: o.name, Zone: o.zone(), Address: o.name, Incarnation: o.incarnation})
		}
	}
	return members
}

// delayRequest delays a request to the store and returns the current faults, or an error if this
// host cannot reach the store.
func (s hostStore) delayRequest() (storeFaults, error) {
	tf := s.host.fleet
	tf.mu.Lock()
	f := tf.faults
	tf.mu.Unlock()
	if f.unreachable || s.host.holds(func(h *host) bool { return h.killed || h.storeUnreachable }) {
		time.Sleep(300 * time.Millisecond)
		return f, fpstore.ErrOutcomeUnknown
	}
	time.Sleep(2*time.Millisecond + f.delay)
	return f, nil
}

// newStore returns the store as this host reaches it.
func (s hostStore) newStore() lateWriteStore {
	return lateWriteStore{fleet: s.host.fleet, Direct: fpmemory.Direct{Store: s.host.fleet.store, BeforeCall: s.deliverRequest}}
}

// deliverRequest reports whether a request reaches the store; an error means that its answer is
// lost.
func (s hostStore) deliverRequest(_ context.Context, write bool) (bool, error) {
	f, err := s.delayRequest()
	if err != nil {
		return false, fpstore.ErrOutcomeUnknown
	}
	if f.delay > 2*time.Second || write && s.host.fleet.drawWithProbability(f.lostAnswerRate) {
		return true, fpstore.ErrOutcomeUnknown
	}
	return true, nil
}

// Commit writes at once, or leaves the write unanswered and lets it take effect 3 s later.
func (s lateWriteStore) Commit(ctx context.Context, t fpstore.Transaction) (fpstore.Position, error) {
	tf := s.fleet
	tf.mu.Lock()
	rate := tf.faults.lateWriteRate
	tf.mu.Unlock()
	if !tf.drawWithProbability(rate) {
		return s.Direct.Commit(ctx, t)
	}
	if delivered, _ := s.BeforeCall(ctx, true); delivered {
		time.AfterFunc(3*time.Second, func() { _, _ = tf.store.Commit(t, time.Now()) })
	}
	return fpstore.Position{}, fpstore.ErrOutcomeUnknown
}

// reachPeer returns the host with the given address if this host can reach it.
func (p hostPeers) reachPeer(ctx context.Context, address string) (*host, error) {
	tf := p.host.fleet
	tf.mu.Lock()
	var to *host
	for _, o := range tf.hosts {
		if o.name == address {
			to = o
		}
	}
	tf.mu.Unlock()
	unreachable := func(h *host) bool { return h.killed || h.peersUnreachable }
	if to == nil || to.holds(unreachable) || p.host.holds(unreachable) {
		fpclock.Sleep(ctx, 200*time.Millisecond)
		return nil, errUnreachable
	}
	time.Sleep(time.Millisecond)
	return to, nil
}

func (p hostPeers) Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (fpclaimant.ClaimResult, error) {
	to, err := p.reachPeer(ctx, address)
	if err != nil {
		return fpclaimant.ClaimResult{}, err
	}
	return to.broker.SettleClaim(ctx, c, wait), nil
}

func (p hostPeers) Answer(ctx context.Context, address string, holder fpclaim.Claim, wait time.Duration) (fpclaimant.State, fpclaimant.Result, error) {
	to, err := p.reachPeer(ctx, address)
	if err != nil {
		return fpclaimant.Unreachable, fpclaimant.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	state, r := to.broker.LocalAttemptResult(ctx, holder)
	if to.holds(func(h *host) bool { return h.killed || h.peersUnreachable }) {
		return fpclaimant.Unreachable, fpclaimant.Result{}, errUnreachable
	}
	return state, r, nil
}

func (p hostPeers) MayHaveDispatched(ctx context.Context, address string, key fpclaim.Key) (bool, error) {
	to, err := p.reachPeer(ctx, address)
	if err != nil {
		return false, err
	}
	return to.broker.MayHaveDispatched(key), nil
}
