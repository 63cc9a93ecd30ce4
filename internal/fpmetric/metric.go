package fpmetric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

type (
	// Set holds one host's metrics. Team names must come from the configuration, which
	// bounds the number of label values.
	Set struct {
		set    *metrics.Set
		series sync.Map
	}

	// Series holds the metrics of one team and class.
	Series struct {
		FirstToken       *metrics.Histogram
		PredictedQueue   *metrics.Histogram
		HitTokens        *metrics.Counter
		RecomputedTokens *metrics.Counter
		team             string
		class            string
		set              *metrics.Set
	}

	seriesKey struct {
		team  string
		class string
	}
)

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet()} }

// Series returns the metrics of a team and class.
func (s *Set) Series(team, class string) *Series {
	k := seriesKey{team: team, class: class}
	if v, ok := s.series.Load(k); ok {
		return v.(*Series)
	}
	labels := fmt.Sprintf("{team=%q,class=%q}", team, class)
	v := &Series{
		FirstToken:       s.set.GetOrCreateHistogram("fescuepoint_first_token_seconds" + labels),
		PredictedQueue:   s.set.GetOrCreateHistogram("fescuepoint_predicted_queue_seconds" + labels),
		HitTokens:        s.set.GetOrCreateCounter("fescuepoint_prompt_tokens_hit_total" + labels),
		RecomputedTokens: s.set.GetOrCreateCounter("fescuepoint_prompt_tokens_recomputed_total" + labels),
		team:             team,
		class:            class,
		set:              s.set,
	}
	s.series.Store(k, v)
	return v
}

// CountOutcome counts a request's outcome; a refusal has a short reason too.
func (s *Series) CountOutcome(outcome, reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("fescuepoint_requests_total{team=%q,class=%q,outcome=%q,reason=%q}", s.team, s.class, outcome, reason)).Inc()
}

// RecordAnswer records the time to first token and the cached and recomputed prompt tokens.
func (s *Series) RecordAnswer(first time.Duration, hit, recomputed int) {
	s.FirstToken.Update(first.Seconds())
	s.HitTokens.Add(hit)
	s.RecomputedTokens.Add(recomputed)
}

// AddToCounter adds to a counter of the whole host.
func (s *Set) AddToCounter(name string, n int) {
	s.set.GetOrCreateCounter("fescuepoint_" + name + "_total").Add(n)
}

// WritePrometheus writes all metrics in the Prometheus text format.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// SetGauge sets a gauge of the whole host.
func (s *Set) SetGauge(name string, v float64) {
	s.set.GetOrCreateGauge("fescuepoint_"+name, nil).Set(v)
}

// RecordLatency records the total duration of a request of a team and class.
func (s *Set) RecordLatency(team, class string, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf("fescuepoint_request_seconds{team=%q,class=%q}", team, class)).Update(d.Seconds())
}
