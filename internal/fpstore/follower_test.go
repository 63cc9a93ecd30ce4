package fpstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestFollowerBackoff lets the store fail for ten seconds. Calls to it must back off
// to the longest pause, while an update from a peer is still taken within the peer
// interval.
func TestFollowerBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const peerInterval, maxBackoff = 600 * time.Millisecond, 2 * time.Second
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		memory := fpmemory.New()
		storeDown, calls, peerReachable := false, 0, false
		store := fpmemory.Direct{Store: memory, BeforeCall: func(context.Context, bool) (bool, error) {
			calls++
			if storeDown {
				return false, fpstore.ErrRefused
			}
			return true, nil
		}}
		var updates []fpstore.Update
		f := &fpstore.Follower{
			Store: store, Clock: clock,
			Deliver: func(u fpstore.Update) { updates = append(updates, u) },
			Intervals: func() fpstore.PollIntervals {
				return fpstore.PollIntervals{WatchWait: time.Second, BatchDelay: peerInterval, PeerInterval: peerInterval, MaxBackoff: maxBackoff}
			},
			FetchFromPeer: func(_ context.Context, after int64) (fpstore.Update, bool) {
				return fpstore.Update{Position: fpstore.Position{Revision: after + 5}, SentAt: clock()}, peerReachable
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		is.True(updates[0].Complete)

		storeDown, calls = true, 0
		time.Sleep(10 * time.Second)
		is.True(calls <= 12) // six doublings up to the longest pause, then one call for each pause
		is.True(updates[len(updates)-1].Err != nil)

		peerReachable, calls = true, 0
		peerReachableSince := time.Now()
		for updates[len(updates)-1].Err != nil && time.Since(peerReachableSince) < maxBackoff {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(peerReachableSince) <= peerInterval+10*time.Millisecond)
		last := updates[len(updates)-1].Position.Revision
		time.Sleep(2 * peerInterval)
		is.True(updates[len(updates)-1].Position.Revision > last)
		is.Equal(calls, 0)
		cancel()
		synctest.Wait()
	})
}
