package fpbalance

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// prefillRate is the prompt tokens that an engine reads a second: pieces of
	// 1,024 at the lower of the users' two rates (112 tokens a millisecond), with a
	// step's 3.4 ms and the work on the pairs of tokens.
	prefillRate = 64_000
	// runningSeconds is what each request at an engine adds to a new one's wait: a
	// step of 3.4 ms and its share of the steps around (users' engines).
	runningSeconds = 0.006
	// plainSeconds is the work of a plain request (15 to 30 ms in the users' tables).
	plainSeconds = 0.025
	// Round trips by distance, from the users' places.
	zoneSeconds   = 0.0005
	regionSeconds = 0.004
	remoteSeconds = 0.062
	// remoteBytesSeconds is what the bytes of a request to another region cost
	// beside the time.
	remoteBytesSeconds = 0.02
	// blindSeconds is added for a region whose load is not heard of.
	blindSeconds = 0.15
	// recomputeWeight is what a computed token costs others that wait behind it.
	recomputeWeight = 1.5
	// homeCredit is the part of a prompt that the home of its first part is
	// believed to hold without evidence, so that all hosts choose alike.
	homeCredit = 1.5
	// staleAfter is the age of a newer version from which answers on older weights lose worth.
	staleAfter = 1200 * time.Millisecond
	// staleSeconds is what an answer on older weights costs, in seconds of waiting.
	staleSeconds = 0.25
	// zoneFactor and regionFactor lengthen the move of cached tokens.
	zoneFactor   = 2
	regionFactor = 10
	// moveLimit is the longest move that is worth starting.
	moveLimit = 0.6
	// moveWeight is what a second of moving costs beside the wait: it takes a link
	// and no engine.
	moveWeight = 0.2
	// longTokens is more than the own part of the users' long prompts and less than
	// one with its shared part (3,720 and 13,300 tokens on average).
	longTokens = 10_000
	// minCopyTokens is the least number of tokens that is worth a move.
	minCopyTokens = 1024
)

type (
	// Balancer is one host's state; it is not safe for concurrent use.
	Balancer struct {
		place     Place
		directory *Directory
		loads     map[string]*load
	}
)

// New returns the balancer of a host at a place.
func New(place Place) *Balancer {
	return &Balancer{place: place, directory: NewDirectory(), loads: make(map[string]*load)}
}

// Directory returns what is believed cached where, for events to correct.
func (b *Balancer) Directory() *Directory { return b.directory }

// Choose returns the replica to send a request to. A request whose first token
// can't come within its objective is ranked behind all that can: when load is
// at its worst a queue in order of arrival would make every answer late.
func (b *Balancer) Choose(replicas []Replica, q Request, link Link, now time.Duration) (Choice, error) {
	c, err := b.best(replicas, q, link, now)
	if q.Objective == 0 || errors.Is(err, ErrNoReplica) || !c.Replica.Engine || c.Wait <= q.Objective-q.Waited {
		return c, err
	}
	q.late = true
	return b.best(replicas, q, link, now)
}

// rank returns the priority of a request with so many tokens to compute. Short
// ones go first: at the same load more callers are answered in time, and a long
// one that waits for them waits little longer.
func (q Request) rank(miss int) int {
	long := miss > longTokens
	switch {
	case q.late && long:
		return LateRank
	case q.late:
		return ShortLateRank
	case long:
		return min(max(q.LongRank, q.Rank), ShortLateRank)
	default:
		return min(q.Rank, ShortLateRank)
	}
}

// best returns the replica with the least score for a request.
func (b *Balancer) best(replicas []Replica, q Request, link Link, now time.Duration) (Choice, error) {
	home := b.home(replicas, q)
	best := Choice{Score: -1}
	for _, r := range replicas {
		if r.Loading || r.Engine && r.Version < q.Oldest || slices.Contains(q.Exclude, r.ID) || !b.load(r.ID).circuit.Allows(time.Unix(0, int64(now))) {
			continue
		}
		c := b.predict(replicas, r, q, link, r.ID == home, now)
		if best.Score < 0 || c.Score < best.Score {
			best = c
		}
	}
	switch {
	case best.Score < 0:
		return best, ErrNoReplica
	case best.Wait > q.Left:
		return best, ErrLate
	}
	return best, nil
}

