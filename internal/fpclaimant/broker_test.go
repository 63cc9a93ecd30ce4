package fpclaimant

import (
	"context"
	"testing"
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
			other := NewBroker(peer, window, nil, NewAttemptTable(1), nil, none, nil)
			peer.StartedAt = time.Time{}
			b := NewBroker(self, window, nil, NewAttemptTable(1), brokerPeers{broker: other}, func() []Member { return []Member{peer} }, nil)
			is.New(t).Equal(b.ProvenNeverDispatched(context.Background(), fpclaim.NewKey("t", "r")), tt.want)
		})
	}
}
