package fproute

import (
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
		tokens float64
		at     time.Time
		begun  bool
	}
)

func newLoadBook() *loadBook { return &loadBook{replicas: make(map[string]*ownWork)} }

// sent records work sent to a replica; begin marks that its first token came.
func (b *loadBook) sent(replica, id string, tokens float64, now time.Time) {
	w := b.replicas[replica]
	if w == nil {
		w = &ownWork{}
		b.replicas[replica] = w
	}
	w.trim(now)
	w.sent = append(w.sent, sentWork{id: id, tokens: tokens, at: now})
	w.waited++
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

// queue returns the predicted wait in seconds before a replica starts new work.
func (b *loadBook) queue(r *Replica, now time.Time, damping float64, hosts int) float64 {
	own := 0.0
	w := b.replicas[r.Name]
	if w != nil {
		own = w.since(r.ReportedAt, now)
	}
	others := own * damping * float64(max(hosts-1, 0))
	elapsed := max(now.Sub(r.ReportedAt).Seconds(), 0)
	if r.ReportedAt.IsZero() {
		elapsed = 0
	}
	tokens := r.QueuedTokens + own + others - elapsed*r.PrefillRate
	if w != nil {
		tokens = max(tokens, w.waiting())
	}
	return max(tokens, 0) / r.PrefillRate
}

// waiting returns the tokens of own work whose first token has not come.
func (w *ownWork) waiting() float64 {
	if w.waited == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range w.sent {
		if !s.begun {
			sum += s.tokens
		}
	}
	return sum
}

func (w *ownWork) since(t, now time.Time) float64 {
	sum := 0.0
	for i := len(w.sent) - 1; i >= 0; i-- {
		s := w.sent[i]
		if s.at.Before(t) || now.Sub(s.at) > ownHorizon {
			break
		}
		sum += s.tokens
	}
	return sum
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
