package fphost

import (
	"context"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// directWait is how long a claim is tried at the platform by this host itself.
	directWait = 1500 * time.Millisecond
	// relayWait is how long another host is given to settle a claim.
	relayWait = time.Second
	// maxRelays bounds the hosts asked to relay one claim.
	maxRelays = 2
	// releaseWait bounds the release of a claim that was never dispatched.
	releaseWait = 2 * time.Second
	// askWait is how long one question for an answer waits at its host.
	askWait = 10 * time.Second
)

// Claim settles a claim at the platform, or through hosts of other zones when
// this host cannot reach it.
func (h *Host) Claim(ctx context.Context, c fpclaim.Claim) fpclaimant.Settled {
	s := h.claimant.Settle(ctx, c, directWait)
	if s.Verdict != fpclaim.Unavailable {
		return s
	}
	for _, m := range h.relays() {
		if r, err := h.peers.Claim(ctx, m.Address, c, relayWait); err == nil && r.Verdict != fpclaim.Unavailable {
			h.metrics.Count("claims_relayed", 1)
			return r
		}
	}
	return s
}

// relays returns a few living hosts, those of other zones first.
func (h *Host) relays() []fpmember.Member {
	var other, same []fpmember.Member
	for _, m := range h.state.Load().Members {
		switch {
		case m.State == fpmember.Dead || m.Address == "":
		case m.Zone != h.settings.Host.AvailabilityZone:
			other = append(other, m)
		default:
			same = append(same, m)
		}
	}
	all := append(other, same...)
	return all[:min(len(all), maxRelays)]
}

// Ask returns what became of an attempt of any host.
func (h *Host) Ask(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result) {
	if holder.Host == h.settings.Host.Name {
		ctx, cancel := context.WithTimeout(ctx, askWait)
		defer cancel()
		return h.AnswerOf(ctx, holder)
	}
	for _, m := range h.state.Load().Members {
		if m.Name != holder.Host {
			continue
		}
		if m.Incarnation > holder.Incarnation {
			return fpclaimant.Forgotten, fpclaimant.Result{}
		}
		state, r, err := h.peers.Answer(ctx, m.Address, holder, askWait)
		if err != nil {
			return fpclaimant.Unreachable, fpclaimant.Result{}
		}
		return state, r
	}
	return fpclaimant.Unreachable, fpclaimant.Result{}
}

// SettleClaim settles a claim for another host.
func (h *Host) SettleClaim(ctx context.Context, c fpclaim.Claim, wait time.Duration) fpclaimant.Settled {
	return h.claimant.Settle(ctx, c, wait)
}

// AnswerOf tells what became of an attempt of this host. An attempt that was
// never dispatched is barred for good and its claim released.
func (h *Host) AnswerOf(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result) {
	if holder.Incarnation != h.incarnation {
		return fpclaimant.Forgotten, fpclaimant.Result{}
	}
	e := h.answers.Find(holder.Key, holder.Attempt)
	if e == nil {
		return fpclaimant.Forgotten, fpclaimant.Result{}
	}
	state, result := e.Wait(ctx)
	switch {
	case state == fpclaimant.Kept && result.Outcome.Kind() != fpoutcome.Complete:
		return fpclaimant.Forgotten, fpclaimant.Result{}
	case state != fpclaimant.NeverDispatched:
		return state, result
	}
	return h.release(ctx, e)
}

// release gives up the claim of an attempt that was never dispatched.
func (h *Host) release(ctx context.Context, e *fpclaimant.Entry) (fpclaimant.State, fpclaimant.Result) {
	if !h.answers.Seal(e) {
		return fpclaimant.Forgotten, fpclaimant.Result{}
	}
	s := h.claimant.Settle(ctx, fpclaim.Claim{
		Key:         e.Key,
		Body:        e.Body,
		Attempt:     e.Attempt,
		Host:        h.settings.Host.Name,
		Incarnation: h.incarnation,
		At:          time.Now().UnixMilli(),
		Released:    true,
	}, releaseWait)
	if s.Verdict != fpclaim.Released {
		return fpclaimant.Unreachable, fpclaimant.Result{}
	}
	return fpclaimant.NeverDispatched, fpclaimant.Result{}
}
