package fpdispatch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// defaultRetryAfter is the retry delay suggested to the caller when no estimate is available.
	defaultRetryAfter = 2 * time.Second
)

var (
	// ErrCallerGone means that the caller no longer takes the answer.
	ErrCallerGone = errors.New("the caller no longer takes the answer")
	// ErrDeadlinePassed means that the claim's dispatch deadline has passed.
	ErrDeadlinePassed = errors.New("the deadline to dispatch has passed")
)

type (
	// ClaimBroker settles claims on non-idempotent requests and queries other hosts about their
	// attempts.
	ClaimBroker interface {
		Claim(ctx context.Context, c fpclaim.Claim) fpclaimant.ClaimResult
		Ask(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result)
		NeverClaimed(ctx context.Context, key fpclaim.Key) bool
	}

	// Host identifies this host and its incarnation.
	Host struct {
		Name        string
		Incarnation uint64
	}

	// Settings configures a dispatcher; zero fields take the defaults.
	Settings struct {
		Placement fproute.Settings
		// Dispatch bounds the time from requesting a claim to sending the first byte.
		Dispatch time.Duration
		// Window is the deduplication window: the time in which a repeated request is recognised.
		Window time.Duration
		// Clock is a monotonic clock that keeps counting while the host is suspended.
		Clock fpclock.Clock
	}

	// Dispatcher dispatches the requests that one host admits; it is safe for concurrent use.
	Dispatcher struct {
		host              Host
		settings          Settings
		state             *fpstate.Holder
		client            *fpupstream.Client
		broker            ClaimBroker
		answers           *fpclaimant.AttemptTable
		records           *fprecord.Ring
		metrics           *fpmetric.Set
		mu                sync.Mutex
		router            *fproute.Router
		lastAttempt       atomic.Uint64
		runningRequests   atomic.Int64
		pendingPlacements []fproute.Placement
		placementTimes    []time.Time
	}

	// Query is an admitted request, without its content.
	Query struct {
		Team       string
		Class      fproute.Class
		RequestID  string
		Idempotent bool
		Received   time.Time
		// Deadline is the scheduling priority at engines; the earlier deadline runs first.
		Deadline time.Time
		// Asked is the time on the dispatcher's clock at which the request had been read completely.
		Asked time.Duration
		// Body is a hash of the request body; it tells a repeat from a reused request ID.
		Body uint64
	}

	// Sink receives an answer's text in order.
	Sink interface {
		// Begin is called once, before the first text, when an upstream has accepted the request.
		Begin(upstream, reason string)
		// Text receives the next text; an error means that the caller is gone.
		Text(offset int, text string) error
	}

	// Final is what is known when a request ends.
	Final struct {
		Outcome  fpoutcome.Outcome
		Usage    fpchat.Usage
		Upstream string
	}
)

// New returns a dispatcher for one host.
func New(h Host, s Settings, state *fpstate.Holder, client *fpupstream.Client, broker ClaimBroker,
	answers *fpclaimant.AttemptTable, records *fprecord.Ring, metrics *fpmetric.Set,
) *Dispatcher {
	if s.Dispatch == 0 {
		s.Dispatch = fpclaim.DefaultDispatchTimeout
	}
	if s.Window == 0 {
		s.Window = fpclaim.DefaultWindow
	}
	if s.Clock == nil {
		s.Clock = fpclock.Boot
	}
	return &Dispatcher{
		host:     h,
		settings: s,
		state:    state,
		client:   client,
		broker:   broker,
		answers:  answers,
		records:  records,
		metrics:  metrics,
		router:   fproute.NewRouter(s.Placement),
	}
}

// Clock returns the time on the dispatcher's clock, which keeps counting during suspension.
func (d *Dispatcher) Clock() time.Duration { return d.settings.Clock() }

// Running returns the number of requests in progress.
func (d *Dispatcher) Running() int64 { return d.runningRequests.Load() }

// Restarted tells placement that a replica restarted with an empty cache.
func (d *Dispatcher) Restarted(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordRestart(replica)
}

// Heard adds a placement made by another host of the zone.
func (d *Dispatcher) Heard(p fproute.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordPeerPlacement(p, time.Now())
}

// Placed returns the placements that this host made since the last call, to be sent to the other
// hosts of its zone.
func (d *Dispatcher) Placed() []fproute.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	placements := d.pendingPlacements
	for i := range placements {
		placements[i].Age = time.Since(d.placementTimes[i])
	}
	d.pendingPlacements = nil
	d.placementTimes = nil
	return placements
}

// newAttemptID returns an attempt ID that is unique in the fleet.
func (d *Dispatcher) newAttemptID() string {
	return d.host.Name + "-" + strconv.FormatUint(d.host.Incarnation, 36) + "-" + strconv.FormatUint(d.lastAttempt.Add(1), 36)
}

func (d *Dispatcher) addRecord(q Query, kind fprecord.Kind, upstream, reason string, figures ...fprecord.Figure) {
	d.records.Add(fprecord.Record{
		At:        time.Now(),
		Host:      d.host.Name,
		RequestID: q.RequestID,
		Kind:      kind,
		Upstream:  upstream,
		Reason:    reason,
		Figures:   figures,
	})
}

// recordOutcome adds a request's outcome to the records and the metrics.
func (d *Dispatcher) recordOutcome(q Query, f Final) Final {
	duration := fprecord.Figure{Name: "seconds", Value: time.Since(q.Received).Seconds()}
	reason := f.Outcome.Kind().String()
	if r := f.Outcome.Reason(); r != "" {
		reason += ": " + r
	}
	d.addRecord(q, fprecord.Ended, f.Upstream, reason, duration)
	d.metrics.Series(q.Team, q.Class.String()).Ended(f.Outcome.Kind().String(), "")
	return f
}

func (d *Dispatcher) takeRetryToken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.RetryBudget().TakeRetry()
}
