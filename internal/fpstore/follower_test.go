package fpstore_test

import (
	"context"
	"fmt"
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
			FetchFromPeer: func(_ context.Context, after fpstore.Position) (fpstore.Update, bool) {
				return fpstore.Update{Position: fpstore.Position{Revision: after.Revision + 5}, SentAt: clock()}, peerReachable
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

// TestFollowerListsRestoredStore restores the store from a copy while a watch waits or none does, and
// assigns the follower's revision again before or after its next call. All later changes must arrive.
func TestFollowerListsRestoredStore(t *testing.T) {
	const keys = 6
	tests := map[string]struct{ before, after int }{
		"fewer changes than were lost":  {before: 1, after: 1},
		"as many changes as were lost":  {before: 2, after: 1},
		"more changes than were lost":   {before: keys},
		"all changes after a next call": {after: keys},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				memory := fpmemory.New()
				put := func(key string, value byte) {
					_, err := memory.Commit(fpstore.Transaction{Puts: []fpstore.Put{{Key: key, Value: []byte{value}}}}, time.Now())
					is.NoErr(err)
				}
				seen := make(map[string]byte)
				f := &fpstore.Follower{
					Store: fpmemory.Direct{Store: memory}, Clock: func() time.Duration { return time.Since(start) },
					Deliver: func(u fpstore.Update) {
						for _, i := range u.Items {
							seen[i.Key] = i.Value[0]
						}
					},
				}
				ctx, cancel := context.WithCancel(context.Background())
				go func() { _ = f.Run(ctx) }()
				c := memory.Snapshot()
				for i := range 3 {
					put(fmt.Sprint("lost/", i), 1)
				}
				time.Sleep(3 * time.Second)
				memory.Restore(c, time.Now())
				for i := range tt.before {
					put(fmt.Sprint("new/", i), 2)
				}
				time.Sleep(3 * time.Second)
				for i := range tt.after {
					put(fmt.Sprint("later/", i), 3)
				}
				time.Sleep(3 * time.Second)
				for i := range tt.before {
					is.Equal(seen[fmt.Sprint("new/", i)], byte(2))
				}
				for i := range tt.after {
					is.Equal(seen[fmt.Sprint("later/", i)], byte(3))
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
