package fproute

import "time"

const (
	// circuitFailures is the number of failures in a row that open a circuit.
	circuitFailures = 3
	circuitOpenFor  = 2 * time.Second
	circuitOpenMax  = 30 * time.Second

	// retryRatio is the share of requests that may be retried.
	retryRatio = 0.1
	// retryBurst is the number of retries allowed before any request was counted.
	retryBurst = 10.0
)

type (
	// Circuit keeps work from a failing replica and lets single probes through; its zero value is closed.
	Circuit struct {
		failures int
		openTill time.Time
		openFor  time.Duration
		probing  bool
	}

	// RetryBudget allows retries as a share of requests; its zero value allows a first burst.
	RetryBudget struct {
		spent float64
	}
)

// Allows reports whether the replica may get work; half-open, it gets one probe at a time.
func (c *Circuit) Allows(now time.Time) bool {
	if c.failures < circuitFailures {
		return true
	}
	return !now.Before(c.openTill) && !c.probing
}

// Dispatched records that work was sent; half-open, it is the probe.
func (c *Circuit) Dispatched() {
	if c.failures >= circuitFailures {
		c.probing = true
	}
}

// Failed records a failure; several in a row open the circuit.
func (c *Circuit) Failed(now time.Time) {
	c.failures++
	c.probing = false
	if c.failures < circuitFailures {
		return
	}
	c.openFor = min(max(2*c.openFor, circuitOpenFor), circuitOpenMax)
	c.openTill = now.Add(c.openFor)
}

// Abandoned records that work ended without saying anything of the replica, as
// when its caller leaves: another probe may follow.
func (c *Circuit) Abandoned() { c.probing = false }

// Down records proof that the replica is gone for now, which opens the circuit at once.
func (c *Circuit) Down(now time.Time) {
	c.failures = max(c.failures, circuitFailures-1)
	c.Failed(now)
}

// Request counts a first attempt, which earns a share of a retry.
func (b *RetryBudget) Request() { b.spent = max(b.spent-retryRatio, 0) }

// Take reports whether a retry is allowed, and spends it.
func (b *RetryBudget) Take() bool {
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
