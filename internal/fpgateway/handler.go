package fpgateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// defaultMaxBodyBytes bounds a body when the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultRequestTimeout bounds a request whose route sets no timeout.
	defaultRequestTimeout = 30 * time.Second
	// minRetryAfter is the shortest Retry-After that a refused caller is given.
	minRetryAfter = 50 * time.Millisecond
	// fingerprintBytes is the length of a request's fingerprint.
	fingerprintBytes = 12
	// staleConfigRetryAfter is the Retry-After while this host's configuration is missing,
	// incomplete or too old.
	staleConfigRetryAfter = 300 * time.Millisecond
)

type (
	// request is one caller's request while it is handled.
	request struct {
		gateway  *Gateway
		writer   http.ResponseWriter
		http     *http.Request
		snapshot *snapshot
		route    *fpcatalog.Route
		team     *fpcatalog.Team
		service  *fpcatalog.Service
		caller   CallerHeader
		// sharedParts are the IDs of the prompt's parts that other prompts may share.
		sharedParts []string
		body        []byte
		// fingerprint identifies the request by what a caller repeats of it.
		fingerprint string
		// quarantineIDs are what may be in quarantine: the request as a whole and sharedParts.
		quarantineIDs []string
		// suspects are those of quarantineIDs that are suspected as the request is sent.
		suspects  []string
		arrivedAt time.Duration
		// deadline is when the caller's deadline or the route's timeout ends, whichever is
		// earlier.
		deadline time.Duration
		ledger   *fpoutcome.Ledger
		// trail describes each attempt, for the log.
		trail []string
		// runs counts the attempts that may have run, sends those that left this host, and
		// paidSends those after which the retry budget granted another.
		runs          int
		sends         int
		paidSends     int
		triedReplicas []string
		choice        fpbalance.Choice
		// sentAt is when the last attempt was sent.
		sentAt time.Duration
		stream streamState
		// build is the software version at which the stream goes on, once buildKnown, and inference what it
		// was inferred from, if it was.
		build      string
		buildKnown bool
		inference  fporigin.Inference
		// forwardedBy is the host that forwarded the request, "" for a caller's own.
		forwardedBy string
		// unreached says that no connection to a replica could be opened.
		unreached bool
		// fallback is a replica's own error answer, used if no other answer follows.
		fallback *bufferedAnswer
		// broken says that a replica broke off an attempt.
		broken bool
		// memory is what the answers that are held for the request take.
		memory *fpbudget.Reservation
		status int
		reason string
		// firstByteDelay is the time from the request's arrival to the answer's first byte.
		firstByteDelay time.Duration
	}

	// rejection is an error answer that this host gives itself.
	rejection struct {
		status     int
		reason     string
		retryAfter time.Duration
	}
)

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, "") }

// serve handles a caller's request that reached this host, or the host that forwards it.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwardedBy string) {
	g.runningRequests.Add(1)
	defer g.runningRequests.Add(-1)
	q := &request{
		gateway: g, writer: w, http: r, snapshot: g.snapshot.Load(), arrivedAt: g.clock(), memory: g.answerMemory(r), forwardedBy: forwardedBy,
	}
	defer q.memory.Release()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer q.recordOutcome()
	if d := q.admit(); d != nil {
		q.reject(d)
		return
	}
	if d := q.readBody(); d != nil {
		q.reject(d)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline-g.clock())
	defer cancel()
	ctx, release := g.withStop(ctx)
	defer release()
	if forwardedBy == "" {
		g.countRequest(q.service.Name)
	}
	q.dispatch(ctx)
}

// answerMemory returns the memory that the answer to a request takes.
func (g *Gateway) answerMemory(r *http.Request) *fpbudget.Reservation {
	if m := fpingress.AnswerMemory(r); m != nil {
		return m
	}
	return g.memory.Reserve(fpbudget.Answer)
}

