package fproute

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// Router holds one host's placement state: the cache index, the load estimate, the demand
	// for prefixes and the circuits. It is not safe for concurrent use.
	Router struct {
		settings        Settings
		cacheIndex      *CacheIndex
		demand          *prefixDemand
		load            *loadEstimator
		circuits        map[string]*CircuitBreaker
		retryBudget     RetryBudget
		pendingRequests map[string]pendingRequest
	}

	// pendingRequest is a dispatched request without a first token, and when each of its levels
	// had last been recorded as stored at the replica.
	pendingRequest struct {
		replica     string
		storedTimes []time.Time
		sentAt      time.Time
	}
)

// NewRouter returns a router without any recorded state.
func NewRouter(s Settings) *Router {
	s = s.WithDefaults()
	return &Router{
		settings:        s,
		cacheIndex:      NewCacheIndex(s.MaxPrefixes),
		demand:          newPrefixDemand(s.MaxPrefixes),
		load:            newLoadEstimator(),
		circuits:        make(map[string]*CircuitBreaker),
		pendingRequests: make(map[string]pendingRequest),
	}
}

// CacheIndex returns the router's cache index, for cache events to update.
func (r *Router) CacheIndex() *CacheIndex { return r.cacheIndex }

// RetryBudget returns the router's retry budget.
func (r *Router) RetryBudget() *RetryBudget { return &r.retryBudget }

// RecordDispatch records that the request was sent to the candidate.
func (r *Router) RecordDispatch(q Request, c Candidate, now time.Time) {
	r.load.recordDispatch(c.Replica, q, c.MissTokens, now)
	if circuit := r.circuits[c.Replica]; circuit != nil {
		circuit.RecordDispatch()
	}
	r.pendingRequests[q.ID] = pendingRequest{replica: c.Replica, storedTimes: r.cacheIndex.StoredTimes(q.Prompt, c.Replica, c.Incarnation), sentAt: now}
	for _, l := range q.Prompt.Levels {
		r.cacheIndex.RecordStored(l.Key, c.Replica, c.Incarnation, now)
	}
}

// RecordFirstToken records that the candidate began to answer and how many prompt tokens it had
// cached.
func (r *Router) RecordFirstToken(q Request, c Candidate, cached int, now time.Time) {
	r.load.endWait(c.Replica, q.ID)
	delete(r.circuits, c.Replica)
	p := r.pendingRequests[q.ID]
	delete(r.pendingRequests, q.ID)
	if p.replica != c.Replica {
		p.storedTimes = nil
	}
	r.cacheIndex.RecordCachedTokens(q.Prompt, c.Replica, c.Incarnation, cached, p.storedTimes, p.sentAt, now)
}

// RecordFailure records that an attempt at the candidate failed. It counts against the replica's
// circuit and leaves the cache index as it is.
func (r *Router) RecordFailure(q Request, c Candidate, now time.Time) {
	r.RecordAbandoned(q, c)
	r.circuitOf(c.Replica).RecordFailure(now)
}

// RecordNoConnection records that no connection to the candidate could be opened for an attempt.
func (r *Router) RecordNoConnection(q Request, c Candidate, refused bool, now time.Time) {
	r.RecordAbandoned(q, c)
	r.circuitOf(c.Replica).RecordNoConnection(refused, now)
}

// RecordReachable records that a replica answered on a new connection, which ends that it is left alone since
// none could be opened.
func (r *Router) RecordReachable(replica string) {
	if c := r.circuits[replica]; c != nil {
		c.RecordReachable()
	}
}

// RecordAbandoned records that an attempt was given up without a result that counts for or against
// its replica.
func (r *Router) RecordAbandoned(q Request, c Candidate) {
	delete(r.pendingRequests, q.ID)
	r.load.endWait(c.Replica, q.ID)
	if circuit := r.circuits[c.Replica]; circuit != nil {
		circuit.probeInFlight = false
	}
}

// RecordRestart records that a replica restarted with an empty queue and cache.
func (r *Router) RecordRestart(replica string) {
	r.load.forgetReplica(replica)
	r.cacheIndex.ResetRetention(replica)
	delete(r.circuits, replica)
}

func (r *Router) circuitOf(replica string) *CircuitBreaker {
	c := r.circuits[replica]
	if c == nil {
		c = &CircuitBreaker{}
		r.circuits[replica] = c
	}
	return c
}

// allowsDispatch reports whether the replica's circuit allows work to be sent to it.
func (r *Router) allowsDispatch(replica string, now time.Time) bool {
	if len(r.circuits) == 0 {
		return true
	}
	c := r.circuits[replica]
	return c == nil || c.AllowsDispatch(now)
}

// recordDemand records the request's demand on each of its owner levels. The work counted for
// a level is the prefill beyond it.
func (r *Router) recordDemand(p fpprefix.Prompt, prefillRate float64, now time.Time) {
	for _, l := range ownerLevels(p.Levels) {
		r.demand.recordWork(l.Key, float64(p.Tokens-l.Tokens)/prefillRate, now)
	}
}
