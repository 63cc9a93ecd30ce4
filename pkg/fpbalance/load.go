package fpbalance

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// reportDecay is the time after which a load report says nothing any more.
	reportDecay = time.Second
	// delayDecay is the time in which an observed delay loses its weight.
	delayDecay = 700 * time.Millisecond
	// heardFor bounds the belief in another host's work whose begin was not heard of.
	heardFor = 3 * time.Second
	// begunTokens is what is left, on average, of a long prompt that is being read.
	begunTokens = 8_000
	// rateTokens is the least work from which a replica's rate is learnt.
	rateTokens = 8_000
	// rateGain is the weight of the newest observation of a rate.
	rateGain = 0.1
	// minRate and maxRate bound a rate, in tokens a second, around those of the
	// users' engines (64,000 with all that a step takes).
	minRate = 8_000
	maxRate = 250_000
	// delayGain is the weight of the newest observation.
	delayGain = 0.3
)

type (
	// load is what a host knows of the work at one replica.
	load struct {
		// unstarted holds the prompt tokens of own requests without a first byte.
		unstarted [ranks]int
		running   int
		// reported work of all hosts, and own requests sent since.
		reported  int
		waiting   int
		sentSince int
		at        time.Duration
		// delay is the average of observed beyond predicted waits.
		delay   float64
		delayAt time.Duration
		circuit fproute.Circuit
		// rate is the prompt tokens a second that the replica was seen to read, 0 if unseen.
		rate float64
		// others holds the tokens that other hosts have sent here, by request.
		others map[string]heardWork
	}

	heardWork struct {
		tokens int
		rank   int
		at     time.Duration
	}
)

// work returns the number of requests believed to be at the replica.
func (l *load) work(now time.Duration) float64 {
	age := now - l.at
	if l.at == 0 || age > reportDecay {
		return float64(l.running)
	}
	fresh := 1 - float64(age)/float64(reportDecay)
	return max(float64(l.running), float64(l.reported+l.waiting)*fresh+float64(l.sentSince))
}

// ahead returns the prompt tokens that wait at the replica up to a rank.
func (l *load) ahead(rank int, now time.Duration) int {
	sum := 0
	for _, tokens := range l.unstarted[:rank+1] {
		sum += tokens
	}
	for id, w := range l.others {
		if now-w.at > heardFor {
			delete(l.others, id)
			continue
		}
		if w.rank <= rank {
			sum += w.tokens
		}
	}
	return sum
}

// lag returns the remembered delay, which loses weight with time.
func (l *load) lag(now time.Duration) float64 {
	if l.delay <= 0 {
		return 0
	}
	age := now - l.delayAt
	if age >= 3*delayDecay {
		return 0
	}
	return l.delay * (1 - float64(age)/float64(3*delayDecay))
}

// under returns the tokens of the work below a rank that may be under way: an
// engine does not leave a prompt that it has begun to read.
func (l *load) under(rank int, now time.Duration) int {
	return min(l.ahead(LateRank, now)-l.ahead(rank, now), begunTokens)
}

// tokensPerSecond returns the rate at which the replica reads prompts.
func (l *load) tokensPerSecond() float64 {
	if l.rate == 0 {
		return prefillRate
	}
	return l.rate
}

// learnRate takes in how long reading so many tokens took.
func (l *load) learnRate(tokens int, seconds float64) {
	if tokens < rateTokens {
		return
	}
	seen := float64(tokens) / max(seconds, float64(tokens)/maxRate)
	l.rate = max(l.tokensPerSecond()*(1-rateGain)+seen*rateGain, minRate)
}

// started uncounts work that no longer waits.
func (l *load) started(c Choice) { l.unstarted[c.Rank] = max(l.unstarted[c.Rank]-c.Miss, 0) }

func (l *load) observe(beyond float64, now time.Duration) {
	l.delay = l.lag(now)*(1-delayGain) + max(beyond, 0)*delayGain
	l.delayAt = now
}
