package fpbalance

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
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
	// startedPromptRemainingSeconds is the average computing time left of a long prompt that is being
	// computed.
	startedPromptRemainingSeconds = 0.125
	// drainSampleWeight is the weight of the newest sample in the moving average of that rate.
	drainSampleWeight = 0.1
	// maxDrainRatio and minDrainRatio bound the ratio of that rate and the engine's.
	maxDrainRatio = 4.0
	minDrainRatio = 0.125
	// An engine has little load while at most one of lightLoadDivisor of its slots is used.
	lightLoadDivisor = 8
	// minLightLoad is the number of requests that are little load for any engine.
	minLightLoad = 2
	// sameAnswerAge is the age up to which a load report came with the answer that begins now.
	sameAnswerAge = 5 * time.Millisecond
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
		// drainRatio is the ratio of the rate at which the known queue becomes shorter and the engine's,
		// 0 before the first sample.
		drainRatio float64
		limit      namedLimit
		// peerRequests holds, by ID, the requests of other hosts that have no first byte yet.
		peerRequests map[string]peerRequest
	}

	// namedLimit is the limit that a replica last named, in requests a second of all hosts together.
	namedLimit struct {
		named   bool
		rate    float64
		namedAt time.Duration
		pace    fplimit.Pace
	}

	// peerRequest is a request that another host sent to the replica.
	peerRequest struct {
		tokens     int
		rank       int
		recordedAt time.Duration
	}
)

// limitWait returns how long a request has to wait for this host's share of the replica's limit.
func (l *replicaLoad) limitWait(now time.Duration) time.Duration {
	if !l.limit.named {
		return 0
	}
	return l.limit.pace.Wait(now)
}

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

// startedTokensBelow returns an upper estimate of the tokens of later ranks that the replica, which
// computes rate tokens a second, computes before a new request of the given rank: an engine does not
// preempt a prompt that it has started.
func (l *replicaLoad) startedTokensBelow(rank int, rate float64, now time.Duration) int {
	return min(l.queuedTokensUpTo(LateRank, now)-l.queuedTokensUpTo(rank, now), int(startedPromptRemainingSeconds*rate))
}

// drainRate returns the tokens a second by which the replica's queue, as this host knows it, becomes
// shorter; engineRate is the rate of its engine. It is higher than that where the engine has computed
// a part of the queued prompts already, and lower where it has requests that this host doesn't know.
func (l *replicaLoad) drainRate(engineRate float64) float64 {
	if l.drainRatio == 0 {
		return engineRate
	}
	return l.drainRatio * engineRate
}

// updateDrainRate adds a sample to the drain rate: the seconds that the tokens took.
func (l *replicaLoad) updateDrainRate(tokens int, seconds, engineRate float64) {
	computing := float64(tokens) / engineRate
	if computing < minRateSampleSeconds {
		return
	}
	sample := computing / max(seconds, computing/maxDrainRatio)
	before := l.drainRate(engineRate) / engineRate
	l.drainRatio = max(before*(1-drainSampleWeight)+sample*drainSampleWeight, minDrainRatio)
}

// hadLightLoad reports whether the replica had few requests besides one whose answer begins now, by
// the load that the answer tells if it does.
func (l *replicaLoad) hadLightLoad(slots int, now time.Duration) bool {
	light := max(minLightLoad, slots/lightLoadDivisor)
	if l.reportedAt > 0 && now-l.reportedAt < sameAnswerAge {
		return l.reportedWaiting == 0 && l.reportedRunning <= light
	}
	return l.ownRequests <= light && len(l.peerRequests) == 0
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
