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
	// directClaimTimeout bounds this host's own attempt to settle a claim at the platform.
	directClaimTimeout = 1500 * time.Millisecond
	// minPeersForShardWriter is the number of other hosts from which on each shard
	// is written by one host.
	minPeersForShardWriter = 16
	// shardWriterTimeout bounds the call to a shard's writer, before this host uses
	// the platform itself.
	shardWriterTimeout = 700 * time.Millisecond
	// claimRelayTimeout bounds the call by which another host settles a claim for this one.
	claimRelayTimeout = time.Second
	// maxRelays is the maximum number of hosts asked to relay one claim.
	maxRelays = 2
	// releaseTimeout bounds the release of a claim that was never dispatched.
	releaseTimeout = 2 * time.Second
	// attemptResultTimeout bounds one query for an attempt's result at its host.
	attemptResultTimeout = 10 * time.Second
	// dispatchQueryTimeout bounds the query whether a host may have dispatched a request.
	dispatchQueryTimeout = 500 * time.Millisecond
	// maxDispatchQueryHosts is the largest number of other hosts for which that query is
	// made; in a larger fleet ProvenNeverDispatched reports false.
	maxDispatchQueryHosts = 32
)

type (
	// Member describes a host; Incarnation is its start time in Unix nanoseconds,
	// or zero when it never sent a heartbeat. StartedAt, set for this host alone, is the same moment
	// with a monotonic reading, which a change of the time of day leaves as it is.
	Member struct {
		Name        string
		Zone        string
		Address     string
		Incarnation uint64
		StartedAt   time.Time
		Dead        bool
	}

	// Peers makes calls to other hosts.
	Peers interface {
		Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (ClaimResult, error)
		Answer(ctx context.Context, address string, holder fpclaim.Claim, wait time.Duration) (State, Result, error)
		MayHaveDispatched(ctx context.Context, address string, key fpclaim.Key) (bool, error)
	}

	// Broker settles this host's claims directly or through other hosts, and
	// reports the results of its own attempts.
	Broker struct {
		self      Member
		window    time.Duration
		claimant  *Claimant
		attempts  *AttemptTable
		peers     Peers
		members   func() []Member
		onRelayed func()
	}
)

// NewBroker returns the broker of the host self. The function members returns all
// other known hosts; onRelayed is called for each claim that was relayed because
// this host could not settle it.
func NewBroker(self Member, window time.Duration, c *Claimant, a *AttemptTable, p Peers, members func() []Member, onRelayed func()) *Broker {
	if window == 0 {
		window = fpclaim.DefaultWindow
	}
	return &Broker{self: self, window: window, claimant: c, attempts: a, peers: p, members: members, onRelayed: onRelayed}
}

// Claim settles a claim at the platform, or through other hosts, those of other
// zones first, when this host cannot reach it. In a large fleet the writer of the
// claim's shard is asked before that, so that the claims of many hosts share one
// write. If hosts disagree on which of them is the writer, the cost is a failed
// compare-and-swap.
func (b *Broker) Claim(ctx context.Context, c fpclaim.Claim) ClaimResult {
	if w, ok := b.shardWriter(c.Key); ok {
		if s, err := b.peers.Claim(ctx, w.Address, c, shardWriterTimeout); err == nil && s.Verdict != fpclaim.Unavailable {
			return s
		}
	}
	s := b.claimant.SettleClaim(ctx, c, directClaimTimeout)
	if s.Verdict != fpclaim.Unavailable {
		return s
	}
	for _, m := range b.relayCandidates() {
		r, err := b.peers.Claim(ctx, m.Address, c, claimRelayTimeout)
		if err == nil && r.Verdict != fpclaim.Unavailable {
			b.onRelayed()
			return r
		}
	}
	return s
}

// shardWriter returns the host that writes the shard of a key, chosen by
// rendezvous hashing. It returns false when that is this host, or when the fleet
// is too small for a single writer to save writes.
func (b *Broker) shardWriter(key fpclaim.Key) (Member, bool) {
	var live []Member
	for _, m := range b.members() {
		if !m.Dead && m.Address != "" {
			live = append(live, m)
		}
	}
	if len(live) < minPeersForShardWriter {
		return Member{}, false
	}
	names := []string{b.self.Name}
	for _, m := range live {
		names = append(names, m.Name)
	}
	owner := fproute.RendezvousOwner("claim/"+strconv.Itoa(key.Shard(b.claimant.Shards())), names)
	if owner == 0 {
		return Member{}, false
	}
	return live[owner-1], true
}

