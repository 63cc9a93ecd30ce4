package fproute

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// Router is one host's placement state: knowledge of caches, own work,
	// demand and circuits. It is not safe for concurrent use.
	Router struct {
		settings  Settings
		knowledge *Knowledge
		demand    *demand
		load      *loadBook
		circuits  map[string]*Circuit
		budget    RetryBudget
		pending   map[string]pending
	}

	// pending is what was believed when a request was sent.
	pending struct {
		replica string
		seen    []time.Time
		at      time.Time
	}
)

// NewRouter returns a router without any knowledge.
func NewRouter(s Settings) *Router {
	s = s.WithDefaults()
	return &Router{
		settings:  s,
		knowledge: NewKnowledge(s.KnowledgeKeys),
		demand:    newDemand(s.KnowledgeKeys),
		load:      newLoadBook(),
		circuits:  make(map[string]*Circuit),
		pending:   make(map[string]pending),
	}
}

// Knowledge returns the router's knowledge, for events and resyncs to correct.
func (r *Router) Knowledge() *Knowledge { return r.knowledge }

// Budget returns the router's retry budget.
func (r *Router) Budget() *RetryBudget { return &r.budget }

// Dispatched records that the request was sent to the candidate.
func (r *Router) Dispatched(q Request, c Candidate, now time.Time) {
	r.load.sent(c.Replica, q, c.MissTokens, now)
	if k := r.circuits[c.Replica]; k != nil {
		k.Dispatched()
	}
	r.pending[q.ID] = pending{replica: c.Replica, seen: r.knowledge.Seen(q.Prompt, c.Replica, c.Incarnation), at: now}
	for _, l := range q.Prompt.Levels {
		r.knowledge.Stored(l.Key, c.Replica, c.Incarnation, now)
	}
}

// FirstToken records that the candidate began to answer and how many prompt tokens it had cached.
func (r *Router) FirstToken(q Request, c Candidate, cached int, now time.Time) {
	r.load.begin(c.Replica, q.ID)
	delete(r.circuits, c.Replica)
	p := r.pending[q.ID]
	delete(r.pending, q.ID)
	if p.replica != c.Replica {
		p.seen = nil
	}
	r.knowledge.Observe(q.Prompt, c.Replica, c.Incarnation, cached, p.seen, p.at, now)
}

// Failed records that an attempt at the candidate failed, which says nothing of its caches.
func (r *Router) Failed(q Request, c Candidate, now time.Time) {
	r.Abandoned(q, c)
	r.circuit(c.Replica).Failed(now)
}

// Abandoned records that nobody waits for an attempt any more, which says
// nothing of its replica.
func (r *Router) Abandoned(q Request, c Candidate) {
	delete(r.pending, q.ID)
	r.load.begin(c.Replica, q.ID)
	if k := r.circuits[c.Replica]; k != nil {
		k.probing = false
	}
}

// Restarted records that a replica came back empty.
func (r *Router) Restarted(replica string) {
	r.load.forget(replica)
	r.knowledge.Forget(replica)
	delete(r.circuits, replica)
}

func (r *Router) circuit(replica string) *Circuit {
	c := r.circuits[replica]
	if c == nil {
		c = &Circuit{}
		r.circuits[replica] = c
	}
	return c
}

// allows reports whether the replica's circuit lets work through.
func (r *Router) allows(replica string, now time.Time) bool {
	if len(r.circuits) == 0 {
		return true
	}
	c := r.circuits[replica]
	return c == nil || c.Allows(now)
}

// want records the request's demand on each level and returns nothing; the
// work is what a request costs beyond that level.
func (r *Router) want(p fpprefix.Prompt, prefillRate float64, now time.Time) {
	for _, l := range homeLevels(p.Levels) {
		r.demand.add(l.Key, float64(p.Tokens-l.Tokens)/prefillRate, now)
	}
}