// admit checks a request against the configuration in force.
func (q *request) admit() *rejection {
	g := q.gateway
	caller, err := g.dialect.DecodeCaller(q.http.Header)
	q.caller, q.sharedParts = caller, sharedPartIDs(caller.PromptParts)
	if err != nil {
		return &rejection{status: http.StatusBadRequest, reason: err.Error()}
	}
	c := q.snapshot.catalog
	if c == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: staleConfigRetryAfter}
	}
	proof := q.snapshot.proof
	configFresh := proof.AllowsDenial(g.settings().Freshness, g.clock())
	q.route = c.Route(q.http.Host, q.http.URL.EscapedPath())
	if q.route == nil {
		return q.rejectUnknown(http.StatusNotFound, "no such route", configFresh)
	}
	if d := q.checkKey(configFresh); d != nil {
		return d
	}
	name := q.route.PickService(q.streamID())
	if q.service = c.Service(name); q.service == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "the route's service is not configured", retryAfter: staleConfigRetryAfter}
	}
	q.ledger = fpoutcome.NewLedger(q.route.Repeatable())
	timeout := orDefault(q.route.Timeout, defaultRequestTimeout)
	if q.caller.Deadline > 0 {
		timeout = min(timeout, q.caller.Deadline)
	}
	q.deadline = q.arrivedAt + timeout
	return nil
}

// checkKey checks the request's key against the configuration in the snapshot and sets the team.
func (q *request) checkKey(configFresh bool) *rejection {
	c, g := q.snapshot.catalog, q.gateway
	if !c.RequiresKey() || q.route.Public {
		return nil
	}
	if !q.snapshot.proof.AllowsKeys(g.settings().Freshness, g.clock()) {
		return &rejection{status: http.StatusServiceUnavailable, reason: "keys can't be checked: the store is out of reach", retryAfter: staleConfigRetryAfter}
	}
	team := c.Team(q.caller.Key)
	if team == nil {
		return q.rejectUnknown(http.StatusUnauthorized, "unknown key", configFresh)
	}
	q.team = team
	return nil
}

// checkKeyAgain checks the key just before the request is sent to a replica: the key may have been
// revoked since the request arrived, while its body was read, another replica was tried, or this
// process was paused.
func (q *request) checkKeyAgain() *rejection {
	return q.checkKey(q.snapshot.proof.AllowsDenial(q.gateway.settings().Freshness, q.gateway.clock()))
}

// rejectUnknown rejects with the given status what a fresh configuration does not contain, and
// with 503 what a newer configuration might contain.
func (q *request) rejectUnknown(status int, reason string, configFresh bool) *rejection {
	if configFresh {
		return &rejection{status: status, reason: reason}
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: reason + " in an old configuration", retryAfter: staleConfigRetryAfter}
}

// readBody reads the whole body, so that it can be sent more than once.
func (q *request) readBody() *rejection {
	deadline := time.Now().Add(q.deadline - q.gateway.clock())
	controller := http.NewResponseController(q.writer)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return &rejection{status: http.StatusInternalServerError, reason: err.Error()}
	}
	body, err := fpingress.ReadBody(q.writer, q.http, q.gateway.maxBodyBytes())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, fpingress.ErrNoMemory):
		return &rejection{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: fpingress.RetryAfter}
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case err != nil:
		q.reason = "the body was not read: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return &rejection{status: http.StatusInternalServerError, reason: err.Error()}
	}
	q.body = body
	q.fingerprint = q.computeFingerprint()
	q.quarantineIDs = append([]string{requestIDPrefix + q.fingerprint}, q.sharedParts...)
	return nil
}

