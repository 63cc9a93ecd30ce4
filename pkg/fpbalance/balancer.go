package fpbalance

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpestimate"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// secondsPerRunningRequest is the wait that each request at an engine adds to a new one, whose
	// first token shares a step with its tokens.
	secondsPerRunningRequest = 0.006
	// crossRegionTransferCostSeconds is the cost of a request's bytes to another region, on top of
	// their time.
	crossRegionTransferCostSeconds = 0.02
	// unknownLoadCostSeconds is the cost of a replica in a region whose load is unknown.
	unknownLoadCostSeconds = 0.15
	// recomputeCostWeight weighs the time to compute missing tokens, which delays the requests queued
	// behind.
	recomputeCostWeight = 3.0
	// ownerCreditWeight weighs the time to compute a prompt in the credit of the rendezvous hash owner
	// of its first part. The owner gets it without evidence of cached tokens, so that all hosts choose
	// the same replica for a new prompt.
	ownerCreditWeight = 1.5
	// staleWeightsGracePeriod is the age of a newer version from which older weights have a cost.
	staleWeightsGracePeriod = 1200 * time.Millisecond
	// staleWeightsCostSeconds is the cost of an answer on older weights.
	staleWeightsCostSeconds = 0.25
	// crossZoneTransferFactor and crossRegionTransferFactor multiply the time of a transfer of cached
	// tokens by its distance.
	crossZoneTransferFactor   = 2
	crossRegionTransferFactor = 10
	// maxTransferSeconds is the longest transfer of cached tokens that is worth starting.
	maxTransferSeconds = 0.6
	// transferCostWeight weighs the time of a transfer, which occupies a link but no engine.
	transferCostWeight = 0.2
	// A request is kept from weights that it may not use beginWaitFactor times its predicted wait and
	// beginWaitMargin from now.
	beginWaitFactor = 2
	beginWaitMargin = 500 * time.Millisecond
	// longPrefillSeconds is the computing time above which a request is ranked as long.
	longPrefillSeconds = 0.15
	// minTransferSeconds is the least computing time of tokens that are worth a transfer, and
	// minRecordSeconds that of a part that is worth an entry in the directory.
	minTransferSeconds = 0.01
	minRecordSeconds   = 0.001
	// ownerKeyShare is the share of a prompt's shared tokens that its owner's key covers.
	ownerKeyShare = 0.8
	// minOwnerSeconds is the computing time of shared parts from which a prompt has an owner.
	minOwnerSeconds = 0.003
)

type (
	// Balancer holds one host's view of the replicas' caches and load. It is not safe for concurrent
	// use.
	Balancer struct {
		location       Location
		cacheDirectory *CacheDirectory
		loads          map[string]*replicaLoad
		intakes        fplimit.Intakes[replicaStart]
		services       map[string]*figures
		// brittle holds the number of hosts that share the replicas of a service which fall over when they have
		// to reject many requests, by service.
		brittle map[string]int
		// roundTrips holds the network round trips by availability zone.
		roundTrips     map[string]fpestimate.Quantity
		refusedSamples map[string]int
	}
)

// New returns the balancer of a host at a location.
func New(location Location) *Balancer {
	return &Balancer{
		location: location, cacheDirectory: NewCacheDirectory(), loads: make(map[string]*replicaLoad),
		services: make(map[string]*figures), brittle: make(map[string]int), roundTrips: make(map[string]fpestimate.Quantity), refusedSamples: make(map[string]int),
	}
}

// CacheDirectory returns the directory of cached parts, which cache events keep up to date.
func (b *Balancer) CacheDirectory() *CacheDirectory { return b.cacheDirectory }

// Choose returns the replica to send a request to. A request whose first token is predicted to miss
// its objective is ranked behind all that can meet theirs: under overload, a queue in order of
// arrival would make every answer late.
func (b *Balancer) Choose(replicas []Replica, q Request, link Link, now time.Duration) (Choice, error) {
	c, err := b.lowestScore(replicas, q, link, now)
	if q.Objective == 0 || errors.Is(err, ErrNoReplica) || !c.Replica.Engine || c.PredictedWait <= q.Objective-q.Elapsed {
		return c, err
	}
	q.missesObjective = true
	return b.lowestScore(replicas, q, link, now)
}

