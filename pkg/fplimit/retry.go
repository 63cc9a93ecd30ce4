package fplimit

import "time"

const (
	// retryBudgetFraction is the fraction of the retry budget that hosts use. They count requests and
	// other hosts with a lag, so that their sum could exceed the full budget.
	retryBudgetFraction = 0.8
	// startingHosts is added to the number of known hosts, for hosts that have just started.
	startingHosts = 1
	// retryWindowSlots is the number of slots in the sliding window; the oldest slot expires as a
	// whole.
	retryWindowSlots = 10
)

type (
	// RetryRule limits the retries of all hosts in a sliding window to Ratio times the requests in
	// it, plus Slack.
	RetryRule struct {
		Ratio  float64
		Slack  int
		Window time.Duration
	}

	// RetryWindow is one host's part of a service's retry budget; all hosts together stay within the
	// rule. It is not safe for concurrent use.
	RetryWindow struct {
		slots [retryWindowSlots]retrySlot
	}

	retrySlot struct {
		index    int64
		requests int
		retries  int
	}
)

// RecordRequest counts a caller's request for the service, which raises the budget.
func (w *RetryWindow) RecordRequest(r RetryRule, now time.Duration) { w.currentSlot(r, now).requests++ }

// TakeRetry reports whether one more retry is within the budget, and counts it if so.
func (w *RetryWindow) TakeRetry(r RetryRule, hosts int, now time.Duration) bool {
	s := w.currentSlot(r, now)
	requests, retries := 0, 0
	for _, o := range w.slots {
		if s.index-o.index < retryWindowSlots {
			requests += o.requests
			retries += o.retries
		}
	}
	allowed := retryBudgetFraction * (r.Ratio*float64(requests) + float64(r.Slack/(max(hosts, 1)+startingHosts)))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries++
	return true
}

// currentSlot returns the slot for now, cleared if it holds the counts of an earlier time.
func (w *RetryWindow) currentSlot(r RetryRule, now time.Duration) *retrySlot {
	index := int64(now / (r.Window / retryWindowSlots))
	s := &w.slots[index%retryWindowSlots]
	if s.index != index {
		*s = retrySlot{index: index}
	}
	return s
}