// computeFingerprint returns a hash of the request's target, team and body, which are the same at each
// attempt of a caller and through each host.
func (q *request) computeFingerprint() string {
	team := ""
	if q.team != nil {
		team = q.team.Name
	}
	h := sha256.New()
	for _, s := range []string{q.http.Method, q.http.Host, q.http.RequestURI, team} {
		// A hash never returns an error.
		_, _ = io.WriteString(h, s+"\x00")
	}
	_, _ = h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// reject answers a request with an error of this host's own.
func (q *request) reject(d *rejection) {
	q.status, q.reason = d.status, d.reason
	if d.retryAfter > 0 {
		setRetryAfter(q.writer.Header(), d.retryAfter)
	}
	q.writer.WriteHeader(d.status)
}

// failRequest ends a request that got no complete answer. The status is 503 only if the request
// has not run.
func (q *request) failRequest(reason string, retryAfter time.Duration) {
	if q.fallback != nil && !q.stream.headerSent {
		q.reason = reason
		q.writeAnswer(q.fallback)
		return
	}
	status := http.StatusServiceUnavailable
	if q.ledger.Dispatched() {
		status = http.StatusBadGateway
		if q.gateway.clock() >= q.deadline {
			status = http.StatusGatewayTimeout
		}
		retryAfter = 0
	}
	if q.stream.headerSent {
		q.status, q.reason = http.StatusBadGateway, reason+", midway"
		panic(http.ErrAbortHandler)
	}
	q.reject(&rejection{status: status, reason: reason, retryAfter: retryAfter})
}

func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(max(d, minRetryAfter).Seconds(), 'f', 3, 64))
}

// formatTimeToBegin returns how long the request could still have begun on the weights of its last replica
// when it was sent there, "" without a bound.
func (q *request) formatTimeToBegin(now time.Duration) string {
	if q.sentAt == 0 || q.choice.Replica.Version >= q.snapshot.published.newest(q.caller.Model).version {
		return ""
	}
	return (q.timeToBegin(q.choice.Replica.Version) + now - q.sentAt).Round(time.Millisecond).String()
}

// roundSeconds rounds seconds to microseconds.
func roundSeconds(s float64) float64 { return math.Round(s*1e6) / 1e6 }

// recordOutcome logs the request and updates its metrics.
func (q *request) recordOutcome() {
	g := q.gateway
	now := g.clock()
	latency := now - q.arrivedAt
	team, route, version := "", "", uint64(0)
	if q.team != nil {
		team = q.team.Name
	}
	if q.route != nil {
		route = q.route.Name
	}
	if q.snapshot.catalog != nil {
		version = q.snapshot.catalog.Version()
	}
	remaining := time.Duration(0)
	if q.deadline > 0 {
		remaining = q.deadline - now
	}
	outcome := "answered"
	switch {
	case q.http.Context().Err() != nil:
		outcome = "caller left"
	case q.reason != "" && q.status == http.StatusServiceUnavailable:
		outcome = "refused"
	case q.reason != "":
		outcome = "failed"
	}
	if route != "" {
		g.metrics.RecordLatency(team, route, latency)
		g.metrics.Series(team, route).CountOutcome(outcome, strconv.Itoa(q.status))
	}
	fields := []any{
		"RequestID", q.caller.ID, "Route", route, "Team", team, "Status", q.status,
		"Reason", q.reason, "Took", latency.String(), "First", q.firstByteDelay.String(), "Left", remaining.String(),
		"ConfigVersion", version, "ProofAge", g.formatProofAge(now), "Replica", q.choice.Replica.ID,
		"WeightsVersion", q.choice.Replica.Version, "MayBeginIn", q.formatTimeToBegin(now), "Predicted", q.choice.PredictedWait.String(),
		"Rank", q.choice.Rank, "Source", q.choice.SourceAddress, "Hit", q.choice.HitTokens, "Copied", q.choice.CopiedTokens, "Miss", q.choice.MissTokens,
		"TokensPerSecond", int(q.choice.TokensPerSecond), "DrainTokensPerSecond", int(q.choice.DrainTokensPerSecond), "FixedSeconds", roundSeconds(q.choice.FixedSeconds), "RoundTripSeconds", roundSeconds(q.choice.RoundTripSeconds), "Trail", fmt.Sprint(q.trail),
	}
	if q.buildKnown || q.isTakeUp() {
		fields = append(fields, "Build", q.choice.Replica.Build, "BuildInferred", q.inference != fporigin.Inference{}, "Resumes", q.caller.Resumes)
	}
	if q.forwardedBy != "" {
		fields = append(fields, "ForwardedBy", q.forwardedBy)
	}
	if q.broken {
		fields = append(fields, "Parts", fmt.Sprint(q.sharedParts), "Fingerprint", q.fingerprint)
	}
	g.log("request "+outcome, fields...)
}
