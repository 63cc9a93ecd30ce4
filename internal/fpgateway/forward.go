package fpgateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// forwardedByHeader names the host that forwards a request; such a request is not forwarded again.
	forwardedByHeader = "Fescuepoint-Forwarded-By"
	// cutOffHeader says in a refusal that the host reaches no replica for the request either.
	cutOffHeader = "Fescuepoint-Cut-Off"
	// maxForwards bounds the hosts that one request is offered to.
	maxForwards = 3
	// forwardPause is how long a host gets no forwarded request after it could not be reached or was cut off.
	forwardPause = 2 * time.Second
	// forwardChunkBytes is the most that is forwarded of an answer at a time.
	forwardChunkBytes = 16 << 10
)

// cutOff reports whether the request found no replica with err and some of its replicas can't be reached from
// this host, though maybe from another one.
func (q *request) cutOff(err error) bool {
	if !errors.IsAny(err, fpbalance.ErrNoReplica, fpbalance.ErrDeadlineInfeasible) {
		return false
	}
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return q.unreached || slices.ContainsFunc(q.candidates(), func(r fpbalance.Replica) bool { return g.balancer.Unreachable(r.ID) })
}

// refuseUnplaced ends a request for which no replica was found, at another host if that may reach one.
func (q *request) refuseUnplaced(ctx context.Context, c fpbalance.Choice, err error) {
	if !q.ledger.Dispatched() && q.fallback == nil && q.cutOff(err) {
		switch {
		case q.forwardedBy != "":
			q.writer.Header().Set(cutOffHeader, "1")
		case q.forward(ctx):
			return
		}
	}
	q.failRequest(err.Error(), q.retryAfterChoice(c, err))
}

// forward offers the request to other hosts, until one takes it, and reports whether the request has ended.
// A request that may have reached a host is not offered to another one.
func (q *request) forward(ctx context.Context) bool {
	for _, host := range q.forwardHosts() {
		a, err := q.gateway.forwardPool.Do(ctx, q.forwardCall(host))
		switch {
		case ctx.Err() != nil && (err == nil || !errors.Is(err, fpconn.ErrNotSent)):
			q.ledger.MarkDispatched()
			q.failRequest(endReason(ctx), 0)
			return true
		case errors.Is(err, fpconn.ErrNotSent):
			q.appendTrail("%s not reached: %v", host, err)
			q.gateway.pauseForwards(host)
			continue
		case err != nil:
			q.appendTrail("%s broken: %v", host, err)
			q.ledger.MarkDispatched()
			q.failRequest("the host that it was forwarded to gave no whole answer", 0)
			return true
		}
		if a.Status == http.StatusServiceUnavailable && a.Header.Get(cutOffHeader) != "" {
			q.appendTrail("%s cut off too", host)
			_ = a.Discard(maxNotRunBodyBytes, notRunBodyTimeout)
			a.Close()
			q.gateway.pauseForwards(host)
			continue
		}
		q.appendTrail("forwarded to %s: %d", host, a.Status)
		q.gateway.metrics.AddToCounter("requests_forwarded", 1)
		q.relayForwarded(a)
		return true
	}
	return false
}

// forwardHosts returns the hosts to offer the request to: those of the availability zone first, then those of the
// region, in random order.
func (q *request) forwardHosts() []string {
	s, g := q.snapshot, q.gateway
	own := g.settings()
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	names := slices.DeleteFunc(slices.Clone(s.hostNames), func(n string) bool {
		return n == own.Host || s.hostAddresses[n] == nil || now < g.forwardsPausedUntil[n]
	})
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	distance := func(n string) int {
		switch {
		case slices.Contains(s.zoneHosts, n):
			return 0
		case slices.Contains(s.hostsByRegion[own.Place.Region], n):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return distance(a) - distance(b) })
	return names[:min(len(names), maxForwards)]
}

// pauseForwards keeps forwarded requests from a host for a while.
func (g *Gateway) pauseForwards(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forwardsPausedUntil[host] = g.clock() + forwardPause
}

// forwardCall builds the call that forwards the request as the caller sent it, with the time that is left.
func (q *request) forwardCall(host string) fpconn.Call {
	g := q.gateway
	h := g.dialect.ForwardHeader(q.http.Header, q.deadline-g.clock())
	h.Set(forwardedByHeader, g.settings().Host)
	return fpconn.Call{
		Address: q.snapshot.hostAddresses[host].String(), Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host,
		Header: h, Body: q.body, MaxIdle: q.maxIdle(), Key: q.caller.ID, Accept: q.acceptsAnswer,
	}
}

// relayForwarded relays the answer of the host that the request was forwarded to, as it arrives.
func (q *request) relayForwarded(a *fpconn.Response) {
	defer a.Close()
	q.status = a.Status
	if !impliesNotRun(a.Status) {
		q.ledger.MarkDispatched()
	}
	q.setAnswerHeader(q.gateway.dialect.AnswerHeader(a.Header))
	if a.Length >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	q.writer.WriteHeader(a.Status)
	controller := http.NewResponseController(q.writer)
	chunk := make([]byte, forwardChunkBytes)
	for {
		n, err := a.Body.Read(chunk)
		if n > 0 {
			if _, err := q.writer.Write(chunk[:n]); err != nil {
				q.reason = "the caller left"
				return
			}
			if q.firstByteDelay == 0 {
				q.firstByteDelay = q.gateway.clock() - q.arrivedAt
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) && a.EndMarked {
			return
		}
		if err != nil {
			q.status, q.reason = http.StatusBadGateway, "the host that it was forwarded to broke off, midway"
			panic(http.ErrAbortHandler)
		}
	}
}

// peersHandler serves other hosts: the requests that they forward, and next what they ask of the store's changes.
func (g *Gateway) peersHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host := r.Header.Get(forwardedByHeader)
		if host == "" {
			next.ServeHTTP(w, r)
			return
		}
		r.Header.Del(forwardedByHeader)
		g.serve(w, r, host)
	})
}