// home returns the replica that all hosts choose for a prompt's first part
// without knowledge: the one with the highest rendezvous hash.
func (b *Balancer) home(replicas []Replica, q Request) string {
	if len(q.Parts) < 2 || q.Parts[0].Tokens < minCopyTokens {
		return ""
	}
	names := make([]string, 0, len(replicas))
	for _, r := range replicas {
		names = append(names, r.ID)
	}
	i := fproute.Owner(q.Parts[0].ID, names)
	if i < 0 {
		return ""
	}
	return names[i]
}

func (b *Balancer) predict(replicas []Replica, r Replica, q Request, link Link, home bool, now time.Duration) Choice {
	c := Choice{Replica: r, Rank: q.rank(0)}
	l := b.load(r.ID)
	seconds := b.distance(r) + l.lag(now)
	if !r.Engine {
		over := l.work(now) + 1 - float64(max(r.Slots, 1))
		seconds += plainSeconds + max(over, 0)*plainSeconds/float64(max(r.Slots, 1))
		return c.with(seconds, b.remoteCost(r))
	}
	total := tokensOf(q.Parts)
	salt := q.Salt(r.Version)
	c.Hit = b.directory.Leading(r.ID, salt, q.Parts, now)
	move := 0.0
	if total-c.Hit >= minCopyTokens {
		c.Source, c.Copied, move = b.source(replicas, r, q, salt, c.Hit, link, now)
	}
	c.Miss = total - c.Hit - c.Copied
	c.Rank = q.rank(c.Miss)
	c.Save = b.save(r, q, salt, now)
	credit := 0.0
	if home && c.Hit == 0 && c.Copied == 0 {
		credit = homeCredit * float64(c.Miss) / prefillRate
	}
	rate := l.tokensPerSecond()
	compute := float64(c.Miss) / rate
	ahead := l.ahead(c.Rank, now) + l.under(c.Rank, now)
	c.queued, c.base = ahead+c.Miss, seconds+move+l.work(now)*runningSeconds
	seconds = c.base + float64(c.queued)/rate
	cost := b.remoteCost(r) + compute*recomputeWeight + move*moveWeight - credit
	if q.Blind && r.Region != b.place.Region {
		cost += blindSeconds
	}
	if q.Newest > r.Version && q.NamedFor > staleAfter {
		cost += staleSeconds
	}
	return c.with(seconds, max(cost, 0))
}

func (c Choice) with(seconds, cost float64) Choice {
	c.Wait = time.Duration(seconds * float64(time.Second))
	c.Score = seconds + cost
	return c
}

// source returns the replica of the same weights that holds most of the prompt
// beyond what the chosen one holds, and the time to move it.
func (b *Balancer) source(replicas []Replica, to Replica, q Request, salt string, hit int, link Link, now time.Duration) (string, int, float64) {
	address, tokens, seconds := "", 0, 0.0
	if link.Megabits <= 0 {
		return address, tokens, seconds
	}
	consider := func(id, from string, megabits, factor float64) {
		more := b.directory.LeadingSure(id, salt, q.Parts, now) - hit
		if more < minCopyTokens {
			return
		}
		move := float64(more*link.BytesPerToken*8) / (megabits * 1e6) * factor
		better := more > tokens || more == tokens && move < seconds
		if move < moveLimit && move < float64(more)/prefillRate && better {
			address, tokens, seconds = from, more, move
		}
	}
	for _, r := range replicas {
		// A source that is gone costs the replica hundreds of milliseconds.
		if r.ID == to.ID || r.Version != to.Version || r.Loading || !b.Reachable(r.ID, now) {
			continue
		}
		consider(r.ID, r.Address, link.Megabits, factor(r.Zone, r.Region, to))
	}
	for _, s := range q.Stores {
		consider(s.ID, s.Address, min(s.Megabits, link.Megabits), factor(s.Zone, s.Region, to))
	}
	return address, tokens, seconds
}

// save returns the store that should get the parts that others share, unless it
// is believed to hold them or lies in another region.
func (b *Balancer) save(r Replica, q Request, salt string, now time.Duration) *CacheStore {
	shared := q.shared()
	if len(shared) == 0 {
		return nil
	}
	for i, s := range q.Stores {
		if s.Region == r.Region && b.directory.Leading(s.ID, salt, shared, now) < tokensOf(shared) {
			return &q.Stores[i]
		}
	}
	return nil
}

