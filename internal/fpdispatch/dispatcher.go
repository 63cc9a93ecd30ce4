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
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
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
		FetchAttemptResult(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result)
		ProvenNeverDispatched(ctx context.Context, key fpclaim.Key) bool
	}

	// Host identifies this host and its incarnation.
	Host struct {
		Name        string
		Incarnation uint64
	}

	// Settings configures a dispatcher; zero fields take the defaults.
	Settings struct {
		Placement fproute.Settings
		// DispatchTimeout bounds the time from requesting a claim to sending the first byte.
		DispatchTimeout time.Duration
		// DedupWindow is the deduplication window: the time in which a repeated request is recognised.
		DedupWindow time.Duration
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
		quarantine        *fpquarantine.Tracker
		trials            fpquarantine.Trials
		startedAt         time.Time
		intakes           fplimit.Intakes[upstreamStart]
	}

	// AdmittedRequest is an admitted request, without its content.
	AdmittedRequest struct {
		Team       string
		Class      fproute.Class
		RequestID  string
		Idempotent bool
		ReceivedAt time.Time
		// Deadline is the scheduling priority at engines; the earlier deadline runs first.
		Deadline time.Time
		// BodyReadAt is when the request had been read completely, on the dispatcher's clock.
		BodyReadAt time.Duration
		// BodyHash is a hash of the request body; it tells a repeat from a reused request ID.
		BodyHash uint64
		// AnswerMemory is what an answer that is not streamed takes; nil has no limit.
		AnswerMemory *fpbudget.Reservation
	}

	// Sink receives an answer's text in order.
	Sink interface {
		// BeginAnswer is called once, before the first text, when an upstream has accepted the request.
		BeginAnswer(upstream, reason string)
		// WriteText receives the next text; an error means that the caller is gone.
		WriteText(offset int, text string) error
	}

	// RequestResult is what is known when a request ends.
	RequestResult struct {
		Outcome  fpoutcome.Outcome
		Usage    fpchat.Usage
		Upstream string
	}
)

// New returns a dispatcher for one host.
func New(h Host, s Settings, state *fpstate.Holder, client *fpupstream.Client, broker ClaimBroker,
	answers *fpclaimant.AttemptTable, records *fprecord.Ring, metrics *fpmetric.Set,
) *Dispatcher {
	if s.DispatchTimeout == 0 {
		s.DispatchTimeout = fpclaim.DefaultDispatchTimeout
	}
	if s.DedupWindow == 0 {
		s.DedupWindow = fpclaim.DefaultWindow
	}
	if s.Clock == nil {
		s.Clock = fpclock.SinceBoot
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

		quarantine: fpquarantine.New(),
		startedAt:  time.Now(),
	}
}

// Now returns the time on the dispatcher's clock, which keeps counting during suspension.
func (d *Dispatcher) Now() time.Duration { return d.settings.Clock() }

// RunningRequests returns the number of requests in progress.
func (d *Dispatcher) RunningRequests() int64 { return d.runningRequests.Load() }

// RecordReplicaRestart tells placement that a replica restarted with an empty cache.
func (d *Dispatcher) RecordReplicaRestart(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordRestart(replica)
}

// AddPeerPlacement adds a placement made by another host of the zone.
func (d *Dispatcher) AddPeerPlacement(p fproute.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordPeerPlacement(p, time.Now())
}

// TakePendingPlacements returns the placements that this host made since the last call, to be sent
// to the other hosts of its zone.
func (d *Dispatcher) TakePendingPlacements() []fproute.Placement {
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

func (d *Dispatcher) addRecord(q AdmittedRequest, kind fprecord.Kind, upstream, reason string, figures ...fprecord.Figure) {
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
func (d *Dispatcher) recordOutcome(q AdmittedRequest, result RequestResult) RequestResult {
	duration := fprecord.Figure{Name: "seconds", Value: time.Since(q.ReceivedAt).Seconds()}
	reason := result.Outcome.Kind().String()
	if r := result.Outcome.Reason(); r != "" {
		reason += ": " + r
	}
	d.addRecord(q, fprecord.Ended, result.Upstream, reason, duration)
	d.metrics.Series(q.Team, q.Class.String()).CountOutcome(result.Outcome.Kind().String(), "")
	return result
}

func (d *Dispatcher) takeRetryToken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.RetryBudget().TakeRetry()
}
