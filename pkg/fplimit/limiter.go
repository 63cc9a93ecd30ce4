package fplimit

import (
	"math"
	"time"
)

const (
	// burstWindow sets the bucket size: the share of this time may be used at once.
	burstWindow = time.Second
	// demandTimeConstant is the time constant of the exponential average of demand.
	demandTimeConstant = time.Second
	// reservedFraction is the fraction of the capacity that no team is entitled to, so that work
	// does not come due faster than replicas complete it.
	reservedFraction = 0.1
	// teamIdleTimeout is the time without requests after which a team's state is dropped.
	teamIdleTimeout = 5 * time.Minute
	// MaxLag bounds how far after the current time a request's virtual start time lies. A team that
	// is further beyond its rate is refused while replicas are busy.
	MaxLag = 10 * time.Second
)

const (
	// RequestRateLimit names the limit on requests a second.
	RequestRateLimit Limit = "requests a second"
	// TokenRateLimit names the limit on tokens a second.
	TokenRateLimit Limit = "tokens a second"
	// ConcurrencyLimit names the limit on requests running at once.
	ConcurrencyLimit Limit = "requests running at once"
	// BusyShareLimit names the limit on a team's share of the capacity while all replicas are busy.
	BusyShareLimit Limit = "its share of busy replicas"
)

type (
	// Limit is the name of a limit, as refusals give it.
	Limit string

	// Rates holds requests and tokens a second. In a limit, zero means unlimited.
	Rates struct {
		Requests float64
		Tokens   float64
	}

	// Quota is what one host may admit of a team.
	Quota struct {
		// Share is the host's share of the team's rate limits.
		Share Rates
		// MaxRunning is the maximum number of requests running at once; zero means unlimited.
		MaxRunning int
	}

	// Refusal tells which limit was reached and how long to wait before a retry.
	Refusal struct {
		Limit      Limit
		RetryAfter time.Duration
	}

	// Limiter enforces the teams' quotas at one host. It is not safe for concurrent use.
	Limiter struct {
		teams map[string]*team
	}

	// team is the accounting of one team at this host.
	team struct {
		requestBucket bucket
		tokenBucket   bucket
		demand        Rates
		demandAt      time.Time
		running       int
		virtualFinish time.Time
	}

	// bucket is a token bucket that may be overdrawn by one request.
	bucket struct {
		level      float64
		refilledAt time.Time
	}
)

// NewLimiter returns a limiter without any team's state.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*team)} }

// Admit counts a request of the given tokens against a team's quota. The refusal is nil when the
// request may run; [Limiter.Release] must be called at its end then.
func (l *Limiter) Admit(name string, q Quota, tokens float64, now time.Time) *Refusal {
	t := l.team(name)
	t.recordDemand(tokens, now)
	switch {
	case q.MaxRunning > 0 && t.running >= q.MaxRunning:
		return &Refusal{Limit: ConcurrencyLimit, RetryAfter: burstWindow}
	case !t.requestBucket.refillAndCheck(q.Share.Requests, now):
		return &Refusal{Limit: RequestRateLimit, RetryAfter: t.requestBucket.timeUntilNext(q.Share.Requests)}
	case !t.tokenBucket.refillAndCheck(q.Share.Tokens, now):
		return &Refusal{Limit: TokenRateLimit, RetryAfter: t.tokenBucket.timeUntilNext(q.Share.Tokens)}
	}
	t.requestBucket.withdraw(q.Share.Requests, 1)
	t.tokenBucket.withdraw(q.Share.Tokens, tokens)
	t.running++
	return nil
}

// Release records the end of an admitted request.
func (l *Limiter) Release(name string) {
	if t := l.team(name); t.running > 0 {
		t.running--
	}
}

// VirtualStart returns the virtual start time (as in fair queueing) of a request that costs cost
// tokens, for a team entitled to rate tokens a second. It is now for a team within its rate and
// later the further the team is beyond it, by MaxLag at most. While replicas are busy a request
// beyond that is refused, so that a team's waiting requests never come due faster than its rate.
func (l *Limiter) VirtualStart(name string, cost, rate float64, busy bool, now time.Time) (time.Time, *Refusal) {
	t := l.team(name)
	start := now
	if t.virtualFinish.After(now) {
		start = t.virtualFinish
	}
	if lag := start.Sub(now); lag > MaxLag {
		if busy {
			return now, &Refusal{Limit: BusyShareLimit, RetryAfter: lag - MaxLag + burstWindow}
		}
		return now.Add(MaxLag), nil
	}
	t.virtualFinish = start.Add(time.Duration(cost / rate * float64(time.Second)))
	return start, nil
}

// EntitledRate returns the rate in tokens a second that a team may use of a capacity: what the
// other teams' demand leaves of it, and at least an even share among the active teams. The other
// teams' prompt tokens count at missRatio, as cached tokens need no computation.
func (l *Limiter) EntitledRate(name string, capacity, missRatio float64, now time.Time) float64 {
	others, active := 0.0, 1
	for n, t := range l.teams {
		if d := t.decayedDemand(now).Tokens; n != name && d > 0 {
			others += d * missRatio
			active++
		}
	}
	capacity *= 1 - reservedFraction
	return max(capacity-others, capacity/float64(active))
}

// Demand returns the average rates at which the team asks for admission, admitted or not.
func (l *Limiter) Demand(name string, now time.Time) Rates {
	return l.team(name).decayedDemand(now)
}

// ForEachTeam calls f with the name and demand of each team that is not idle, and drops the state
// of the idle ones.
func (l *Limiter) ForEachTeam(now time.Time, f func(string, Rates)) {
	for name, t := range l.teams {
		if t.running == 0 && now.Sub(t.demandAt) > teamIdleTimeout {
			delete(l.teams, name)
			continue
		}
		f(name, t.decayedDemand(now))
	}
}

// team returns the state of a team, which it creates if there is none.
func (l *Limiter) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}

// recordDemand adds a request to the team's average demand.
func (t *team) recordDemand(tokens float64, now time.Time) {
	d := t.decayedDemand(now)
	d.Requests += 1 / demandTimeConstant.Seconds()
	d.Tokens += tokens / demandTimeConstant.Seconds()
	t.demand = d
	t.demandAt = now
}

// decayedDemand returns the team's average demand, decayed to the given time.
func (t *team) decayedDemand(now time.Time) Rates {
	decay := math.Exp(-now.Sub(t.demandAt).Seconds() / demandTimeConstant.Seconds())
	return Rates{Requests: t.demand.Requests * decay, Tokens: t.demand.Tokens * decay}
}

// refillAndCheck refills the bucket at the rate and reports whether a request may draw on it.
func (b *bucket) refillAndCheck(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	capacity := max(rate*burstWindow.Seconds(), 1)
	if b.refilledAt.IsZero() {
		b.level = capacity
	} else {
		b.level = min(b.level+now.Sub(b.refilledAt).Seconds()*rate, capacity)
	}
	b.refilledAt = now
	return b.level >= min(1, capacity)
}

// withdraw takes n from the bucket, which may overdraw it; a rate of zero means no limit.
func (b *bucket) withdraw(rate, n float64) {
	if rate > 0 {
		b.level -= n
	}
}

// timeUntilNext returns the time until the bucket may be drawn on again.
func (b *bucket) timeUntilNext(rate float64) time.Duration {
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
