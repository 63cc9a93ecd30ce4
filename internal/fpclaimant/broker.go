package fpclaimant

import (
	"context"
	"strconv"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// directWait is how long a claim is tried at the platform by this host itself.
	directWait = 1500 * time.Millisecond
	// writersAbove is the number of other hosts from which on shards are written by one host each.
	writersAbove = 16
	// writerWait is how long a shard's writer is given before the platform is asked directly.
	writerWait = 700 * time.Millisecond
	// relayWait is how long another host is given to settle a claim.
	relayWait = time.Second
	// maxRelays bounds the hosts asked to relay one claim.
	maxRelays = 2
	// releaseWait bounds the release of a claim that was never dispatched.
	releaseWait = 2 * time.Second
	// askWait is how long one question for an answer waits at its host.
	askWait = 10 * time.Second
	// knowsWait bounds the question whether a host knows of a request.
	knowsWait = 500 * time.Millisecond
	// maxKnows bounds the hosts asked whether they know of a request.
	maxKnows = 32
)

type (
	// Member is a host as the broker needs to know it; Incarnation is its start
	// in Unix nanoseconds, or zero when it was never heard of.
	Member struct {
		Name        string
		Zone        string
		Address     string
		Incarnation uint64
		Dead        bool
	}

	// Peers calls other hosts.
	Peers interface {
		Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (Settled, error)
		Answer(ctx context.Context, address string, holder fpclaim.Claim, wait time.Duration) (State, Result, error)
		Knows(ctx context.Context, address string, key fpclaim.Key) (bool, error)
	}

	// Broker settles this host's claims by whatever way is open, and answers
	// for its own attempts.
	Broker struct {
		self     Member
		window   time.Duration
		claimant *Claimant
		answers  *Answers
		peers    Peers
		members  func() []Member
		relayed  func()
	}
)

// NewBroker returns a broker of the host self; members lists all other hosts
// known, relayed is called for each claim that another host settled.
func NewBroker(self Member, window time.Duration, c *Claimant, a *Answers, p Peers, members func() []Member, relayed func()) *Broker {
	if window == 0 {
		window = fpclaim.DefaultWindow
	}
	return &Broker{self: self, window: window, claimant: c, answers: a, peers: p, members: members, relayed: relayed}
}

// Claim settles a claim at the platform, or through hosts of other zones when
// this host cannot reach it. In a large fleet the host that writes the claim's
// shard is asked first, so that the claims of many hosts share a write; two
// hosts that take each other for it only cost a lost swap.
func (b *Broker) Claim(ctx context.Context, c fpclaim.Claim) Settled {
	if w, ok := b.writer(c.Key); ok {
		if s, err := b.peers.Claim(ctx, w.Address, c, writerWait); err == nil && s.Verdict != fpclaim.Unavailable {
			return s
		}
	}
	s := b.claimant.Settle(ctx, c, directWait)
	if s.Verdict != fpclaim.Unavailable {
		return s
	}
	for _, m := range b.relays() {
		r, err := b.peers.Claim(ctx, m.Address, c, relayWait)
		if err == nil && r.Verdict != fpclaim.Unavailable {
			b.relayed()
			return r
		}
	}
	return s
}

// writer returns the other host that writes the shard of a key, in a fleet
// large enough for that to save writes.
func (b *Broker) writer(key fpclaim.Key) (Member, bool) {
	var living []Member
	for _, m := range b.members() {
		if !m.Dead && m.Address != "" {
			living = append(living, m)
		}
	}
	if len(living) < writersAbove {
		return Member{}, false
	}
	names := []string{b.self.Name}
	for _, m := range living {
		names = append(names, m.Name)
	}
	i := fproute.Owner("claim/"+strconv.Itoa(key.Shard(b.claimant.Shards())), names)
	if i == 0 {
		return Member{}, false
	}
	return living[i-1], true
}

// relays returns a few living hosts, those of other zones first.
func (b *Broker) relays() []Member {
	var other, same []Member
	for _, m := range b.members() {
		switch {
		case m.Dead || m.Address == "":
		case m.Zone != b.self.Zone:
			other = append(other, m)
		default:
			same = append(same, m)
		}
	}
	all := append(other, same...)
	return all[:min(len(all), maxRelays)]
}

// Ask returns what became of an attempt of any host.
func (b *Broker) Ask(ctx context.Context, holder fpclaim.Claim) (State, Result) {
	if holder.Host == b.self.Name {
		ctx, cancel := context.WithTimeout(ctx, askWait)
		defer cancel()
		return b.AnswerOf(ctx, holder)
	}
	for _, m := range b.members() {
		if m.Name != holder.Host {
			continue
		}
		if m.Incarnation > holder.Incarnation {
			return Forgotten, Result{}
		}
		state, r, err := b.peers.Answer(ctx, m.Address, holder, askWait)
		if err != nil {
			return Unreachable, Result{}
		}
		return state, r
	}
	return Unreachable, Result{}
}

// NeverClaimed reports whether it is proved, without the platform, that no
// host dispatched a request: every host known answers that it knows nothing of
// it, and each of them, this one included, has lived through the whole window
// in which it could have been dispatched.
func (b *Broker) NeverClaimed(ctx context.Context, key fpclaim.Key) bool {
	members := b.members()
	if len(members) > maxKnows || !b.livedThrough(b.self) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, knowsWait)
	defer cancel()
	unknown := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			if !b.livedThrough(m) {
				unknown <- false
				return
			}
			knows, err := b.peers.Knows(ctx, m.Address, key)
			unknown <- err == nil && !knows
		}()
	}
	all := true
	for range members {
		all = <-unknown && all
	}
	return all
}

func (b *Broker) livedThrough(m Member) bool {
	return m.Incarnation != 0 && time.Since(time.Unix(0, int64(m.Incarnation))) > b.window
}

// Knows reports whether this host has dispatched, or may yet dispatch, a request.
func (b *Broker) Knows(key fpclaim.Key) bool { return b.answers.Knows(key) }

// SettleClaim settles a claim for another host.
func (b *Broker) SettleClaim(ctx context.Context, c fpclaim.Claim, wait time.Duration) Settled {
	return b.claimant.Settle(ctx, c, wait)
}

// AnswerOf tells what became of an attempt of this host. An attempt that was
// never dispatched is barred for good and its claim released.
func (b *Broker) AnswerOf(ctx context.Context, holder fpclaim.Claim) (State, Result) {
	if holder.Incarnation != b.self.Incarnation {
		return Forgotten, Result{}
	}
	e := b.answers.Find(holder.Key, holder.Attempt)
	if e == nil {
		return Forgotten, Result{}
	}
	state, result := e.Wait(ctx)
	switch {
	case state == Kept && result.Outcome.Kind() != fpoutcome.Complete:
		return Forgotten, Result{}
	case state != NeverDispatched:
		return state, result
	}
	return b.release(ctx, e)
}

// release gives up the claim of an attempt that was never dispatched.
func (b *Broker) release(ctx context.Context, e *Entry) (State, Result) {
	if !b.answers.Seal(e) {
		return Running, Result{}
	}
	s := b.claimant.Settle(ctx, fpclaim.Claim{
		Key:         e.Key,
		Body:        e.Body,
		Attempt:     e.Attempt,
		Host:        b.self.Name,
		Incarnation: b.self.Incarnation,
		At:          time.Now().UnixMilli(),
		Released:    true,
	}, releaseWait)
	if s.Verdict != fpclaim.Released {
		return Unreachable, Result{}
	}
	return NeverDispatched, Result{}
}
