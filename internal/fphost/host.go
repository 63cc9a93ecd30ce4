package fphost

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/fescuepoint/fescuepoint/internal/fpcaller"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/internal/fpfollower"
	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/internal/fppeer"
	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// Host is one entry host.
	Host struct {
		settings    fpsetting.Settings
		logger      log.Logger
		incarnation uint64
		state       fpstate.Holder
		loop        *loop
		control     *control
		store       *fpplatform.Client
		upstreams   *fpupstream.Client
		peers       *fppeer.Client
		claimant    *fpclaimant.Claimant
		answers     *fpclaimant.AttemptTable
		*fpclaimant.Broker
		follower   *fpfollower.Follower
		socket     *fpgossip.Socket
		records    *fprecord.Ring
		metrics    *fpmetric.Set
		dispatcher *fpdispatch.Dispatcher
		callers    *fpcaller.Server
		secret     []byte
		serial     atomic.Uint64
		pulling    atomic.Bool
		jitter     time.Duration
		mu         sync.Mutex
		shares     map[string]fplimit.Rates
		fleet      int
		drain      chan struct{}
		drainOnce  sync.Once
		stopped    chan struct{}
	}
)

// New returns a host that is not running yet; faults in its settings' files are errors.
func New(s fpsetting.Settings, l log.Logger) (*Host, error) {
	secret, err := os.ReadFile(s.Peers.SecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "peers' secret")
	}
	h := &Host{
		settings:    s,
		logger:      log.With(l, "Host", s.Host.Name),
		incarnation: uint64(time.Now().UnixNano()),
		loop:        newLoop(),
		store:       fpplatform.NewClient(s.Platform.Address),
		upstreams:   fpupstream.NewClient(fpupstream.Settings{SilenceTimeout: s.Placement.Silence}),
		answers:     fpclaimant.NewAttemptTable(s.Limits.KeptAnswers),
		records:     fprecord.NewRing(s.Limits.Records),
		metrics:     fpmetric.New(),
		secret:      []byte(strings.TrimSpace(string(secret))),
		shares:      make(map[string]fplimit.Rates),
		fleet:       1,
		drain:       make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	if err := h.assemble(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Host) assemble() error {
	s := h.settings
	transport, scheme, err := peerTransport(s.Peers)
	if err != nil {
		return err
	}
	h.peers = fppeer.NewClient(transport, scheme, h.secret)
	name := s.Host.Name + "-" + strconv.FormatUint(h.incarnation, 36)
	h.claimant = fpclaimant.New(name, h.store, fpclaimant.Settings{
		Shards: s.Claims.Shards,
		Shard:  fpclaim.Settings{Slots: s.Claims.Slots, Window: s.Claims.Window, Linger: s.Claims.Linger},
	})
	self := fpclaimant.Member{Name: s.Host.Name, Zone: s.Host.AvailabilityZone, Incarnation: h.incarnation}
	h.Broker = fpclaimant.NewBroker(self, s.Claims.Window, h.claimant, h.answers, h.peers, h.brokerMembers,
		func() { h.metrics.AddToCounter("claims_relayed", 1) })
	h.follower = fpfollower.New(h.store, h.configured)
	h.dispatcher = fpdispatch.New(
		fpdispatch.Host{Name: s.Host.Name, Incarnation: h.incarnation},
		fpdispatch.Settings{Placement: placement(s.Placement), DispatchTimeout: s.Claims.Dispatch, DedupWindow: s.Claims.Window},
		&h.state, h.upstreams, h, h.answers, h.records, h.metrics)
	h.callers = fpcaller.New(
		fpcaller.Settings{MaxBodyBytes: s.Limits.MaxBodyBytes, WriteTimeout: s.Limits.WriteTimeout},
		&h.state, h.dispatcher, h, h.metrics, h.logger, h.newRequestID)
	return h.assembleControl()
}

func (h *Host) assembleControl() error {
	s := h.settings
	trips, err := roundTrips(s.Zones.RoundTrips)
	if err != nil {
		return err
	}
	self := fpmember.Member{
		Name:        s.Host.Name,
		Zone:        s.Host.AvailabilityZone,
		Address:     s.Peers.Address,
		Incarnation: h.incarnation,
	}
	h.control = &control{
		zone:       self.Zone,
		roundTrips: trips,
		table:      fpmember.NewTable(self),
		upstreams:  make(map[string]*upstream),
		told:       make(map[string]time.Time),
		owned:      make(map[string]*fplimit.Allocator),
		state:      &h.state,
		restarted:  h.dispatcher.RecordReplicaRestart,
	}
	h.jitter = time.Duration(rand.Float64() * float64(len(s.Peers.Contacts)) * float64(startSpread))
	for _, text := range s.Peers.Contacts {
		parts := strings.Split(text, "@")
		if len(parts) != 3 {
			return errors.Newf("Peers.Contacts: %q is not name@zone@address", text)
		}
		h.control.table.AddDiscovered(fpmember.Member{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return nil
}

func placement(p fpsetting.Placement) fproute.Settings {
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

func roundTrips(list []string) (map[string]time.Duration, error) {
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

// Run serves until the context ends, then stops gracefully: nothing under way is cut.
func (h *Host) Run(ctx context.Context) error {
	socket, err := fpgossip.Open(h.settings.Peers.Address, h.secret)
	if err != nil {
		return err
	}
	h.socket = socket
	var g run.Group
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, f := range []func(context.Context) error{
		func(ctx context.Context) error { return h.loop.run(ctx, h.control) },
		h.claimant.Run,
		h.beat,
		h.poll,
		h.pollHostList,
		h.shareLimits,
		h.sharePlacements,
		h.join,
		func(ctx context.Context) error { return h.follower.Follow(ctx, h.follows) },
		func(ctx context.Context) error {
			return h.socket.Receive(ctx, func(m fpgossip.Message) { h.heard(ctx, m) })
		},
		h.rollOut,
	} {
		ctx, cancel := context.WithCancel(inner)
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	callers := h.newServer("callers", h.settings.Callers, h.callerHandler())
	for _, l := range []*listenerServer{
		h.newServer("peers", h.settings.Peers.Listener(), fppeer.NewHandler(h, h.secret)),
		h.newServer("operators", h.settings.Operators.Listener(), h.operators()),
		callers,
	} {
		g.Add(l.serve, func(error) { l.stop() })
	}
	g.Add(func() error { return h.waitForStop(ctx, inner, callers) }, func(error) {
		close(h.stopped)
		_ = h.socket.Close()
	})
	err = g.Run()
	h.store.Close()
	h.upstreams.Close()
	return err
}

func (h *Host) callerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h.callers.Handler())
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.metrics.WritePrometheus(w) })
	return m
}

func (h *Host) operators() http.Handler {
	return fpoperator.NewHandler(h, h.settings.Operators.OperatorKeys)
}

// waitForStop waits for a planned stop and sees it through: the balancer is
// given time to notice, then no new requests are taken and those under way end
// whole, with everything that they need still running.
func (h *Host) waitForStop(ctx, inner context.Context, callers *listenerServer) error {
	select {
	case <-ctx.Done():
	case <-h.drain:
	}
	h.loop.post(inner, func(c *control) {
		c.draining = true
		c.tellSelf()
		h.announce(c)
	})
	_ = h.logger.Log("Message", "stopping", "Notice", h.settings.Stop.Notice.String(), "Running", h.dispatcher.RunningRequests())
	fpclock.Sleep(inner, h.settings.Stop.Notice)
	callers.stop()
	return nil
}

// Drain begins a planned stop.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.drain) }) }

// Running says what is still under way.
func (h *Host) Running() string {
	return fmt.Sprintf("%d requests under way", h.dispatcher.RunningRequests())
}

func (h *Host) newRequestID() string {
	return fmt.Sprintf("%s-%s-r%d", h.settings.Host.Name, strconv.FormatUint(h.incarnation, 36), h.serial.Add(1))
}

// brokerMembers lists the other hosts as claims need to know them.
func (h *Host) brokerMembers() []fpclaimant.Member {
	members := h.state.Load().Members
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

// configured is called with each version that comes into force.
func (h *Host) configured(r fpconfig.Replica) {
	v := r.Current()
	h.records.Add(fprecord.Record{
		At:        time.Now(),
		Host:      h.settings.Host.Name,
		RequestID: "config-" + strconv.FormatUint(v.Version, 10),
		Kind:      fprecord.Configured,
		Reason:    "version " + strconv.FormatUint(v.Version, 10) + " is in force",
	})
	go h.loop.post(context.Background(), func(c *control) {
		if c.loaded && r.Current().Version < c.replica.Current().Version {
			return
		}
		c.configured(r)
		h.announce(c)
	})
}

// Replica returns the configuration in force.
func (h *Host) Replica() (fpconfig.Replica, bool) { return h.follower.Replica() }

// Records returns this host's records of a request.
func (h *Host) Records(id string) []fprecord.Record { return h.records.RecordsOf(id) }

// StatusJSON returns this host's status.
func (h *Host) StatusJSON() []byte {
	data, err := json.Marshal(h.Status())
	if err != nil {
		panic(errors.Wrap(err, "fphost: status cannot be encoded"))
	}
	return data
}
