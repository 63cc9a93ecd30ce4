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
	"github.com/fescuepoint/fescuepoint/internal/fpcoalesce"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpfeed"
	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	// memoryLimitShare is the share of the host's memory that is set as the garbage collector's
	// soft limit.
	memoryLimitShare = 0.7
	// trafficMemoryShare is the share of the host's memory that connections, requests and answers may hold at one time,
	// and minTrafficMemoryBytes the least that they may hold. The rest is for the host's own state and for garbage.
	trafficMemoryShare    = 0.3
	minTrafficMemoryBytes = 16 << 20
	// snapshotInterval is the interval at which the snapshot is rebuilt when the store reports
	// no change.
	snapshotInterval = 500 * time.Millisecond
)

type (
	// Dependencies are the dependencies of a gateway.
	Dependencies struct {
		Store   fpstore.Store
		Dialect Dialect
		Clock   fpclock.Clock
		Log     *fplog.Queue
		// Dial opens connections to replicas; nil asks for the system's.
		Dial fpconn.DialFunc
		// Reloads delivers reloaded settings; nil when settings never change.
		Reloads <-chan SettingsReload
	}

	// SettingsReload is the result of reloading the settings.
	SettingsReload struct {
		Settings Settings
		Err      error
	}

	// Gateway is one host: it serves callers, follows the store and rolls out weights.
	Gateway struct {
		activeSettings atomic.Pointer[Settings]
		store          fpstore.Store
		dialect        Dialect
		clock          fpclock.Clock
		logQueue       *fplog.Queue
		reloads        <-chan SettingsReload
		logger         log.Logger
		logLimiter     *lineLimiter
		metrics        *fpmetric.Set
		pool           *fpconn.Pool
		// forwardPool holds the connections to other hosts for the requests that they are forwarded.
		forwardPool *fpconn.Pool
		// memory bounds what connections, requests and answers hold, and guard admits callers to it.
		memory *fpbudget.Budget
		guard  *fpingress.Guard

		controlQueue    chan func(*controlState)
		snapshot        atomic.Pointer[snapshot]
		draining        atomic.Bool
		runningRequests atomic.Int64
		// stopsAt is when a planned stop ends the requests that are left, in nanoseconds on the clock, 0 without a stop.
		// The context ending ends then, by endRequests.
		stopsAt      atomic.Int64
		ending       context.Context
		endRequests  context.CancelFunc
		stopped      chan struct{}
		noticeSocket *fpnotice.Socket
		// history holds the recent store updates that other hosts read from this one; peerClient
		// reads theirs.
		history    fpfeed.History
		peerClient *fpfeed.Client
		// storeReaders tracks the hosts of the zone that read the store; only the follower's
		// goroutine uses it.
		storeReaders *storeReaders

		mu           sync.Mutex
		balancer     *fpbalance.Balancer
		retryWindows map[string]*fplimit.RetryWindow
		// brokenReplicas holds the replicas that broke off answers, by ID.
		brokenReplicas map[string]*brokenReplica
		quarantine     *quarantine
		// silences holds the attempts that replicas left unanswered, and uncertain when requests were, by ID,
		// that may have been sent to a replica which had ended before.
		silences  fpquarantine.Silences[brokenAttempt]
		uncertain map[string]time.Duration
		// origins holds at which software version each stream began.
		origins *fporigin.Table
		// archive holds the origins that the store has told, and unarchived those that it is to be told.
		archive    fporigin.Archive
		unarchived []unarchivedOrigin
		// readsForZone says that other hosts of the zone read the store through this one.
		readsForZone atomic.Bool
		// currentBuilds reads the software versions in service from the store.
		currentBuilds fpcoalesce.Reader[map[string][]string]
		// unsentOrigins are those that the other hosts are told of next.
		unsentOrigins []fporigin.Entry
		// forwardsPausedUntil holds until when a host gets no forwarded request.
		forwardsPausedUntil map[string]time.Duration
		// seenStarts holds the last proof of which start of a replica answers, by ID.
		seenStarts map[string]seenStart
		// startReaders read the starts of replicas, by ID.
		startReaders map[string]*fpcoalesce.Reader[int64]
		// weightsAsked holds the replicas whose weights are being asked for.
		weightsAsked map[string]bool
		// limitsAnnouncedAt holds when a replica's limit was last told to all hosts.
		limitsAnnouncedAt map[string]time.Duration
	}
)

// New returns a gateway that has not started.
func New(s Settings, p Dependencies) *Gateway {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitShare))
	}
	g := &Gateway{
		store:        p.Store,
		dialect:      p.Dialect,
		clock:        p.Clock,
		logQueue:     p.Log,
		reloads:      p.Reloads,
		logger:       p.Log.Logger(),
		logLimiter:   newLineLimiter(),
		metrics:      fpmetric.New(),
		controlQueue: make(chan func(*controlState), 256),
		stopped:      make(chan struct{}),
		balancer:     fpbalance.New(s.Place),
		retryWindows: make(map[string]*fplimit.RetryWindow),

		brokenReplicas: make(map[string]*brokenReplica),
		quarantine:     newQuarantine(),
		uncertain:      make(map[string]time.Duration),
		origins:        fporigin.NewTable(maxOrigins, originRetention(nil)),
		archive:        fporigin.Archive{Retention: originRetention(nil), MaxOrigins: maxArchivedOrigins},

		limitsAnnouncedAt:   make(map[string]time.Duration),
		weightsAsked:        make(map[string]bool),
		seenStarts:          make(map[string]seenStart),
		startReaders:        make(map[string]*fpcoalesce.Reader[int64]),
		forwardsPausedUntil: make(map[string]time.Duration),
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.currentBuilds.Read = g.readBuilds
	g.pool = fpconn.NewPool(p.Clock, func(string) { g.metrics.AddToCounter("upstream_connections", 1) })
	if p.Dial != nil {
		g.pool.SetDialer(p.Dial)
	}
	g.forwardPool = fpconn.NewPool(p.Clock, nil)
	g.memory = fpbudget.New(max(int64(float64(s.MemoryBytes)*trafficMemoryShare), minTrafficMemoryBytes))
	g.guard = fpingress.NewGuard(fpingress.Settings{Budget: g.memory, MaxConnections: s.MaxConnections, StallTimeout: stallTimeout, Clock: p.Clock, OnRefuse: g.recordRefusedClient})
	g.peerClient, g.storeReaders = fpfeed.NewClient(p.Clock), &storeReaders{skippedUntil: make(map[string]time.Duration)}
	g.activeSettings.Store(&s)
	g.snapshot.Store(&snapshot{})
	return g
}