// shared returns the leading parts that are long enough to be worth keeping; the
// last part is the request's own.
func (q Request) shared() []Part {
	if len(q.Parts) < 2 || tokensOf(q.Parts[:len(q.Parts)-1]) < minCopyTokens {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

func tokensOf(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// factor returns how much longer a move from a place to a replica takes.
func factor(zone, region string, to Replica) float64 {
	switch {
	case zone == to.Zone:
		return 1
	case region == to.Region:
		return zoneFactor
	default:
		return regionFactor
	}
}

func (b *Balancer) distance(r Replica) float64 {
	switch {
	case r.Zone == b.place.Zone:
		return zoneSeconds
	case r.Region == b.place.Region:
		return regionSeconds
	default:
		return remoteSeconds
	}
}

func (b *Balancer) remoteCost(r Replica) float64 {
	if r.Region == b.place.Region {
		return 0
	}
	return remoteBytesSeconds
}

func (b *Balancer) load(id string) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// Sent records that a request was sent to the chosen replica.
func (b *Balancer) Sent(c Choice, q Request, now time.Duration) {
	l := b.load(c.Replica.ID)
	l.unstarted[c.Rank] += c.Miss
	l.running++
	l.sentSince++
	l.circuit.Dispatched()
	if !c.Replica.Engine {
		return
	}
	salt := q.Salt(c.Replica.Version)
	for _, p := range q.Parts {
		if p.Tokens >= minCopyTokens/8 {
			b.directory.Stored(c.Replica.ID, salt, p.ID, p.Tokens, false, now)
		}
	}
	if c.Save != nil {
		for _, p := range q.shared() {
			b.directory.Stored(c.Save.ID, salt, p.ID, p.Tokens, false, now)
		}
	}
}

// Started records the first byte of an answer, after a wait.
func (b *Balancer) Started(c Choice, waited time.Duration, now time.Duration) {
	l := b.load(c.Replica.ID)
	l.started(c)
	l.circuit = fproute.Circuit{}
	if !c.Replica.Engine {
		l.observe((waited - c.Wait).Seconds(), now)
	} else if c.Rank < ShortLateRank {
		l.learnRate(c.queued, waited.Seconds()-c.base)
	}
}

// Ended records the end of a request; started says whether Started was called.
func (b *Balancer) Ended(c Choice, started bool) {
	l := b.load(c.Replica.ID)
	l.running = max(l.running-1, 0)
	if !started {
		l.started(c)
		l.circuit.Abandoned()
	}
}

// Failed records that a replica broke a request or could not be reached.
func (b *Balancer) Failed(id string, now time.Duration) {
	b.load(id).circuit.Failed(time.Unix(0, int64(now)))
}

// Down records proof that a replica is gone: nobody listens at its address, or
// another replica does.
func (b *Balancer) Down(id string, now time.Duration) {
	b.load(id).circuit.Down(time.Unix(0, int64(now)))
}

// Reported records a replica's own word of its running and waiting requests.
func (b *Balancer) Reported(id string, running, waiting int, now time.Duration) {
	l := b.load(id)
	l.reported, l.waiting, l.at, l.sentSince = running, waiting, now, 0
}

// Forget drops what is known of a replica that is gone or started anew.
func (b *Balancer) Forget(id string) {
	delete(b.loads, id)
	b.directory.Forget(id)
}

// Work returns the number of requests believed to be at a replica.
func (b *Balancer) Work(id string, now time.Duration) float64 { return b.load(id).work(now) }

// Reachable reports whether a replica may be tried: its last requests did not all fail.
func (b *Balancer) Reachable(id string, now time.Duration) bool {
	return b.load(id).circuit.Allows(time.Unix(0, int64(now)))
}

// Heard records work that another host sent to a replica.
func (b *Balancer) Heard(replica, id string, tokens, rank int, salt string, parts []Part, now time.Duration) {
	l := b.load(replica)
	if l.others == nil {
		l.others = make(map[string]heardWork)
	}
	l.others[id] = heardWork{tokens: tokens, rank: min(max(rank, 0), LateRank), at: now}
	for _, p := range parts {
		b.directory.Stored(replica, salt, p.ID, p.Tokens, false, now)
	}
}

// HeardBegun records that another host's work has begun to be answered.
func (b *Balancer) HeardBegun(replica, id string) { delete(b.load(replica).others, id) }
