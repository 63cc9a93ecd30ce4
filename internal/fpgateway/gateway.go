package fpgateway

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpnews"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

const (
	// memoryShare is the part of a host's memory that the collector aims to stay below.
	memoryShare = 0.7
	// tick is the pace at which the picture for traffic is renewed without news.
	tick = 500 * time.Millisecond
)

type (
	// Parts are what a gateway works with.
	Parts struct {
		Store   fpstore.Store
		Dialect Dialect
		Clock   fpclock.Clock
		Log     *fplog.Queue
		// Reload delivers new settings; nil when they never change.
		Reload <-chan Reloaded
	}

	// Reloaded is the result of reading the settings anew.
	Reloaded struct {
		Settings Settings
		Err      error
	}

	// Gateway is one host.
	Gateway struct {
		current atomic.Pointer[Settings]
		store   fpstore.Store
		dialect Dialect
		clock   fpclock.Clock
		queue   *fplog.Queue
		reloads <-chan Reloaded
		logger  log.Logger
		limited *lineLimit
		metrics *fpmetric.Set
		pool    *fpconn.Pool

		events   chan func(*control)
		state    atomic.Pointer[snapshot]
		draining atomic.Bool
		running  atomic.Int64
		stopped  chan struct{}
		notices  *fpnotice.Socket
		// news is what this host heard of the store, for others to ask; asker asks them.
		news  fpnews.History
		asker *fpnews.Client
		// readers are the hosts of the zone that read the store; the follower's alone.
		readers *readers

		mu       sync.Mutex
		balancer *fpbalance.Balancer
		retries  map[string]*fplimit.RetryWindow
	}
)

// New returns a host that has not started.
func New(s Settings, p Parts) *Gateway {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	g := &Gateway{
		store:    p.Store,
		dialect:  p.Dialect,
		clock:    p.Clock,
		queue:    p.Log,
		reloads:  p.Reload,
		logger:   p.Log.Logger(),
		limited:  newLineLimit(),
		metrics:  fpmetric.New(),
		events:   make(chan func(*control), 256),
		stopped:  make(chan struct{}),
		balancer: fpbalance.New(s.Place),
		retries:  make(map[string]*fplimit.RetryWindow),
	}
	g.pool = fpconn.NewPool(p.Clock, func(string) { g.metrics.Count("upstream_connections", 1) })
	g.asker, g.readers = fpnews.NewClient(p.Clock), &readers{failed: make(map[string]time.Duration)}
	g.current.Store(&s)
	g.state.Store(&snapshot{})
	return g
}

// settings returns those in force.
func (g *Gateway) settings() Settings { return *g.current.Load() }

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.openPeers()
	var r run.Group
	follower := &fpstore.Follower{
		Store: g.store, Clock: g.clock, Deliver: g.deliver, Pace: g.pace, Nearby: g.nearby,
	}
	rollout := newRollout(g)
	for _, f := range []func(context.Context) error{
		g.queue.Run, g.control, follower.Run, g.register, rollout.run, g.readEvents, g.receiveNotices, g.reload,
	} {
		part, stop := context.WithCancel(inner)
		r.Add(func() error { return f(part) }, func(error) { stop() })
	}
	callers := g.newServer(g.settings().Callers, g)
	servers := []*server{callers, g.newServer(g.settings().Ready, g.readyHandler())}
	if address := g.settings().peerAddress(); address != "" {
		n := g.newServer(address, fpnews.NewHandler(g.settings().Host, &g.news, g.clock))
		n.optional = true
		servers = append(servers, n)
	}
	if g.settings().Metrics != "" {
		m := g.newServer(g.settings().Metrics, g.metricsHandler())
		m.optional = true
		servers = append(servers, m)
	}
	for _, s := range servers {
		r.Add(s.serve, func(error) { s.close() })
	}
	r.Add(func() error { return g.waitForStop(ctx, inner, callers) }, func(error) { close(g.stopped) })
	g.log("started", "Zone", g.settings().Place.Zone, "Callers", g.settings().Callers, "Store", g.settings().Store)
	err := r.Run()
	g.pool.Close()
	g.asker.Close()
	g.queue.Wait()
	return errors.Wrap(err, "gateway")
}

// deliver hands the store's news, and the proof that comes with it, to the control goroutine.
func (g *Gateway) deliver(u fpstore.Update) {
	g.news.Add(u)
	select {
	case g.events <- func(c *control) { c.update(u, g.clock()) }:
	case <-g.stopped:
		return
	}
	if u.Err != nil {
		g.metrics.Count("store_errors", 1)
	}
}

// control runs the control goroutine.
func (g *Gateway) control(ctx context.Context) error {
	c := newControl(g)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case f := <-g.events:
			f(c)
			for range len(g.events) {
				(<-g.events)(c)
			}
		case <-t.C:
			g.pool.Expire()
			g.reportDropped()
		case <-ctx.Done():
			return nil
		}
		g.state.Store(c.snapshot(g.clock(), g.draining.Load()))
	}
}

// post hands a function to the control goroutine, unless it is far behind.
func (g *Gateway) post(f func(*control)) {
	select {
	case g.events <- f:
	default:
		g.metrics.Count("control_events_dropped", 1)
	}
}

func (g *Gateway) proofAge(now time.Duration) string {
	age, ok := g.state.Load().proof.Age(now)
	if !ok {
		return "none"
	}
	return age.Round(time.Millisecond).String()
}

// ready reports whether this host can serve callers.
func (g *Gateway) ready() bool {
	s := g.state.Load()
	return s.catalog != nil && !g.draining.Load() && s.proof.AllowsKeys(g.settings().Fresh, g.clock())
}

func (g *Gateway) count(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window(service).CountRequest(g.settings().Retry, g.clock())
}

func (g *Gateway) window(service string) *fplimit.RetryWindow {
	w := g.retries[service]
	if w == nil {
		w = &fplimit.RetryWindow{}
		g.retries[service] = w
	}
	return w
}
