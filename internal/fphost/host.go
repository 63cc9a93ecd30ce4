package fphost

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/fescuepoint/fescuepoint/internal/fpcaller"
	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/internal/fpfollower"
	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/internal/fppeer"
	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// Host runs an entry host: the servers for callers, peers and operators, the gossip, and the
	// control loop that publishes snapshots for them.
	Host struct {
		settings    fpsetting.Settings
		logger      log.Logger
		incarnation uint64
		startedAt   time.Time
		snapshots   fpstate.Holder
		controlLoop *controlLoop
		control     *controlState
		store       *fpplatform.Client
		upstreams   *fpupstream.Client
		peers       *fppeer.Client
		claimant    *fpclaimant.Claimant
		attempts    *fpclaimant.AttemptTable
		*fpclaimant.Broker
		follower     *fpfollower.Follower
		gossipSocket *fpgossip.Socket
		records      *fprecord.Ring
		metrics      *fpmetric.Set
		dispatcher   *fpdispatch.Dispatcher
		callerServer *fpcaller.Server
		peerSecret   []byte
		// memory bounds what connections, requests and answers hold, and guard admits clients to it.
		memory            *fpbudget.Budget
		guard             *fpingress.Guard
		lastRequestNumber atomic.Uint64
		fetchingPatches   atomic.Bool
		startDelay        time.Duration
		mu                sync.Mutex
		teamShares        map[string]fplimit.Rates
		hostCount         int
		drainRequested    chan struct{}
		drainOnce         sync.Once
		interrupted       chan struct{}
	}
)

// New returns a host that is not running yet. It fails if a setting, or a file that a setting names,
// is invalid.
func New(s fpsetting.Settings, l log.Logger) (*Host, error) {
	secret, err := os.ReadFile(s.Peers.SecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "Peers.SecretFile")
	}
	startedAt := time.Now()
	h := &Host{
		settings:       s,
		logger:         log.With(l, "Host", s.Host.Name),
		incarnation:    uint64(startedAt.UnixNano()),
		startedAt:      startedAt,
		controlLoop:    newControlLoop(),
		store:          fpplatform.NewClient(s.Platform.Address),
		upstreams:      fpupstream.NewClient(fpupstream.Settings{SilenceTimeout: s.Placement.Silence}),
		attempts:       fpclaimant.NewAttemptTable(s.Limits.KeptAnswers, int(keptAnswersShare*float64(s.Limits.MemoryBytes))),
		records:        fprecord.NewRing(s.Limits.Records),
		metrics:        fpmetric.New(),
		peerSecret:     []byte(strings.TrimSpace(string(secret))),
		teamShares:     make(map[string]fplimit.Rates),
		hostCount:      1,
		drainRequested: make(chan struct{}),
		interrupted:    make(chan struct{}),
	}
	if err := h.buildGuard(); err != nil {
		return nil, err
	}
	if err := h.buildComponents(); err != nil {
		return nil, err
	}
	return h, nil
}

// buildGuard builds the guard of all listeners. It fails if the memory has no room for the longest body.
func (h *Host) buildGuard() error {
	l := h.settings.Limits
	h.memory = fpbudget.New(max(int64(trafficMemoryShare*float64(l.MemoryBytes)), minTrafficMemoryBytes))
	if n := int64(bodyCopies * l.MaxBodyBytes); n > h.memory.LongRequests() {
		return errors.Newf("Limits.MemoryBytes: %d leave %d for requests; one with a body of Limits.MaxBodyBytes takes %d", l.MemoryBytes, h.memory.LongRequests(), n)
	}
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(l.MemoryBytes)))
	}
	h.guard = fpingress.NewGuard(fpingress.Settings{
		Budget: h.memory, MaxConnections: min(cmp.Or(l.MaxConnections, math.MaxInt), fpingress.MaxConnections(0)), StallTimeout: l.StallTimeout,
		Clock: fpclock.SinceBoot, OnRefuse: h.recordRefusedClient, RefusalHeader: http.Header{fpchat.OutcomeHeader: {fpoutcome.NotRun.String()}},
	})
	return nil
}