// relayCandidates returns at most maxRelays live hosts, those of other zones first.
func (b *Broker) relayCandidates() []Member {
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

// FetchAttemptResult returns the state and result of an attempt of any host.
func (b *Broker) FetchAttemptResult(ctx context.Context, holder fpclaim.Claim) (State, Result) {
	if holder.Host == b.self.Name {
		ctx, cancel := context.WithTimeout(ctx, attemptResultTimeout)
		defer cancel()
		return b.LocalAttemptResult(ctx, holder)
	}
	for _, m := range b.members() {
		if m.Name != holder.Host {
			continue
		}
		if m.Incarnation > holder.Incarnation {
			return ResultUnknown, Result{}
		}
		state, r, err := b.peers.Answer(ctx, m.Address, holder, attemptResultTimeout)
		if err != nil {
			return Unreachable, Result{}
		}
		return state, r
	}
	return Unreachable, Result{}
}

// ProvenNeverDispatched reports whether it is proven, without the platform, that no host
// dispatched a request: every other known host answers that it has not, and each
// host, this one included, has been up for the whole window in which the request
// could have been dispatched.
func (b *Broker) ProvenNeverDispatched(ctx context.Context, key fpclaim.Key) bool {
	members := b.members()
	if len(members) > maxDispatchQueryHosts || !b.upForWholeWindow(b.self) || !b.knowsWholeWindow() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dispatchQueryTimeout)
	defer cancel()
	ruledOut := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			if !b.upForWholeWindow(m) {
				ruledOut <- false
				return
			}
			mayHave, err := b.peers.MayHaveDispatched(ctx, m.Address, key)
			ruledOut <- err == nil && !mayHave
		}()
	}
	all := true
	for range members {
		all = <-ruledOut && all
	}
	return all
}

// upForWholeWindow reports whether a host's incarnation, as far as this host has heard, is older than
// the window.
func (b *Broker) upForWholeWindow(m Member) bool {
	return m.Incarnation != 0 && time.Since(time.Unix(0, int64(m.Incarnation))) > b.window
}

// knowsWholeWindow reports whether this process has run for longer than the window and still has all
// attempts of it. A host answers this for itself, since others may not have heard of its restart yet.
func (b *Broker) knowsWholeWindow() bool {
	return !b.self.StartedAt.IsZero() && time.Since(b.self.StartedAt) > b.window && !b.attempts.HasForgotten(b.window)
}

// MayHaveDispatched reports whether this host may have dispatched a request within the window, or may
// still do so; it may have if this process doesn't know the whole window.
func (b *Broker) MayHaveDispatched(key fpclaim.Key) bool {
	return !b.knowsWholeWindow() || b.attempts.MayHaveDispatched(key)
}

// SettleClaim settles a claim at the platform on behalf of another host.
func (b *Broker) SettleClaim(ctx context.Context, c fpclaim.Claim, wait time.Duration) ClaimResult {
	return b.claimant.SettleClaim(ctx, c, wait)
}

// LocalAttemptResult returns the state and result of an attempt of this host. An attempt
// that was never dispatched is sealed, so that it can't be dispatched later, and
// its claim is released.
func (b *Broker) LocalAttemptResult(ctx context.Context, holder fpclaim.Claim) (State, Result) {
	if holder.Incarnation != b.self.Incarnation {
		return ResultUnknown, Result{}
	}
	e := b.attempts.Find(holder.Key, holder.Attempt)
	if e == nil {
		return ResultUnknown, Result{}
	}
	state, result := e.Wait(ctx)
	switch {
	case state == Kept && result.Outcome.Kind() != fpoutcome.Complete:
		return ResultUnknown, Result{}
	case state != NeverDispatched:
		return state, result
	}
	return b.releaseUndispatched(ctx, e)
}

// releaseUndispatched seals an attempt that was never dispatched and releases its claim.
func (b *Broker) releaseUndispatched(ctx context.Context, e *Entry) (State, Result) {
	if !b.attempts.Seal(e) {
		return Running, Result{}
	}
	s := b.claimant.SettleClaim(ctx, fpclaim.Claim{
		Key:         e.Key,
		Body:        e.Body,
		Attempt:     e.Attempt,
		Host:        b.self.Name,
		Incarnation: b.self.Incarnation,
		At:          time.Now().UnixMilli(),
		Released:    true,
	}, releaseTimeout)
	if s.Verdict != fpclaim.Released {
		return Unreachable, Result{}
	}
	return NeverDispatched, Result{}
}
