package fproute

import "time"

const (
	// circuitFailureThreshold is the number of consecutive failures that open a circuit.
	circuitFailureThreshold = 3
	// circuitMinOpenDuration doubles with each further failure, up to circuitMaxOpenDuration.
	circuitMinOpenDuration = 2 * time.Second
	circuitMaxOpenDuration = 30 * time.Second

	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the number of retries in a full budget.
	retryBurst = 10.0
)

type (
	// CircuitBreaker is a circuit breaker for one replica; its zero value is closed. Half-open, it
	// lets one probe through at a time.
	CircuitBreaker struct {
		consecutiveFailures int
		openUntil           time.Time
		openDuration        time.Duration
		probeInFlight       bool
		// unreachable says that the circuit is open since no connection could be opened.
		unreachable bool
	}

	// RetryBudget limits retries to a share of requests; its zero value is full.
	RetryBudget struct {
		spentRetries float64
	}
)

// AllowsDispatch reports whether work may be sent to the replica; half-open, only one probe at a
// time.
func (c *CircuitBreaker) AllowsDispatch(now time.Time) bool {
	if c.consecutiveFailures < circuitFailureThreshold {
		return true
	}
	return !now.Before(c.openUntil) && !c.probeInFlight
}

// RecordDispatch records that work was sent; half-open, this work is the probe.
func (c *CircuitBreaker) RecordDispatch() {
	if c.consecutiveFailures >= circuitFailureThreshold {
		c.probeInFlight = true
	}
}

// RecordFailure records a failure; circuitFailureThreshold consecutive ones open the circuit. While it is open,
// a failure is one of work that was sent before, and tells nothing new.
func (c *CircuitBreaker) RecordFailure(now time.Time) {
	if c.consecutiveFailures >= circuitFailureThreshold && !c.probeInFlight && now.Before(c.openUntil) {
		return
	}
	c.consecutiveFailures++
	c.probeInFlight = false
	if c.consecutiveFailures < circuitFailureThreshold {
		return
	}
	c.openDuration = min(max(2*c.openDuration, circuitMinOpenDuration), circuitMaxOpenDuration)
	c.openUntil = now.Add(c.openDuration)
}

// RecordAbandoned records that work ended without a result that counts for or against the
// replica, as when its caller disconnects: another probe may follow.
func (c *CircuitBreaker) RecordAbandoned() { c.probeInFlight = false }

// Trip opens the circuit at once, for a replica that is known to be unavailable.
func (c *CircuitBreaker) Trip(now time.Time) {
	c.consecutiveFailures = max(c.consecutiveFailures, circuitFailureThreshold-1)
	c.RecordFailure(now)
}

// RecordNoConnection records that no connection could be opened, at once if it was refused, else as a failure.
// It may be lost packets; a circuit that is open for it closes as soon as a connection is opened.
func (c *CircuitBreaker) RecordNoConnection(refused bool, now time.Time) {
	if refused {
		c.Trip(now)
	} else {
		c.RecordFailure(now)
	}
	c.unreachable = c.unreachable || c.consecutiveFailures >= circuitFailureThreshold
}

// Unreachable reports whether the circuit is open since no connection could be opened.
func (c *CircuitBreaker) Unreachable() bool { return c.unreachable }

// RecordReachable records that a connection was opened, which closes a circuit that is open since none
// could be, and reports whether it was.
func (c *CircuitBreaker) RecordReachable() bool {
	if !c.unreachable {
		return false
	}
	*c = CircuitBreaker{}
	return true
}

// RecordRequest records a first attempt, which adds retryRatio of a retry to the budget.
func (b *RetryBudget) RecordRequest() { b.spentRetries = max(b.spentRetries-retryRatio, 0) }

// TakeRetry reports whether a retry is allowed and, if so, takes it from the budget.
func (b *RetryBudget) TakeRetry() bool {
	if b.spentRetries+1 > retryBurst {
		return false
	}
	b.spentRetries++
	return true
}