// buildComponents builds the clients, the claimant, the dispatcher and the callers' server.
func (h *Host) buildComponents() error {
	s := h.settings
	transport, scheme, err := peerTransport(s.Peers)
	if err != nil {
		return err
	}
	h.peers = fppeer.NewClient(transport, scheme, h.peerSecret)
	name := s.Host.Name + "-" + strconv.FormatUint(h.incarnation, 36)
	h.claimant = fpclaimant.New(name, h.store, fpclaimant.Settings{
		Shards: s.Claims.Shards,
		Shard:  fpclaim.Settings{Slots: s.Claims.Slots, Window: s.Claims.Window, Linger: s.Claims.Linger},
	})
	self := fpclaimant.Member{Name: s.Host.Name, Zone: s.Host.AvailabilityZone, Incarnation: h.incarnation, StartedAt: h.startedAt}
	h.Broker = fpclaimant.NewBroker(self, s.Claims.Window, h.claimant, h.attempts, h.peers, h.brokerMembers,
		func() { h.metrics.AddToCounter("claims_relayed", 1) })
	h.follower = fpfollower.New(h.store, h.handleConfigChange)
	h.dispatcher = fpdispatch.New(
		fpdispatch.Host{Name: s.Host.Name, Incarnation: h.incarnation},
		fpdispatch.Settings{Placement: placementSettings(s.Placement), DispatchTimeout: s.Claims.Dispatch, DedupWindow: s.Claims.Window},
		&h.snapshots, h.upstreams, h, h.attempts, h.records, h.metrics)
	h.callerServer = fpcaller.New(
		fpcaller.Settings{MaxBodyBytes: s.Limits.MaxBodyBytes, WriteTimeout: s.Limits.WriteTimeout},
		&h.snapshots, h.dispatcher, h, h.metrics, h.logger, h.newRequestID)
	return h.buildControlState()
}

// buildControlState builds the control state and adds the hosts of the settings to its members.
func (h *Host) buildControlState() error {
	s := h.settings
	roundTrips, err := parseRoundTrips(s.Zones.RoundTrips)
	if err != nil {
		return err
	}
	self := fpmember.Member{
		Name:        s.Host.Name,
		Zone:        s.Host.AvailabilityZone,
		Address:     s.Peers.Address,
		Incarnation: h.incarnation,
	}
	h.control = &controlState{
		zone:              self.Zone,
		roundTrips:        roundTrips,
		members:           fpmember.NewTable(self),
		upstreams:         make(map[string]*upstreamState),
		leavingReportedAt: make(map[string]time.Time),
		limitAllocators:   make(map[string]*fplimit.Allocator),
		snapshots:         &h.snapshots,
		recordRestart:     h.dispatcher.RecordReplicaRestart,
		recordReachable:   h.dispatcher.RecordReachable,
	}
	h.startDelay = time.Duration(rand.Float64() * float64(len(s.Peers.Contacts)) * float64(startDelayPerHost))
	for _, text := range s.Peers.Contacts {
		parts := strings.Split(text, "@")
		if len(parts) != 3 {
			return errors.Newf("Peers.Contacts: %q is not name@zone@address", text)
		}
		h.control.members.AddDiscovered(fpmember.Member{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return nil
}

func placementSettings(p fpsetting.Placement) fproute.Settings {
	return fproute.Settings{
		RecomputeWeight:   [fproute.Classes]float64{p.RecomputeInteractive, p.RecomputeStandard, p.RecomputeBulk},
		HomePrior:         p.HomePrior,
		TargetUtilization: p.TargetUtilization,
		SpillSeconds:      p.Spill.Seconds(),
		MaxPrefixes:       p.KnownPrefixes,
		WaitBounds: [fproute.Classes]float64{
			p.WaitInteractive.Seconds(), p.WaitStandard.Seconds(), p.WaitBulk.Seconds(),
		},
	}
}

func parseRoundTrips(list []string) (map[string]time.Duration, error) {
	out := make(map[string]time.Duration)
	for _, text := range list {
		zone, d, ok := strings.Cut(text, "@")
		trip, err := time.ParseDuration(d)
		if !ok || err != nil {
			return nil, errors.Newf("Zones.RoundTrips: %q is not zone@duration", text)
		}
		out[zone] = trip
	}
	return out, nil
}

// Run serves until the context ends or Drain is called, then stops gracefully: running requests are
// completed.
func (h *Host) Run(ctx context.Context) error {
	socket, err := fpgossip.Listen(h.settings.Peers.Address, h.peerSecret)
	if err != nil {
		return err
	}
	h.gossipSocket = socket
	var g run.Group
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, f := range []func(context.Context) error{
		func(ctx context.Context) error { return h.controlLoop.run(ctx, h.control) },
		h.claimant.Run,
		h.sendHeartbeats,
		h.pollLoadReports,
		h.pollHostList,
		h.reportDemands,
		h.sharePlacements,
		h.fetchInitialConfig,
		func(ctx context.Context) error { return h.follower.Follow(ctx, h.shouldWatchPlatform) },
		func(ctx context.Context) error {
			return h.gossipSocket.Receive(ctx, func(m fpgossip.Message) { h.handleMessage(ctx, m) })
		},
		h.runRollout,
	} {
		ctx, cancel := context.WithCancel(runCtx)
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	callers := h.newServer("callers", h.settings.Callers, h.callerHandler(), false)
	for _, l := range []*listenerServer{
		h.newServer("peers", h.settings.Peers.Listener(), fppeer.NewHandler(h, h.peerSecret), true),
		h.newServer("operators", h.settings.Operators.Listener(), h.operatorHandler(), true),
		callers,
	} {
		g.Add(l.serve, func(error) { l.stop() })
	}
	g.Add(func() error { return h.drainOnStop(ctx, runCtx, callers) }, func(error) {
		close(h.interrupted)
		_ = h.gossipSocket.Close()
	})
	// A planned stop waits for the clients, so that the guard outlasts the group.
	guarded := make(chan error, 1)
	go func() { guarded <- h.guard.Run(runCtx) }()
	err = g.Run()
	cancel()
	<-guarded
	h.store.Close()
	h.upstreams.Close()
	return err
}

func (h *Host) callerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h.callerServer.Handler())
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.metrics.WritePrometheus(w) })
	return m
}