// settings returns the settings in force.
func (g *Gateway) settings() Settings { return *g.activeSettings.Load() }

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.openNoticeSocket()
	var r run.Group
	follower := &fpstore.Follower{
		Store: g.store, Clock: g.clock, Deliver: g.enqueueStoreUpdate, Intervals: g.storePollIntervals, FetchFromPeer: g.readFromPeer,
	}
	rollout := newRollout(g)
	for _, f := range []func(context.Context) error{
		g.logQueue.Run, g.runControl, follower.Run, g.maintainHostEntry, rollout.run, g.runEventReaders, g.receiveNotices, g.applyReloads,
		g.runQuarantine, g.storeQuarantine, g.shareOrigins, g.archiveOrigins, g.confirmOwnOrigins, g.storeBuilds, g.probeUnreachable, g.checkSilentReplicas, g.checkSurvivals, g.guard.Run,
	} {
		taskCtx, stop := context.WithCancel(inner)
		r.Add(func() error { return f(taskCtx) }, func(error) { stop() })
	}
	callers := g.newServer(g.settings().CallersAddress, g, fpingress.Rules{HeaderBytes: g.maxHeaderBytes, BodyBytes: g.maxBodyBytes})
	own := fpingress.Rules{HeaderBytes: g.maxHeaderBytes, BodyBytes: g.maxBodyBytes, Control: true}
	servers := []*server{callers, g.newServer(g.settings().ReadyAddress, g.readyHandler(), own)}
	clients := []*server{callers}
	if address := g.settings().peerAddress(); address != "" {
		forwarded := own
		forwarded.HeaderBytes = g.maxForwardedHeaderBytes
		peers := g.newServer(address, g.peersHandler(fpfeed.NewHandler(g.settings().Host, &g.history, g.clock)), forwarded)
		peers.optional = true
		servers, clients = append(servers, peers), append(clients, peers)
	}
	if g.settings().MetricsAddress != "" {
		metrics := g.newServer(g.settings().MetricsAddress, g.metricsHandler(), own)
		metrics.optional = true
		servers = append(servers, metrics)
	}
	for _, s := range servers {
		s.listen()
		r.Add(s.serve, func(error) { s.close() })
	}
	r.Add(func() error { return g.awaitShutdown(ctx, inner, clients) }, func(error) { close(g.stopped) })
	g.log("started", "Zone", g.settings().Place.Zone, "Callers", g.settings().CallersAddress, "Store", g.settings().StoreAddress)
	err := r.Run()
	g.pool.Close()
	g.forwardPool.Close()
	g.peerClient.Close()
	g.logQueue.WaitStopped()
	return errors.Wrap(err, "gateway")
}

// enqueueStoreUpdate passes a store update, with the freshness proof in it, to the control
// goroutine.
func (g *Gateway) enqueueStoreUpdate(u fpstore.Update) {
	g.history.ApplyUpdate(u)
	select {
	case g.controlQueue <- func(c *controlState) { c.applyUpdate(u, g.clock()) }:
	case <-g.stopped:
		return
	}
	if u.Err != nil {
		g.metrics.AddToCounter("store_errors", 1)
	}
}

// runControl runs the control goroutine, which owns the controlState.
func (g *Gateway) runControl(ctx context.Context) error {
	c := newControlState(g)
	t := time.NewTicker(snapshotInterval)
	defer t.Stop()
	for {
		select {
		case f := <-g.controlQueue:
			f(c)
			for range len(g.controlQueue) {
				(<-g.controlQueue)(c)
			}
		case <-t.C:
			g.pool.CloseExpired()
			g.forwardPool.CloseExpired()
			g.updateDroppedMetric()
			g.updateFigureMetrics()
		case <-ctx.Done():
			return nil
		}
		g.snapshot.Store(c.buildSnapshot(g.clock(), g.draining.Load()))
	}
}

// enqueueControl passes a function to the control goroutine, and drops it when the queue is
// full.
func (g *Gateway) enqueueControl(f func(*controlState)) {
	select {
	case g.controlQueue <- f:
	default:
		g.metrics.AddToCounter("control_events_dropped", 1)
	}
}

func (g *Gateway) formatProofAge(now time.Duration) string {
	age, ok := g.snapshot.Load().proof.Age(now)
	if !ok {
		return "none"
	}
	return age.Round(time.Millisecond).String()
}

// isReady reports whether this host can serve callers.
func (g *Gateway) isReady() bool {
	s := g.snapshot.Load()
	return s.catalog != nil && !g.draining.Load() && s.proof.AllowsKeys(g.settings().Freshness, g.clock())
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service).RecordRequest(g.settings().RetryBudget, g.clock())
}

func (g *Gateway) retryWindow(service string) *fplimit.RetryWindow {
	w := g.retryWindows[service]
	if w == nil {
		w = &fplimit.RetryWindow{}
		g.retryWindows[service] = w
	}
	return w
}
