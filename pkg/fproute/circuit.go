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
	// Circuit is a circuit breaker for one replica; its zero value is closed. Half-open, it
	// lets one probe through at a time.
	Circuit struct {
		consecutiveFailures int
		openUntil           time.Time
		openDuration        time.Duration
		probeInFlight       bool
	}

	// RetryBudget limits retries to a share of requests; its zero value is full.
	RetryBudget struct {
		spentRetries float64
	}
)

// Allows reports whether work may be sent to the replica; half-open, only one probe at a time.
func (c *Circuit) Allows(now time.Time) bool {
	if c.consecutiveFailures < circuitFailureThreshold {
		return true
	}
	return !now.Before(c.openUntil) && !c.probeInFlight
}

// Dispatched records that work was sent; half-open, this work is the probe.
func (c *Circuit) Dispatched() {
	if c.consecutiveFailures >= circuitFailureThreshold {
		c.probeInFlight = true
	}
}

// Failed records a failure; circuitFailureThreshold consecutive ones open the circuit.
func (c *Circuit) Failed(now time.Time) {
	c.consecutiveFailures++
	c.probeInFlight = false
	if c.consecutiveFailures < circuitFailureThreshold {
		return
	}
	c.openDuration = min(max(2*c.openDuration, circuitMinOpenDuration), circuitMaxOpenDuration)
	c.openUntil = now.Add(c.openDuration)
}

// Abandoned records that work ended without a result that counts for or against the
// replica, as when its caller disconnects: another probe may follow.
func (c *Circuit) Abandoned() { c.probeInFlight = false }

// Down opens the circuit at once, for a replica that is known to be unavailable.
func (c *Circuit) Down(now time.Time) {
	c.consecutiveFailures = max(c.consecutiveFailures, circuitFailureThreshold-1)
	c.Failed(now)
}

// Request records a first attempt, which adds retryRatio of a retry to the budget.
func (b *RetryBudget) Request() { b.spentRetries = max(b.spentRetries-retryRatio, 0) }

// Take reports whether a retry is allowed and, if so, takes it from the budget.
func (b *RetryBudget) Take() bool {
	if b.spentRetries+1 > retryBurst {
		return false
	}
	b.spentRetries++
	return true
}