func (h *Host) operatorHandler() http.Handler {
	return fpoperator.NewHandler(h, h.settings.Operators.OperatorKeys)
}

// drainOnStop waits until a planned stop is requested and carries it out. It gives the load
// balancer time to notice, then refuses new requests and waits for the running
// ones, while everything that they need is still running.
func (h *Host) drainOnStop(ctx, runCtx context.Context, callers *listenerServer) error {
	select {
	case <-ctx.Done():
	case <-h.drainRequested:
	}
	h.controlLoop.submitTask(runCtx, func(c *controlState) {
		c.draining = true
		c.updateSelf()
		h.sendHeartbeatNow(c)
	})
	_ = h.logger.Log("Message", "stopping", "Notice", h.settings.Stop.Notice.String(), "Running", h.dispatcher.RunningRequests())
	fpclock.Sleep(runCtx, h.settings.Stop.Notice)
	callers.stop()
	return nil
}

// recordRefusedClient records a client that was refused, or whose connection was closed, for a limit or for want of room.
func (h *Host) recordRefusedClient(r fpingress.Refusal) {
	h.metrics.AddToCounter("clients_refused_"+string(r.Reason), 1)
	if !r.Quiet {
		_ = h.logger.Log("Message", "client refused", "RequestID", r.Header.Get(fpchat.RequestHeader), "Client", r.Client, "Reason", string(r.Reason), "MemoryUsed", h.memory.Used(), "MemoryLimit", h.memory.Limit())
	}
}

// Drain begins a planned stop and returns at once.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// RunningSummary returns the number of running requests as a text for logs.
func (h *Host) RunningSummary() string {
	return fmt.Sprintf("%d requests under way", h.dispatcher.RunningRequests())
}

func (h *Host) newRequestID() string {
	return fmt.Sprintf("%s-%s-r%d", h.settings.Host.Name, strconv.FormatUint(h.incarnation, 36), h.lastRequestNumber.Add(1))
}

// brokerMembers returns the other hosts in the form that the claim broker uses.
func (h *Host) brokerMembers() []fpclaimant.Member {
	members := h.snapshots.Load().Members
	out := make([]fpclaimant.Member, 0, len(members))
	for _, m := range members {
		out = append(out, fpclaimant.Member{
			Name:        m.Name,
			Zone:        m.Zone,
			Address:     m.Address,
			Incarnation: m.Incarnation,
			Dead:        m.State == fpmember.Dead,
		})
	}
	return out
}

// handleConfigChange records a configuration version that has come into force and applies it.
func (h *Host) handleConfigChange(r fpconfig.Replica) {
	v := r.Current()
	h.records.Add(fprecord.Record{
		At:        time.Now(),
		Host:      h.settings.Host.Name,
		RequestID: "config-" + strconv.FormatUint(v.Version, 10),
		Kind:      fprecord.Configured,
		Reason:    "version " + strconv.FormatUint(v.Version, 10) + " is in force",
	})
	go h.controlLoop.submitTask(context.Background(), func(c *controlState) {
		if c.configLoaded && r.Current().Version < c.config.Current().Version {
			return
		}
		c.applyConfig(r)
		h.sendHeartbeatNow(c)
	})
}

// Replica returns the configuration in force.
func (h *Host) Replica() (fpconfig.Replica, bool) { return h.follower.Replica() }

// Records returns this host's decision records of a request.
func (h *Host) Records(id string) []fprecord.Record { return h.records.RecordsOf(id) }

// StatusJSON returns this host's status encoded as JSON.
func (h *Host) StatusJSON() []byte {
	data, err := json.Marshal(h.Status())
	if err != nil {
		panic(errors.Wrap(err, "fphost: encode status"))
	}
	return data
}