// rankFor returns the rank of a request whose missing tokens take the given time to compute.
// Requests with little go first: more callers are answered in time at the same load, and the long
// requests wait little longer for it.
func (q Request) rankFor(computeSeconds float64) int {
	long := computeSeconds > longPrefillSeconds
	switch {
	case q.missesObjective && long:
		return LateRank
	case q.missesObjective:
		return ShortLateRank
	case long:
		return min(max(q.LongRank, q.Rank), ShortLateRank)
	default:
		return min(q.Rank, ShortLateRank)
	}
}

// lowestScore returns the usable replica with the lowest score for a request.
func (b *Balancer) lowestScore(replicas []Replica, q Request, link Link, now time.Duration) (Choice, error) {
	owner := b.rendezvousOwner(replicas, q)
	best := Choice{Score: -1}
	o := obstacles{limitWait: fplimit.NoShare, pauseLeft: fplimit.NoShare}
	for _, r := range replicas {
		if b.obstructed(r, q, now, &o) {
			continue
		}
		c := b.scoreReplica(replicas, r, q, link, r.ID == owner, now)
		if !q.mayBegin(c) {
			o.other = true
			continue
		}
		if best.Score < 0 || c.Score < best.Score {
			best = c
		}
	}
	switch {
	case best.Score < 0:
		return o.choice()
	case best.PredictedWait > q.TimeToDeadline:
		return best, ErrDeadlineInfeasible
	}
	return best, nil
}

// maxLimitWait returns how long the request may wait for a share of a replica's limit: at most its
// objective, if it has one.
func (q Request) maxLimitWait() time.Duration {
	if q.Objective > 0 {
		return min(q.Objective, q.TimeToDeadline)
	}
	return q.TimeToDeadline
}

// mayBegin reports whether the request would begin at the chosen replica while it may still use the
// replica's weights, also if it waits longer than predicted.
func (q Request) mayBegin(c Choice) bool {
	if !c.Replica.Engine || q.TimeToBegin == nil {
		return true
	}
	return beginWaitFactor*c.PredictedWait+beginWaitMargin <= q.TimeToBegin(c.Replica.Version)
}

// rendezvousOwner returns the rendezvous hash owner of a prompt, which all hosts of a region prefer as
// long as no replica is known to have its shared parts cached. It is one of the region's replicas
// unless the shared parts are worth the way to another region, and empty if they are too short to
// matter.
func (b *Balancer) rendezvousOwner(replicas []Replica, q Request) string {
	sharedTokens := sumTokens(SharedParts(q.Parts))
	if sharedTokens == 0 || len(replicas) == 0 {
		return ""
	}
	rate := b.figuresOf(replicas[0].Service).rate()
	if sharedTokens < int(rate*minOwnerSeconds) {
		return ""
	}
	credit := ownerCreditWeight * float64(sharedTokens) / rate
	names := make([]string, 0, len(replicas))
	for _, r := range replicas {
		if r.Region == b.location.Region || credit >= b.roundTripSeconds(r)+crossRegionTransferCostSeconds {
			names = append(names, r.ID)
		}
	}
	i := fproute.RendezvousOwner(q.ownerKey(), names)
	if i < 0 {
		return ""
	}
	return names[i]
}

// ownerKey returns the ID of the part by which a prompt gets its owner: the first with which most of
// the shared tokens are reached. A part before it, which more prompts share, would give them all one
// owner; a short one after it would spread those that share the most.
func (q Request) ownerKey() string {
	shared := SharedParts(q.Parts)
	most, sum := ownerKeyShare*float64(sumTokens(shared)), 0
	for _, p := range shared {
		if sum += p.Tokens; float64(sum) >= most {
			return p.ID
		}
	}
	return ""
}

