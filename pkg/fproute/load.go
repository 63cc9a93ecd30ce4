package fproute

import (
	"slices"
	"time"
)

const (
	// dispatchHorizon is how long a dispatch corrects a load report; a report older than that
	// says nothing about the present load.
	dispatchHorizon = 5 * time.Second
)

type (
	// loadEstimator corrects delayed load reports by the work that this host and its peers are
	// known to have dispatched since.
	loadEstimator struct {
		replicas map[string]*replicaDispatches
	}

	// replicaDispatches holds the dispatches to one replica, sorted by time.
	replicaDispatches struct {
		dispatches []dispatch
		// waiting is the number of own dispatches whose first token is awaited.
		waiting int
	}

	dispatch struct {
		requestID string
		class     Class
		tokens    float64
		sentAt    time.Time
		// waitEnded is set when the first token came or the request was given up, and from the
		// start for a peer's dispatch.
		waitEnded bool
	}
)

func newLoadEstimator() *loadEstimator {
	return &loadEstimator{replicas: make(map[string]*replicaDispatches)}
}

// recordDispatch records work that this host sent to a replica; endWait ends the wait for
// its first token.
func (e *loadEstimator) recordDispatch(replica string, q Request, tokens float64, now time.Time) {
	d := e.replicas[replica]
	if d == nil {
		d = &replicaDispatches{}
		e.replicas[replica] = d
	}
	d.dropExpired(now)
	d.insertByTime(dispatch{requestID: q.ID, class: q.Class, tokens: tokens, sentAt: now})
	d.waiting++
}

// recordPeerDispatch records work that another host sent to a replica.
func (e *loadEstimator) recordPeerDispatch(replica string, c Class, tokens float64, at time.Time) {
	d := e.replicas[replica]
	if d == nil {
		d = &replicaDispatches{}
		e.replicas[replica] = d
	}
	d.dropExpired(at)
	d.insertByTime(dispatch{class: c, tokens: tokens, sentAt: at, waitEnded: true})
}

func (e *loadEstimator) endWait(replica, id string) {
	d := e.replicas[replica]
	if d == nil {
		return
	}
	for i := range d.dispatches {
		if d.dispatches[i].requestID == id && !d.dispatches[i].waitEnded {
			d.dispatches[i].waitEnded = true
			d.waiting--
			return
		}
	}
}

func (e *loadEstimator) forgetReplica(replica string) { delete(e.replicas, replica) }

// queueSeconds returns the predicted wait in seconds before a replica starts new work
// of a class. Starting from the reported queue it applies, in order, the dispatches since
// the report, and drains the queue in real time between them. The order matters: time in
// which the queue was empty does not reduce work that came later.
func (e *loadEstimator) queueSeconds(r *Replica, c Class, now time.Time) float64 {
	q := r.QueuedTokens[c] / r.PrefillRate
	last := r.ReportedAt
	d := e.replicas[r.Name]
	if d == nil {
		return remainingQueue(q, last, now)
	}
	for i := range d.dispatches {
		s := &d.dispatches[i]
		if s.class > c || s.sentAt.Before(r.ReportedAt) || now.Sub(s.sentAt) > dispatchHorizon {
			continue
		}
		q = remainingQueue(q, last, s.sentAt) + s.tokens/r.PrefillRate
		last = s.sentAt
	}
	return max(remainingQueue(q, last, now), d.waitingTokens(c)/r.PrefillRate)
}

// remainingQueue returns what is left at time to of a queue of q seconds at time from; with
// a zero from nothing is drained.
func remainingQueue(q float64, from, to time.Time) float64 {
	if from.IsZero() {
		return q
	}
	return max(q-to.Sub(from).Seconds(), 0)
}

// waitingTokens returns the tokens of own dispatches of class c or a higher priority whose
// first token is awaited.
func (d *replicaDispatches) waitingTokens(c Class) float64 {
	if d.waiting == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range d.dispatches {
		if !s.waitEnded && s.class <= c {
			sum += s.tokens
		}
	}
	return sum
}

// insertByTime inserts a dispatch and keeps the list sorted by time.
func (d *replicaDispatches) insertByTime(s dispatch) {
	i := len(d.dispatches)
	for i > 0 && s.sentAt.Before(d.dispatches[i-1].sentAt) {
		i--
	}
	d.dispatches = slices.Insert(d.dispatches, i, s)
}

// dropExpired drops dispatches older than dispatchHorizon whose wait has ended.
func (d *replicaDispatches) dropExpired(now time.Time) {
	n := 0
	for _, s := range d.dispatches {
		if now.Sub(s.sentAt) <= dispatchHorizon || !s.waitEnded {
			d.dispatches[n] = s
			n++
		}
	}
	d.dispatches = d.dispatches[:n]
}
