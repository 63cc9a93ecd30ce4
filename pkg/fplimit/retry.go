package fplimit

import "time"

const (
	// retryMargin keeps a host's part of the budget below the whole: hosts count
	// their requests and each other with a lag.
	retryMargin = 0.8
	// spareHosts is added to the number of known hosts, for those that are just starting.
	spareHosts = 1
	// retrySlots divide the window; the oldest falls out as a whole.
	retrySlots = 10
)

type (
	// RetryRule bounds the repeats of all hosts in a sliding window: Ratio of the
	// requests in it, and Slack.
	RetryRule struct {
		Ratio  float64
		Slack  int
		Window time.Duration
	}

	// RetryWindow is one host's part of a service's retry budget, so that the sum
	// over the hosts keeps the rule. It is not safe for concurrent use.
	RetryWindow struct {
		slots [retrySlots]retrySlot
	}

	retrySlot struct {
		number   int64
		requests int
		retries  int
	}
)

// Request counts a caller's request for the service.
func (w *RetryWindow) Request(r RetryRule, now time.Duration) { w.slot(r, now).requests++ }

// Take reports whether the request may be sent once more, and counts it.
func (w *RetryWindow) Take(r RetryRule, hosts int, now time.Duration) bool {
	s := w.slot(r, now)
	requests, retries := 0, 0
	for _, o := range w.slots {
		if s.number-o.number < retrySlots {
			requests += o.requests
			retries += o.retries
		}
	}
	allowed := retryMargin * (r.Ratio*float64(requests) + float64(r.Slack/(max(hosts, 1)+spareHosts)))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries++
	return true
}

func (w *RetryWindow) slot(r RetryRule, now time.Duration) *retrySlot {
	number := int64(now / (r.Window / retrySlots))
	s := &w.slots[number%retrySlots]
	if s.number != number {
		*s = retrySlot{number: number}
	}
	return s
}
