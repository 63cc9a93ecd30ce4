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

// TestFollowerBackoff lets the store fail for ten seconds: it is called at the
// pace of the longest pause, and news of another host is taken at once.
func TestFollowerBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ask, backoff = 600 * time.Millisecond, 2 * time.Second
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		memory := fpmemory.New()
		down, calls, near := false, 0, false
		store := fpmemory.Direct{Store: memory, Reach: func(context.Context, bool) (bool, error) {
			calls++
			if down {
				return false, fpstore.ErrRefused
			}
			return true, nil
		}}
		var updates []fpstore.Update
		f := &fpstore.Follower{
			Store: store, Clock: clock,
			Deliver: func(u fpstore.Update) { updates = append(updates, u) },
			Pace: func() fpstore.Pace {
				return fpstore.Pace{Wait: time.Second, Gather: ask, Ask: ask, Backoff: backoff}
			},
			Nearby: func(_ context.Context, after int64) (fpstore.Update, bool) {
				return fpstore.Update{Revision: after + 5, Sent: clock()}, near
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		is.True(updates[0].Complete)

		down, calls = true, 0
		time.Sleep(10 * time.Second)
		is.True(calls <= 12) // six doublings up to the pause, then one a pause
		is.True(updates[len(updates)-1].Err != nil)

		near, calls = true, 0
		regained := time.Now()
		for updates[len(updates)-1].Err != nil && time.Since(regained) < backoff {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(regained) <= ask+10*time.Millisecond)
		last := updates[len(updates)-1].Revision
		time.Sleep(2 * ask)
		is.True(updates[len(updates)-1].Revision > last)
		is.Equal(calls, 0)
		cancel()
		synctest.Wait()
	})
}
