package fproute

import (
	"slices"
	"time"
)

const (
	// ownHorizon is how long own dispatches are remembered; reports older than that say nothing.
	ownHorizon = 5 * time.Second
)

type (
	// loadBook corrects lagging reports by the work this host sent since.
	loadBook struct {
		replicas map[string]*ownWork
	}

	ownWork struct {
		sent   []sentWork
		waited int
	}

	sentWork struct {
		id     string
		class  Class
		tokens float64
		at     time.Time
		begun  bool
	}
)

func newLoadBook() *loadBook { return &loadBook{replicas: make(map[string]*ownWork)} }

// sent records work sent to a replica; begin marks that its first token came.
func (b *loadBook) sent(replica string, q Request, tokens float64, now time.Time) {
	w := b.replicas[replica]
	if w == nil {
		w = &ownWork{}
		b.replicas[replica] = w
	}
	w.trim(now)
	w.add(sentWork{id: q.ID, class: q.Class, tokens: tokens, at: now})
	w.waited++
}

// heard records work that another host sent to a replica.
func (b *loadBook) heard(replica string, c Class, tokens float64, at time.Time) {
	w := b.replicas[replica]
	if w == nil {
		w = &ownWork{}
		b.replicas[replica] = w
	}
	w.trim(at)
	w.add(sentWork{class: c, tokens: tokens, at: at, begun: true})
}

func (b *loadBook) begin(replica, id string) {
	w := b.replicas[replica]
	if w == nil {
		return
	}
	for i := range w.sent {
		if w.sent[i].id == id && !w.sent[i].begun {
			w.sent[i].begun = true
			w.waited--
			return
		}
	}
}

func (b *loadBook) forget(replica string) { delete(b.replicas, replica) }

// queue returns the predicted wait in seconds before a replica starts new work
// of a class. It plays what this host and those it heard of have sent since the
// report against the replica's rate: a queue that ran empty in between does not
// make up for work that came later.
func (b *loadBook) queue(r *Replica, c Class, now time.Time) float64 {
	q := r.Queued[c] / r.PrefillRate
	last := r.ReportedAt
	w := b.replicas[r.Name]
	if w == nil {
		return drained(q, last, now)
	}
	for i := range w.sent {
		s := &w.sent[i]
		if s.class > c || s.at.Before(r.ReportedAt) || now.Sub(s.at) > ownHorizon {
			continue
		}
		q = drained(q, last, s.at) + s.tokens/r.PrefillRate
		last = s.at
	}
	return max(drained(q, last, now), w.waiting(c)/r.PrefillRate)
}

// drained returns what is left of a queue of q seconds between two times.
func drained(q float64, from, to time.Time) float64 {
	if from.IsZero() {
		return q
	}
	return max(q-to.Sub(from).Seconds(), 0)
}

// waiting returns the tokens of own work up to a class whose first token has not come.
func (w *ownWork) waiting(c Class) float64 {
	if w.waited == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range w.sent {
		if !s.begun && s.class <= c {
			sum += s.tokens
		}
	}
	return sum
}

// add keeps the work sorted by time.
func (w *ownWork) add(s sentWork) {
	at := len(w.sent)
	for at > 0 && s.at.Before(w.sent[at-1].at) {
		at--
	}
	w.sent = slices.Insert(w.sent, at, s)
}

func (w *ownWork) trim(now time.Time) {
	n := 0
	for _, s := range w.sent {
		if now.Sub(s.at) <= ownHorizon || !s.begun {
			w.sent[n] = s
			n++
		}
	}
	w.sent = w.sent[:n]
}
