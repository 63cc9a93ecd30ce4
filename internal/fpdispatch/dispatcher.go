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
	// retryHint is the time to come back after a refusal without a better figure.
	retryHint = 2 * time.Second
)

var (
	// ErrCaller means that the caller no longer takes the answer.
	ErrCaller = errors.New("the caller no longer takes the answer")
	// ErrTooLate means that the claim's deadline to dispatch has passed.
	ErrTooLate = errors.New("the deadline to dispatch has passed")
)

type (
	// Claims settles claims and tells what became of other hosts' attempts.
	Claims interface {
		Claim(ctx context.Context, c fpclaim.Claim) fpclaimant.ClaimResult
		Ask(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result)
		NeverClaimed(ctx context.Context, key fpclaim.Key) bool
	}

	// Host names this host and its incarnation.
	Host struct {
		Name        string
		Incarnation uint64
	}

	// Settings tunes dispatch; the zero value takes the defaults.
	Settings struct {
		Placement fproute.Settings
		// Dispatch is the time from asking for a claim to the latest first byte.
		Dispatch time.Duration
		// Window is the time in which a repeat is recognised.
		Window time.Duration
		// Clock counts suspension.
		Clock fpclock.Clock
	}

	// Dispatcher dispatches one host's requests; it is safe for concurrent use.
	Dispatcher struct {
		host     Host
		settings Settings
		state    *fpstate.Holder
		client   *fpupstream.Client
		claims   Claims
		answers  *fpclaimant.AttemptTable
		records  *fprecord.Ring
		metrics  *fpmetric.Set
		mu       sync.Mutex
		router   *fproute.Router
		serial   atomic.Uint64
		running  atomic.Int64
		placed   []fproute.Placement
		placedAt []time.Time
	}

	// Query is a request as the callers' side admitted it.
	Query struct {
		Team       string
		Class      fproute.Class
		RequestID  string
		Idempotent bool
		Received   time.Time
		// Deadline orders work at engines; the earlier goes first.
		Deadline time.Time
		// Asked is when the request was whole, on the dispatcher's clock.
		Asked time.Duration
		// Body is the hash by which a reused request ID is told from a repeat.
		Body uint64
	}

	// Sink takes an answer's text in order.
	Sink interface {
		// Begin is called once, when an upstream has taken the request.
		Begin(upstream, reason string)
		// Text takes the next text; an error means that the caller is gone.
		Text(offset int, text string) error
	}

	// Final is what is known at a request's end.
	Final struct {
		Outcome  fpoutcome.Outcome
		Usage    fpchat.Usage
		Upstream string
	}
)

// New returns a dispatcher.
func New(h Host, s Settings, state *fpstate.Holder, client *fpupstream.Client, claims Claims,
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
		claims:   claims,
		answers:  answers,
		records:  records,
		metrics:  metrics,
		router:   fproute.NewRouter(s.Placement),
	}
}

// Clock returns the time on the dispatcher's clock, which counts suspension.
func (d *Dispatcher) Clock() time.Duration { return d.settings.Clock() }

// Running returns the number of requests under way.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// Restarted tells placement that a replica came back empty.
func (d *Dispatcher) Restarted(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordRestart(replica)
}

// Heard takes in what another host of the zone placed.
func (d *Dispatcher) Heard(p fproute.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordPeerPlacement(p, time.Now())
}

// Placed returns what this host placed since the last call, for the other
// hosts of its zone.
func (d *Dispatcher) Placed() []fproute.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.placed
	for i := range out {
		out[i].Age = time.Since(d.placedAt[i])
	}
	d.placed = nil
	d.placedAt = nil
	return out
}

// attemptID returns a new ID that no other attempt in the fleet has.
func (d *Dispatcher) attemptID() string {
	return d.host.Name + "-" + strconv.FormatUint(d.host.Incarnation, 36) + "-" + strconv.FormatUint(d.serial.Add(1), 36)
}

func (d *Dispatcher) record(q Query, kind fprecord.Kind, upstream, reason string, figures ...fprecord.Figure) {
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

// ended records and counts a request's outcome.
func (d *Dispatcher) ended(q Query, f Final) Final {
	took := fprecord.Figure{Name: "seconds", Value: time.Since(q.Received).Seconds()}
	reason := f.Outcome.Kind().String()
	if r := f.Outcome.Reason(); r != "" {
		reason += ": " + r
	}
	d.record(q, fprecord.Ended, f.Upstream, reason, took)
	d.metrics.Series(q.Team, q.Class.String()).Ended(f.Outcome.Kind().String(), "")
	return f
}

func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.RetryBudget().TakeRetry()
}
