package fpexperiment

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	bytesPerToken = fpprefix.BytesPerToken
	// sampleEvery is the length of the intervals of Result.HitOverTime.
	sampleEvery = 5 * time.Second
)

type (
	// ClassResult is what was measured of one class.
	ClassResult struct {
		Requests     int
		Refused      int
		PromptTokens int
		HitTokens    int
		FirstTokens  []time.Duration
	}

	// Result is what one run measured, warm-up left out.
	Result struct {
		Classes [fproute.Classes]ClassResult
		// Recomputed counts tokens computed again that had been computed before anywhere.
		Recomputed  int
		RemoteBytes int
		Bytes       int
		Digests     int
		Waiting     int
		HitOverTime []float64
		window      ClassResult
	}
)

func newResult() *Result { return &Result{} }

func (r *Result) measured(w *world, q *request) bool {
	return q.start.Sub(w.start) >= w.settings.Warm
}

func (r *Result) offered(w *world, q *request) {
	if r.measured(w, q) {
		r.Classes[q.Class].Requests++
	}
}

func (r *Result) placed(w *world, q *request) {
	if !r.measured(w, q) {
		return
	}
	n := (q.Prompt.Tokens + q.OutputTokens) * bytesPerToken
	r.Bytes += n
	if w.engines[q.placed].zone != q.Zone {
		r.RemoteBytes += n
	}
}

func (r *Result) refused(w *world, q *request) {
	delete(w.requests, q.id())
	if r.measured(w, q) {
		r.Classes[q.Class].Refused++
		r.Classes[q.Class].FirstTokens = append(r.Classes[q.Class].FirstTokens, refusalLimit)
	}
}

// started counts hits, and as wasted those missed blocks that were computed before.
func (r *Result) started(w *world, q *request, cached int, computed map[fpprefix.Key]bool) {
	r.window.PromptTokens += q.Prompt.Tokens
	r.window.HitTokens += cached
	if !r.measured(w, q) {
		return
	}
	c := &r.Classes[q.Class]
	c.PromptTokens += q.Prompt.Tokens
	c.HitTokens += cached
	keys := q.keysUnder(w.engines[q.placed].weights)
	for _, k := range keys[cached/fpprefix.BlockTokens:] {
		if computed[k] {
			r.Recomputed += fpprefix.BlockTokens
		}
	}
}

func (r *Result) first(w *world, q *request) {
	if r.measured(w, q) && !q.first {
		q.first = true
		c := &r.Classes[q.Class]
		c.FirstTokens = append(c.FirstTokens, w.now.Sub(q.start))
	}
}

// sample records the hit rate of each interval of the measured time.
func (w *world) sample() {
	w.after(w.settings.Warm, func() {
		w.result.window = ClassResult{}
		w.sampleNext()
	})
}

func (w *world) sampleNext() {
	w.after(sampleEvery, func() {
		r := w.result
		r.HitOverTime = append(r.HitOverTime, ratio(r.window.HitTokens, r.window.PromptTokens))
		r.window = ClassResult{}
		if w.now.Sub(w.start) < w.settings.Warm+w.settings.Measure {
			w.sampleNext()
		}
	})
}

// finish counts requests that got no first token until the end with the time they waited.
func (r *Result) finish(w *world) {
	for _, q := range sorted(w.requests) {
		if !r.measured(w, q) || q.first {
			continue
		}
		r.Waiting++
		c := &r.Classes[q.Class]
		c.FirstTokens = append(c.FirstTokens, max(w.now.Sub(q.start), refusalLimit))
	}
}

// HitRate returns the share of prompt tokens found cached over all classes.
func (r *Result) HitRate() float64 {
	hit, prompt := 0, 0
	for _, c := range r.Classes {
		hit += c.HitTokens
		prompt += c.PromptTokens
	}
	return ratio(hit, prompt)
}

// HitRate returns the share of the class's prompt tokens found cached.
func (c ClassResult) HitRate() float64 { return ratio(c.HitTokens, c.PromptTokens) }

// Quantile returns the time to first token that the given share of requests stay within.
func (c ClassResult) Quantile(share float64) time.Duration {
	if len(c.FirstTokens) == 0 {
		return 0
	}
	all := slices.Clone(c.FirstTokens)
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// RemoteShare returns the share of bytes that crossed regions.
func (r *Result) RemoteShare() float64 { return ratio(r.RemoteBytes, r.Bytes) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