// scoreReplica returns the choice of replica r with its predicted wait and score; isOwner says that
// r is the rendezvous hash owner of the prompt.
func (b *Balancer) scoreReplica(replicas []Replica, r Replica, q Request, link Link, isOwner bool, now time.Duration) Choice {
	l := b.loadOf(r.ID)
	c := Choice{Replica: r, Rank: q.rankFor(0), LimitWait: l.limitWait(now)}
	c.RoundTripSeconds = b.roundTripSeconds(r)
	seconds := c.RoundTripSeconds + l.decayedExcessDelay(now)
	if !r.Engine {
		plain := b.figuresOf(r.Service).plain()
		c.queuedRequests = max(l.outstandingRequests(now)+1-float64(max(r.Slots, 1)), 0)
		seconds += plain + c.queuedRequests*plain/float64(max(r.Slots, 1))
		return c.withScore(seconds, b.crossRegionCostSeconds(r))
	}
	total := sumTokens(q.Parts)
	f := b.figuresOf(r.Service)
	rate := f.rate()
	c.TokensPerSecond, c.DrainTokensPerSecond, c.FixedSeconds = rate, l.drainRate(rate), f.fixed()
	salt := q.Salt(r.Version)
	c.HitTokens = b.cacheDirectory.CachedPrefixTokens(r.ID, salt, q.Parts, now)
	transferSeconds := 0.0
	if float64(total-c.HitTokens) >= minTransferSeconds*rate {
		c.SourceAddress, c.CopiedTokens, transferSeconds = b.transferSource(replicas, r, q, salt, c.HitTokens, rate, link, now)
	}
	c.MissTokens = total - c.HitTokens - c.CopiedTokens
	computeSeconds := float64(c.MissTokens) / c.DrainTokensPerSecond
	c.Rank = q.rankFor(float64(c.MissTokens) / rate)
	c.StoreToFill = b.storeToFill(r, q, salt, now)
	credit := 0.0
	if isOwner && c.HitTokens+c.CopiedTokens < sumTokens(SharedParts(q.Parts)) {
		credit = ownerCreditWeight * float64(c.MissTokens) / rate
	}
	ahead := l.queuedTokensUpTo(c.Rank, now) + l.startedTokensBelow(c.Rank, rate, now)
	c.queuedTokens, c.nonPrefillSeconds = ahead+c.MissTokens,
		seconds+c.FixedSeconds+transferSeconds+l.outstandingRequests(now)*secondsPerRunningRequest
	seconds = c.nonPrefillSeconds + float64(c.queuedTokens)/c.DrainTokensPerSecond
	cost := b.crossRegionCostSeconds(r) + computeSeconds*recomputeCostWeight + transferSeconds*transferCostWeight - credit
	if q.RemoteLoadUnknown && r.Region != b.location.Region {
		cost += unknownLoadCostSeconds
	}
	if q.NewestVersion > r.Version && q.NewestVersionAge > staleWeightsGracePeriod {
		cost += staleWeightsCostSeconds
	}
	return c.withScore(seconds, max(cost, 0))
}

// withScore returns the choice with its wait, and its score as the sum of wait and cost; seconds is the
// wait at the replica.
func (c Choice) withScore(seconds, cost float64) Choice {
	c.PredictedWait = c.LimitWait + time.Duration(seconds*float64(time.Second))
	c.Score = c.LimitWait.Seconds() + seconds + cost
	return c
}

