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
	serviceAddress = "10.0.0.1:80"
	secondAddress  = "10.0.0.2:80"
	serviceWork    = 40 * time.Millisecond
	windowInTests  = time.Minute
)

var errUnreachable = errors.New("unreachable")

type (
	// world is a fleet in virtual time: hosts with real dispatchers, the
	// stand-in store behind faults, and a plain service in a network in memory.
	world struct {
		network fppipe.Network
		store   *fpmemory.Store
		service *fpstandin.Service
		mu      sync.Mutex
		faults  storeFaults
		hosts   []*host
		started time.Time
		random  *rand.Rand
		// runs are the times at which each request reached the service.
		runs map[string][]time.Duration
		// goneNext makes the replica that runs the next request unreachable.
		goneNext bool
	}

	// storeFaults says how the platform misbehaves.
	storeFaults struct {
		down        bool
		delay       time.Duration
		loseAnswers float64
		late        float64
	}

	host struct {
		world      *world
		number     int
		name       string
		cancel     context.CancelFunc
		state      fpstate.Holder
		claimant   *fpclaimant.Claimant
		answers    *fpclaimant.AttemptTable
		broker     *fpclaimant.Broker
		dispatcher *Dispatcher
		client     *fpupstream.Client
		started    uint64
		mu         sync.Mutex
		dead       bool
		cutStore   bool
		cutPeers   bool
		freeze     time.Duration
		recorded   *fprecord.Ring
	}

	// hostStore is the platform as one host reaches it.
	hostStore struct{ host *host }

	// lateStore is the store whose writes may take effect late.
	lateStore struct {
		fpmemory.Direct
		world *world
	}

	// hostPeers is the other hosts as one host reaches them.
	hostPeers struct{ host *host }
)

func newWorld(seed uint64, hosts int) *world {
	w := &world{
		store:   fpmemory.New(),
		service: fpstandin.NewService("booking", serviceWork),
		started: time.Now(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		runs:    make(map[string][]time.Duration),
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(i, time.Now().Add(-2*windowInTests)))
	}
	return w
}

