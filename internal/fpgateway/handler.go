package fpgateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// defaultBodyBytes bounds a body while the configuration names no limit.
	defaultBodyBytes = 4 << 20
	// defaultTimeout bounds a request whose route names no time.
	defaultTimeout = 30 * time.Second
	// minRetryAfter is the least pause that a refused caller is asked for.
	minRetryAfter = 50 * time.Millisecond
	// startRetryAfter is the pause asked for while this host knows no configuration.
	startRetryAfter = 300 * time.Millisecond
)

type (
	// request is one caller's request on its way.
	request struct {
		gateway *Gateway
		writer  http.ResponseWriter
		http    *http.Request
		state   *snapshot
		route   *fpcatalog.Route
		team    *fpcatalog.Team
		service *fpcatalog.Service
		caller  Caller
		body    []byte
		arrived time.Duration
		// ends is when the caller or the route stops waiting.
		ends   time.Duration
		ledger *fpoutcome.Ledger
		// trail tells of each attempt, for the log.
		trail []string
		// runs counts the attempts that may have run, sends all that left this host,
		// paid those for which the retry budget granted another.
		runs     int
		sends    int
		paid     int
		excluded []string
		choice   fpbalance.Choice
		stream   streamState
		// spare is a failure that a replica answered, for when no other answer comes.
		spare  *spareAnswer
		status int
		reason string
		first  time.Duration
	}

	// denial is an answer of this host's own that is not about load.
	denial struct {
		status int
		reason string
		after  time.Duration
	}
)

// ServeHTTP takes a caller's request to its end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	q := &request{gateway: g, writer: w, http: r, state: g.state.Load(), arrived: g.clock()}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer q.record()
	if d := q.admit(); d != nil {
		q.deny(d)
		return
	}
	if d := q.readBody(); d != nil {
		q.deny(d)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.ends-g.clock())
	defer cancel()
	g.count(q.service.Name)
	q.dispatch(ctx)
}

// admit checks a request against the configuration in force.
func (q *request) admit() *denial {
	g := q.gateway
	caller, err := g.dialect.Caller(q.http.Header)
	q.caller = caller
	if err != nil {
		return &denial{status: http.StatusBadRequest, reason: err.Error()}
	}
	c := q.state.catalog
	if c == nil {
		return &denial{status: http.StatusServiceUnavailable, reason: "no configuration yet", after: startRetryAfter}
	}
	if n := c.Limits().MaxHeaderBytes; n > 0 && headerBytes(q.http) > n {
		return &denial{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too long"}
	}
	proof := q.state.proof
	sure := proof.AllowsDenial(g.settings().Fresh, g.clock())
	q.route = c.Route(q.http.Host, q.http.URL.EscapedPath())
	if q.route == nil {
		return q.unknown(http.StatusNotFound, "no such route", sure)
	}
	if c.RequiresKey() && !q.route.Public {
		if !proof.AllowsKeys(g.settings().Fresh, g.clock()) {
			return &denial{status: http.StatusServiceUnavailable, reason: "keys can't be checked: the store is out of reach", after: startRetryAfter}
		}
		if q.team = c.Team(q.caller.Key); q.team == nil {
			return q.unknown(http.StatusUnauthorized, "unknown key", sure)
		}
	}
	name := q.route.PickService(q.caller.ID)
	if q.service = c.Service(name); q.service == nil {
		return &denial{status: http.StatusServiceUnavailable, reason: "the route's service is not configured", after: startRetryAfter}
	}
	q.ledger = fpoutcome.NewLedger(q.route.Repeatable())
	timeout := orDefault(q.route.Timeout, defaultTimeout)
	if q.caller.Deadline > 0 {
		timeout = min(timeout, q.caller.Deadline)
	}
	q.ends = q.arrived + timeout
	return nil
}

// unknown denies for good what a recent configuration does not know, and
// refuses for now what a newer one might.
func (q *request) unknown(status int, reason string, sure bool) *denial {
	if sure {
		return &denial{status: status, reason: reason}
	}
	return &denial{status: http.StatusServiceUnavailable, reason: reason + " in an old configuration", after: startRetryAfter}
}

// readBody reads the whole body, so that it can be sent again.
func (q *request) readBody() *denial {
	limit := int64(defaultBodyBytes)
	if n := q.state.catalog.Limits().MaxBodyBytes; n > 0 {
		limit = n
	}
	deadline := time.Now().Add(q.ends - q.gateway.clock())
	control := http.NewResponseController(q.writer)
	if err := control.SetReadDeadline(deadline); err != nil {
		return &denial{status: http.StatusInternalServerError, reason: err.Error()}
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, limit))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return &denial{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case err != nil:
		q.reason = "the body was not read: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &denial{status: http.StatusInternalServerError, reason: err.Error()}
	}
	q.body = body
	return nil
}

// headerBytes returns the size of the request line and header as sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\n \r\n") + len("Host: \r\n")
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// deny answers with a status of this host's own.
func (q *request) deny(d *denial) {
	q.status, q.reason = d.status, d.reason
	if d.after > 0 {
		setRetryAfter(q.writer.Header(), d.after)
	}
	q.writer.WriteHeader(d.status)
}

// refuse ends a request that got no answer: 503 only if it has not run.
func (q *request) refuse(reason string, after time.Duration) {
	if q.spare != nil && !q.stream.committed {
		q.reason = reason
		q.deliver(q.spare)
		return
	}
	status := http.StatusServiceUnavailable
	if q.ledger.Dispatched() {
		status = http.StatusBadGateway
		if q.gateway.clock() >= q.ends {
			status = http.StatusGatewayTimeout
		}
		after = 0
	}
	if q.stream.committed {
		q.status, q.reason = http.StatusBadGateway, reason+", midway"
		panic(http.ErrAbortHandler)
	}
	q.deny(&denial{status: status, reason: reason, after: after})
}

func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(max(d, minRetryAfter).Seconds(), 'f', 3, 64))
}

// record writes the request's line and counts it.
func (q *request) record() {
	g := q.gateway
	now := g.clock()
	took := now - q.arrived
	team, route, version := "", "", uint64(0)
	if q.team != nil {
		team = q.team.Name
	}
	if q.route != nil {
		route = q.route.Name
	}
	if q.state.catalog != nil {
		version = q.state.catalog.Version()
	}
	left := time.Duration(0)
	if q.ends > 0 {
		left = q.ends - now
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
		g.metrics.Latency(team, route, took)
		g.metrics.Series(team, route).Ended(outcome, strconv.Itoa(q.status))
	}
	g.log("request "+outcome, "RequestID", q.caller.ID, "Route", route, "Team", team, "Status", q.status,
		"Reason", q.reason, "Took", took.String(), "First", q.first.String(), "Left", left.String(),
		"ConfigVersion", version, "ProofAge", g.proofAge(now), "Replica", q.choice.Replica.ID,
		"WeightsVersion", q.choice.Replica.Version, "Predicted", q.choice.PredictedWait.String(),
		"Rank", q.choice.Rank, "Source", q.choice.SourceAddress, "Hit", q.choice.HitTokens, "Copied", q.choice.CopiedTokens, "Miss", q.choice.MissTokens, "Trail", fmt.Sprint(q.trail))
}
