package fpexperiment

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	bytesPerToken = fpprefix.BytesPerToken
	// sampleInterval is the length of the intervals of Result.HitRateSamples.
	sampleInterval = 5 * time.Second
)

type (
	// ClassResult holds the measurements of one class.
	ClassResult struct {
		Requests        int
		Refused         int
		PromptTokens    int
		HitTokens       int
		FirstTokenTimes []time.Duration
	}

	// Result holds the measurements of one run, without its warmup.
	Result struct {
		Classes [fproute.Classes]ClassResult
		// RecomputedTokens counts prefilled tokens that some engine had computed before.
		RecomputedTokens int
		RemoteBytes      int
		DispatchedBytes  int
		CacheUpdates     int
		Unanswered       int
		HitRateSamples   []float64
		sampleWindow     ClassResult
	}
)

func newResult() *Result { return &Result{} }

func (r *Result) isMeasured(sm *simulation, q *request) bool {
	return q.submittedAt.Sub(sm.startTime) >= sm.settings.Warmup
}

func (r *Result) recordArrival(sm *simulation, q *request) {
	if r.isMeasured(sm, q) {
		r.Classes[q.Class].Requests++
	}
}

func (r *Result) recordDispatch(sm *simulation, q *request) {
	if !r.isMeasured(sm, q) {
		return
	}
	n := (q.Prompt.Tokens + q.OutputTokens) * bytesPerToken
	r.DispatchedBytes += n
	if sm.engines[q.replica].zone != q.Zone {
		r.RemoteBytes += n
	}
}

func (r *Result) recordRefusal(sm *simulation, q *request) {
	delete(sm.pendingRequests, q.id())
	if r.isMeasured(sm, q) {
		r.Classes[q.Class].Refused++
		r.Classes[q.Class].FirstTokenTimes = append(r.Classes[q.Class].FirstTokenTimes, refusedFirstTokenTime)
	}
}

// recordPrefillStart counts prompt and cached tokens, and as recomputed the missed blocks that some
// engine had computed before.
func (r *Result) recordPrefillStart(sm *simulation, q *request, cached int, computed map[fpprefix.Key]bool) {
	r.sampleWindow.PromptTokens += q.Prompt.Tokens
	r.sampleWindow.HitTokens += cached
	if !r.isMeasured(sm, q) {
		return
	}
	c := &r.Classes[q.Class]
	c.PromptTokens += q.Prompt.Tokens
	c.HitTokens += cached
	keys := q.keysForWeights(sm.engines[q.replica].weights)
	for _, k := range keys[cached/fpprefix.BlockTokens:] {
		if computed[k] {
			r.RecomputedTokens += fpprefix.BlockTokens
		}
	}
}

func (r *Result) recordFirstToken(sm *simulation, q *request) {
	if r.isMeasured(sm, q) && !q.firstTokenSeen {
		q.firstTokenSeen = true
		c := &r.Classes[q.Class]
		c.FirstTokenTimes = append(c.FirstTokenTimes, sm.now.Sub(q.submittedAt))
	}
}

// scheduleSampling records the hit rate of each interval after the warmup.
func (sm *simulation) scheduleSampling() {
	sm.schedule(sm.settings.Warmup, func() {
		sm.result.sampleWindow = ClassResult{}
		sm.scheduleNextSample()
	})
}

func (sm *simulation) scheduleNextSample() {
	sm.schedule(sampleInterval, func() {
		r := sm.result
		r.HitRateSamples = append(r.HitRateSamples, ratio(r.sampleWindow.HitTokens, r.sampleWindow.PromptTokens))
		r.sampleWindow = ClassResult{}
		if sm.now.Sub(sm.startTime) < sm.settings.Warmup+sm.settings.MeasureTime {
			sm.scheduleNextSample()
		}
	})
}

// recordUnanswered counts each request without a first token at the end of the run with the time
// that it waited, at least refusedFirstTokenTime.
func (r *Result) recordUnanswered(sm *simulation) {
	for _, q := range sortedBySerial(sm.pendingRequests) {
		if !r.isMeasured(sm, q) || q.firstTokenSeen {
			continue
		}
		r.Unanswered++
		c := &r.Classes[q.Class]
		c.FirstTokenTimes = append(c.FirstTokenTimes, max(sm.now.Sub(q.submittedAt), refusedFirstTokenTime))
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

// FirstTokenQuantile returns the time to first token that the given share of requests do not exceed.
func (c ClassResult) FirstTokenQuantile(share float64) time.Duration {
	if len(c.FirstTokenTimes) == 0 {
		return 0
	}
	all := slices.Clone(c.FirstTokenTimes)
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// RemoteByteShare returns the share of bytes that were sent to another zone.
func (r *Result) RemoteByteShare() float64 { return ratio(r.RemoteBytes, r.DispatchedBytes) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