func (w *world) newHost(number int, started time.Time) *host {
	h := &host{
		world:    w,
		number:   number,
		name:     fmt.Sprintf("entry-%d", number),
		started:  uint64(started.UnixNano()),
		answers:  fpclaimant.NewAttemptTable(100),
		recorded: fprecord.NewRing(1000),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	name := fmt.Sprintf("%s-%d", h.name, h.started)
	h.claimant = fpclaimant.New(name, hostStore{h}.driver(), fpclaimant.Settings{
		Shards: 1,
		Shard:  fpclaim.Settings{Slots: 3, Window: windowInTests, Linger: 3 * time.Millisecond},
	})
	go func() { _ = h.claimant.Run(ctx) }()
	self := fpclaimant.Member{Name: h.name, Zone: h.zone(), Incarnation: h.started}
	h.broker = fpclaimant.NewBroker(self, windowInTests, h.claimant, h.answers, hostPeers{h}, h.members, func() {})
	h.client = fpupstream.NewClient(fpupstream.Settings{Dialer: w.network.Dial})
	h.state.Publish(&fpstate.Snapshot{Services: map[string][]fpstate.Upstream{"booking": {
		{Upstream: fpconfig.Upstream{Name: "booking-1", Address: serviceAddress}, Reachable: true},
		{Upstream: fpconfig.Upstream{Name: "booking-2", Address: secondAddress}, Reachable: true},
	}}})
	settings := Settings{Dispatch: 5 * time.Second, Window: windowInTests, Clock: h.clock}
	h.dispatcher = New(Host{Name: h.name, Incarnation: h.started}, settings, &h.state, h.client,
		h.broker, h.answers, h.recorded, fpmetric.New())
	return h
}

func (h *host) zone() string { return fmt.Sprintf("zone-%d", h.number%2) }

// clock stops for a while when the host is to be frozen between the claim and the first byte.
func (h *host) clock() time.Duration {
	h.mu.Lock()
	d := h.freeze
	h.freeze = 0
	h.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	return time.Since(h.world.started)
}

func (h *host) set(f func(*host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

func (h *host) is(f func(*host) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(h)
}

// kill ends a host; a new incarnation that knows nothing takes its place.
func (w *world) kill(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.hosts[number]
	old.set(func(h *host) { h.dead = true })
	old.cancel()
	w.hosts[number] = w.newHost(number, time.Now())
}

func (w *world) host(number int) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[number]
}

func (w *world) setFaults(f func(*storeFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.faults)
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.cancel()
		h.client.Close()
	}
}

func (h *host) members() []fpclaimant.Member {
	var out []fpclaimant.Member
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.hosts {
		if o.number != h.number {
			out = append(out, fpclaimant.Member{Name: o.name, Zone: o.zone(), Address: o.name, Incarnation: o.started})
		}
	}
	return out
}

// reach returns the faults of the way to the platform, or that there is none.
func (s hostStore) reach() (storeFaults, error) {
	w := s.host.world
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	if f.down || s.host.is(func(h *host) bool { return h.dead || h.cutStore }) {
		time.Sleep(300 * time.Millisecond)
		return f, fpstore.ErrUnsettled
	}
	time.Sleep(2*time.Millisecond + f.delay)
	return f, nil
}

// driver returns the store as this host reaches it.
func (s hostStore) driver() lateStore {
	return lateStore{world: s.host.world, Direct: fpmemory.Direct{Store: s.host.world.store, Reach: s.reached}}
}

// reached reports whether a call arrives, and with an error that its answer doesn't.
func (s hostStore) reached(_ context.Context, write bool) (bool, error) {
	f, err := s.reach()
	if err != nil {
		return false, fpstore.ErrUnsettled
	}
	if f.delay > 2*time.Second || write && s.host.world.chance(f.loseAnswers) {
		return true, fpstore.ErrUnsettled
	}
	return true, nil
}

// Commit writes, or has the write take effect seconds later and unanswered.
func (s lateStore) Commit(ctx context.Context, t fpstore.Transaction) (int64, error) {
	w := s.world
	w.mu.Lock()
	late := w.faults.late
	w.mu.Unlock()
	if !w.chance(late) {
		return s.Direct.Commit(ctx, t)
	}
	if carry, _ := s.Reach(ctx, true); carry {
		time.AfterFunc(3*time.Second, func() { _, _ = w.store.Commit(t, time.Now()) })
	}
	return 0, fpstore.ErrUnsettled
}

// peer returns the named host if this one can reach it.
func (p hostPeers) peer(ctx context.Context, address string) (*host, error) {
	w := p.host.world
	w.mu.Lock()
	var to *host
	for _, o := range w.hosts {
		if o.name == address {
			to = o
		}
	}
	w.mu.Unlock()
	cut := func(h *host) bool { return h.dead || h.cutPeers }
	if to == nil || to.is(cut) || p.host.is(cut) {
		fpclock.Sleep(ctx, 200*time.Millisecond)
		return nil, errUnreachable
	}
	time.Sleep(time.Millisecond)
	return to, nil
}

func (p hostPeers) Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (fpclaimant.ClaimResult, error) {
	to, err := p.peer(ctx, address)
	if err != nil {
		return fpclaimant.ClaimResult{}, err
	}
	return to.broker.SettleClaim(ctx, c, wait), nil
}

func (p hostPeers) Answer(ctx context.Context, address string, holder fpclaim.Claim, wait time.Duration) (fpclaimant.State, fpclaimant.Result, error) {
	to, err := p.peer(ctx, address)
	if err != nil {
		return fpclaimant.Unreachable, fpclaimant.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	state, r := to.broker.AnswerOf(ctx, holder)
	if to.is(func(h *host) bool { return h.dead || h.cutPeers }) {
		return fpclaimant.Unreachable, fpclaimant.Result{}, errUnreachable
	}
	return state, r, nil
}

func (p hostPeers) Knows(ctx context.Context, address string, key fpclaim.Key) (bool, error) {
	to, err := p.peer(ctx, address)
	if err != nil {
		return false, err
	}
	return to.broker.Knows(key), nil
}
