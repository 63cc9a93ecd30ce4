package fpbalance

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// loadReportTTL is the time in which a load report loses its weight.
	loadReportTTL = time.Second
	// excessDelayDecay is a third of the time in which an observed delay loses its weight.
	excessDelayDecay = 700 * time.Millisecond
	// peerRequestTTL is how long another host's request counts as queued without a notice of its
	// first byte.
	peerRequestTTL = 3 * time.Second
	// startedPromptRemainingTokens is the average number of tokens left of a long prompt that is being
	// computed.
	startedPromptRemainingTokens = 8_000
	// minRateSampleTokens is the least number of computed tokens that yields a sample of the rate.
	minRateSampleTokens = 8_000
	// rateSampleWeight is the weight of the newest sample in the moving average of a rate.
	rateSampleWeight = 0.1
	// minTokensPerSecond and maxTokensPerSecond bound the measured rate. The engines in the known
	// deployments compute 64,000 tokens a second, including the fixed time of their steps.
	minTokensPerSecond = 8_000
	maxTokensPerSecond = 250_000
	// delaySampleWeight is the weight of the newest sample in the moving average of the delay.
	delaySampleWeight = 0.3
)

type (
	// replicaLoad is a host's view of the load of one replica.
	replicaLoad struct {
		// unstartedTokens counts, by rank, the prompt tokens to compute of this host's requests that
		// have no first byte yet.
		unstartedTokens [rankCount]int
		// ownRequests counts this host's requests that have not ended.
		ownRequests int
		// The replica's last report of all hosts' requests, and the number of this host's requests
		// sent since.
		reportedRunning int
		reportedWaiting int
		sentSinceReport int
		reportedAt      time.Duration
		// excessDelaySeconds is the moving average of the waits beyond their prediction.
		excessDelaySeconds float64
		excessDelayAt      time.Duration
		circuit            fproute.CircuitBreaker
		// measuredTokensPerSecond is the measured prefill rate, 0 before the first sample.
		measuredTokensPerSecond float64
		// peerRequests holds, by ID, the requests of other hosts that have no first byte yet.
		peerRequests map[string]peerRequest
	}

	// peerRequest is a request that another host sent to the replica.
	peerRequest struct {
		tokens     int
		rank       int
		recordedAt time.Duration
	}
)

// outstandingRequests returns the estimated number of requests at the replica, from its last report
// and this host's own requests.
func (l *replicaLoad) outstandingRequests(now time.Duration) float64 {
	age := now - l.reportedAt
	if l.reportedAt == 0 || age > loadReportTTL {
		return float64(l.ownRequests)
	}
	freshness := 1 - float64(age)/float64(loadReportTTL)
	return max(float64(l.ownRequests), float64(l.reportedRunning+l.reportedWaiting)*freshness+float64(l.sentSinceReport))
}

// queuedTokensUpTo returns the prompt tokens queued at the replica at the given rank or before it.
func (l *replicaLoad) queuedTokensUpTo(rank int, now time.Duration) int {
	sum := 0
	for _, tokens := range l.unstartedTokens[:rank+1] {
		sum += tokens
	}
	for id, p := range l.peerRequests {
		if now-p.recordedAt > peerRequestTTL {
			delete(l.peerRequests, id)
			continue
		}
		if p.rank <= rank {
			sum += p.tokens
		}
	}
	return sum
}

// decayedExcessDelay returns the average excess delay in seconds, decayed to the given time.
func (l *replicaLoad) decayedExcessDelay(now time.Duration) float64 {
	if l.excessDelaySeconds <= 0 {
		return 0
	}
	age := now - l.excessDelayAt
	if age >= 3*excessDelayDecay {
		return 0
	}
	return l.excessDelaySeconds * (1 - float64(age)/float64(3*excessDelayDecay))
}

// startedTokensBelow returns an upper estimate of the tokens of later ranks that the replica
// computes before a new request of the given rank: an engine does not preempt a prompt that it
// has started.
func (l *replicaLoad) startedTokensBelow(rank int, now time.Duration) int {
	return min(l.queuedTokensUpTo(LateRank, now)-l.queuedTokensUpTo(rank, now), startedPromptRemainingTokens)
}

// tokensPerSecond returns the replica's measured prefill rate, or the default before the first
// sample.
func (l *replicaLoad) tokensPerSecond() float64 {
	if l.measuredTokensPerSecond == 0 {
		return prefillTokensPerSecond
	}
	return l.measuredTokensPerSecond
}

// updateTokenRate adds a sample to the measured rate: the seconds that the tokens took.
func (l *replicaLoad) updateTokenRate(tokens int, seconds float64) {
	if tokens < minRateSampleTokens {
		return
	}
	sample := float64(tokens) / max(seconds, float64(tokens)/maxTokensPerSecond)
	l.measuredTokensPerSecond = max(l.tokensPerSecond()*(1-rateSampleWeight)+sample*rateSampleWeight, minTokensPerSecond)
}

// removeUnstarted subtracts the tokens of a request that has its first byte or has ended.
func (l *replicaLoad) removeUnstarted(c Choice) {
	l.unstartedTokens[c.Rank] = max(l.unstartedTokens[c.Rank]-c.MissTokens, 0)
}

// updateExcessDelay adds a sample to the average excess delay.
func (l *replicaLoad) updateExcessDelay(excessSeconds float64, now time.Duration) {
	l.excessDelaySeconds = l.decayedExcessDelay(now)*(1-delaySampleWeight) + max(excessSeconds, 0)*delaySampleWeight
	l.excessDelayAt = now
}