// transferSource returns the address of the replica of the same weights, or of the store, that
// holds the most leading prompt tokens beyond the hitTokens cached at the destination, with their
// number and the seconds to transfer them. The address is empty if no transfer is worth it; rate is
// the number of tokens that the destination computes a second.
func (b *Balancer) transferSource(replicas []Replica, destination Replica, q Request, salt string, hitTokens int, rate float64, link Link, now time.Duration) (string, int, float64) {
	address, tokens, seconds := "", 0, 0.0
	if link.MegabitsPerSecond <= 0 {
		return address, tokens, seconds
	}
	consider := func(id, sourceAddress string, megabitsPerSecond, factor float64) {
		extra := b.cacheDirectory.ConfirmedPrefixTokens(id, salt, q.Parts, now) - hitTokens
		computeSeconds := float64(extra) / rate
		if computeSeconds < minTransferSeconds {
			return
		}
		transferSeconds := float64(extra*link.BytesPerToken*8) / (megabitsPerSecond * 1e6) * factor
		transferCost, computeCost := transferSeconds*(1+transferCostWeight), computeSeconds*(1+recomputeCostWeight)
		better := extra > tokens || extra == tokens && transferSeconds < seconds
		if transferSeconds < maxTransferSeconds && transferCost < computeCost && better {
			address, tokens, seconds = sourceAddress, extra, transferSeconds
		}
	}
	for _, r := range replicas {
		// Copying from a source that is gone costs the replica hundreds of milliseconds.
		if r.ID == destination.ID || r.Version != destination.Version || r.Loading || !b.MaySend(r, now) || !b.Reachable(r.ID, now) {
			continue
		}
		consider(r.ID, r.Address, link.MegabitsPerSecond, transferFactor(r.Zone, r.Region, destination))
	}
	for _, s := range q.CacheStores {
		consider(s.ID, s.Address, min(s.MegabitsPerSecond, link.MegabitsPerSecond), transferFactor(s.Zone, s.Region, destination))
	}
	return address, tokens, seconds
}

// storeToFill returns the first store in the region of replica r that lacks some of the request's
// shared parts, or nil.
func (b *Balancer) storeToFill(r Replica, q Request, salt string, now time.Duration) *CacheStore {
	shared := SharedParts(q.Parts)
	if float64(sumTokens(shared)) < minTransferSeconds*b.figuresOf(r.Service).rate() {
		return nil
	}
	for i, s := range q.CacheStores {
		if s.Region == r.Region && b.cacheDirectory.CachedPrefixTokens(s.ID, salt, shared, now) < sumTokens(shared) {
			return &q.CacheStores[i]
		}
	}
	return nil
}

