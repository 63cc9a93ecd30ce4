package fpclaimant

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

// brokerPeers passes queries to one other host's broker.
type brokerPeers struct {
	Peers
	broker *Broker
}

// MayHaveDispatched asks the other host's broker.
func (p brokerPeers) MayHaveDispatched(_ context.Context, _ string, key fpclaim.Key) (bool, error) {
	return p.broker.MayHaveDispatched(key), nil
}

// TestNotRunSaidAfterRestart checks that no host takes part in the proof that a request never ran while it
// knows less than the window, whatever the start that other hosts or the time of day give it.
func TestNotRunSaidAfterRestart(t *testing.T) {
	const window = 15 * time.Minute
	now := time.Now()
	long := now.Add(-2 * window)
	tests := map[string]struct {
		selfIncarnation, selfStartedAt time.Time
		peerIncarnation, peerStartedAt time.Time
		want                           bool
	}{
		"both up for the window":                            {long, long, long, long, true},
		"this host restarted":                               {now, now, long, long, false},
		"time of day set forward since this host's start":   {long, now, long, long, false},
		"peer restarted":                                    {long, long, now, now, false},
		"peer restarted, its heartbeat not here yet":        {long, long, long, now, false},
		"time of day set back since the start of this host": {now.Add(window), long, long, long, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			peer := Member{Name: "b", Address: "b", Incarnation: uint64(tt.peerIncarnation.UnixNano()), StartedAt: tt.peerStartedAt}
			self := Member{Name: "a", Incarnation: uint64(tt.selfIncarnation.UnixNano()), StartedAt: tt.selfStartedAt}
			none := func() []Member { return nil }
			other := NewBroker(peer, window, nil, NewAttemptTable(1, 1<<20), nil, none, nil)
			peer.StartedAt = time.Time{}
			b := NewBroker(self, window, nil, NewAttemptTable(1, 1<<20), brokerPeers{broker: other}, func() []Member { return []Member{peer} }, nil)
			is.New(t).Equal(b.ProvenNeverDispatched(context.Background(), fpclaim.NewKey("t", "r")), tt.want)
		})
	}
}

// TestNotRunSaidOfForgottenAttempt checks that a host whose table is full doesn't take a request that it ran
// and forgot for one that never ran, until the window has passed.
func TestNotRunSaidOfForgottenAttempt(t *testing.T) {
	const window = 15 * time.Minute
	tests := map[string]struct {
		end     func(*AttemptTable, *Entry)
		later   time.Duration
		atPeer  bool
		hasNext bool
		want    bool
	}{
		"forgotten here":                     {dispatchAndEnd, 0, false, true, false},
		"forgotten by a peer":                {dispatchAndEnd, 0, true, true, false},
		"forgotten longer ago than a window": {dispatchAndEnd, window + time.Second, false, true, true},
		"kept by a peer":                     {dispatchAndEnd, 0, true, false, false},
		"never dispatched, forgotten":        {endAndSeal, 0, false, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				long := time.Now().Add(-2 * window)
				own, peers := NewAttemptTable(1, 1<<20), NewAttemptTable(1, 1<<20)
				table := own
				if tt.atPeer {
					table = peers
				}
				key := fpclaim.NewKey("t", "r")
				e, _ := table.BeginAttempt(key, 1, "first")
				tt.end(table, e)
				if tt.hasNext {
					next, _ := table.BeginAttempt(fpclaim.NewKey("t", "next"), 1, "next")
					endAndSeal(table, next)
				}
				time.Sleep(tt.later)
				peer := Member{Name: "b", Address: "b", Incarnation: uint64(long.UnixNano()), StartedAt: long}
				other := NewBroker(peer, window, nil, peers, nil, func() []Member { return nil }, nil)
				self := Member{Name: "a", Incarnation: uint64(long.UnixNano()), StartedAt: long}
				b := NewBroker(self, window, nil, own, brokerPeers{broker: other}, func() []Member { return []Member{peer} }, nil)
				is.New(t).Equal(b.ProvenNeverDispatched(context.Background(), key), tt.want)
			})
		})
	}
}