// SharedParts returns the parts of a prompt that other prompts may share: all but the last, which is
// the request's own.
func SharedParts(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

func sumTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// transferFactor returns the factor by which distance lengthens a transfer to a replica.
func transferFactor(zone, region string, to Replica) float64 {
	switch {
	case zone == to.Zone:
		return 1
	case region == to.Region:
		return crossZoneTransferFactor
	default:
		return crossRegionTransferFactor
	}
}

// crossRegionCostSeconds returns the cost of a request's bytes if the replica is in another region.
func (b *Balancer) crossRegionCostSeconds(r Replica) float64 {
	if r.Region == b.location.Region {
		return 0
	}
	return crossRegionTransferCostSeconds
}

// loadOf returns the load of a replica, which it creates if there is none.
func (b *Balancer) loadOf(id string) *replicaLoad {
	l := b.loads[id]
	if l == nil {
		l = &replicaLoad{}
		b.loads[id] = l
	}
	return l
}

// RecordDispatch records that a request was sent to the chosen replica.
func (b *Balancer) RecordDispatch(c Choice, q Request, now time.Duration) {
	l := b.loadOf(c.Replica.ID)
	l.unstartedTokens[c.Rank] += c.MissTokens
	l.ownRequests++
	l.sentSinceReport++
	l.circuit.RecordDispatch()
	if l.limit.named {
		l.limit.pace.Reserve(now)
	}
	if !c.Replica.Engine {
		return
	}
	salt := q.Salt(c.Replica.Version)
	for _, p := range q.Parts {
		if float64(p.Tokens) >= minRecordSeconds*b.figuresOf(c.Replica.Service).rate() {
			b.cacheDirectory.RecordStored(c.Replica.ID, salt, p.ID, p.Tokens, false, now)
		}
	}
	if c.StoreToFill != nil {
		for _, p := range SharedParts(q.Parts) {
			b.cacheDirectory.RecordStored(c.StoreToFill.ID, salt, p.ID, p.Tokens, false, now)
		}
	}
}

// RecordFirstByte records the first byte of an answer; waited is the time since the dispatch.
func (b *Balancer) RecordFirstByte(c Choice, waited time.Duration, now time.Duration) {
	l := b.loadOf(c.Replica.ID)
	l.removeUnstarted(c)
	if !c.Replica.Engine {
		l.updateExcessDelay((waited + c.LimitWait - c.PredictedWait).Seconds(), now)
		b.learnFromPlain(c, waited.Seconds())
	} else if c.Rank < ShortLateRank {
		b.learnFromEngine(c, waited.Seconds(), now)
	}
}

// RecordEnd records the end of a request; started says whether [Balancer.RecordFirstByte] was
// called for it.
func (b *Balancer) RecordEnd(c Choice, started bool) {
	l := b.loadOf(c.Replica.ID)
	l.ownRequests = max(l.ownRequests-1, 0)
	l.circuit.RecordAbandoned()
	if !started {
		l.removeUnstarted(c)
	}
}

// RecordSuccess records a complete answer, or the first event of a stream. The header of an answer
// is none: its body may be invalid each time.
func (b *Balancer) RecordSuccess(id string) { b.loadOf(id).circuit = fproute.CircuitBreaker{} }

// RecordFailure records that a request to a replica failed or that the replica could not be
// reached.
func (b *Balancer) RecordFailure(id string, now time.Duration) {
	b.loadOf(id).circuit.RecordFailure(time.Unix(0, int64(now)))
}

// RecordReplaced records proof that another replica uses a replica's address.
func (b *Balancer) RecordReplaced(id string, now time.Duration) {
	b.loadOf(id).circuit.Trip(time.Unix(0, int64(now)))
}

// RecordNoConnection records that no connection to a replica could be opened, and reports whether the replica
// is unreachable now and was not before.
func (b *Balancer) RecordNoConnection(id string, refused bool, now time.Duration) bool {
	c := &b.loadOf(id).circuit
	known := c.Unreachable()
	c.RecordNoConnection(refused, time.Unix(0, int64(now)))
	return !known && c.Unreachable()
}

// RecordReachable records that a connection to a replica was opened, and reports whether none could be before.
func (b *Balancer) RecordReachable(id string) bool { return b.loadOf(id).circuit.RecordReachable() }

// Unreachable reports whether the replica is left alone since no connection to it could be opened.
func (b *Balancer) Unreachable(id string) bool {
	l := b.loads[id]
	return l != nil && l.circuit.Unreachable()
}

// RecordLoadReport records a replica's own report of its running and waiting requests.
func (b *Balancer) RecordLoadReport(id string, running, waiting int, now time.Duration) {
	l := b.loadOf(id)
	l.reportedRunning, l.reportedWaiting, l.reportedAt, l.sentSinceReport = running, waiting, now, 0
}

// ForgetReplica drops the load and cache state of a replica that is gone or has restarted.
func (b *Balancer) ForgetReplica(id string) {
	delete(b.loads, id)
	b.cacheDirectory.ForgetReplica(id)
}

// OutstandingRequests returns the estimated number of requests at a replica.
func (b *Balancer) OutstandingRequests(id string, now time.Duration) float64 {
	return b.loadOf(id).outstandingRequests(now)
}

// Reachable reports whether the replica's circuit breaker lets a request through. None goes to a replica to which
// no connection could be opened, until [Balancer.RecordReachable] is called for it.
func (b *Balancer) Reachable(id string, now time.Duration) bool {
	c := &b.loadOf(id).circuit
	return !c.Unreachable() && c.AllowsDispatch(time.Unix(0, int64(now)))
}

// RecordPeerDispatch records a request that another host sent to a replica.
func (b *Balancer) RecordPeerDispatch(replica, id string, tokens, rank int, salt string, parts []Part, now time.Duration) {
	l := b.loadOf(replica)
	if l.peerRequests == nil {
		l.peerRequests = make(map[string]peerRequest)
	}
	l.peerRequests[id] = peerRequest{tokens: tokens, rank: min(max(rank, 0), LateRank), recordedAt: now}
	for _, p := range parts {
		b.cacheDirectory.RecordStored(replica, salt, p.ID, p.Tokens, false, now)
	}
}

// RecordPeerFirstByte records the first byte of the answer to another host's request, or its end.
func (b *Balancer) RecordPeerFirstByte(replica, id string) {
	delete(b.loadOf(replica).peerRequests, id)
}
