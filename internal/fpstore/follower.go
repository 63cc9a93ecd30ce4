package fpstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// defaultWatchWait is how long a watch waits for an event by default.
	defaultWatchWait = 1500 * time.Millisecond
	// watchGracePeriod is how much longer than its wait a watch may take before it counts as lost.
	watchGracePeriod = 700 * time.Millisecond
	// pageTimeout bounds the read of one page.
	pageTimeout = 2 * time.Second
	// defaultBatchDelay and defaultPeerInterval are far below the seconds within which
	// users want a change to take effect.
	defaultBatchDelay   = 500 * time.Millisecond
	defaultPeerInterval = 500 * time.Millisecond
	// initialBackoff is the pause after a failed call; it doubles with each further failure.
	initialBackoff    = 50 * time.Millisecond
	defaultMaxBackoff = 500 * time.Millisecond
)

type (
	// Update is a complete list of the keys or the latest changes, with the time at
	// which the call that returned them was sent. Err is set if that call failed.
	Update struct {
		Items    []Item
		Complete bool
		Revision int64
		Sent     time.Duration
		Err      error
	}

	// Pace holds the intervals that limit how often the store is called.
	Pace struct {
		// Wait is how long a watch waits for an event. While it waits, it gives no
		// evidence of the store's current state.
		Wait time.Duration
		// Gather is the pause after a batch of events, so that changes in quick
		// succession cost one call rather than one each.
		Gather time.Duration
		// Ask is the interval between two requests to a peer.
		Ask time.Duration
		// Backoff is the longest pause after a failed call.
		Backoff time.Duration
	}

	// Follower delivers all keys under a prefix and every later change of them.
	Follower struct {
		Store  Store
		Prefix string
		Clock  fpclock.Clock
		// Pace returns the current intervals; nil means the defaults.
		Pace func() Pace
		// Nearby fetches the changes after a revision from a peer instead of the store.
		// If it is nil or returns false, the follower calls the store.
		Nearby func(ctx context.Context, after int64) (Update, bool)
		// Deliver is called from Run with each update, in order.
		Deliver func(Update)
	}
)

// Run lists the prefix once and then watches it until the context ends. It lists
// the prefix again if the store compacted the history in the meantime.
func (f *Follower) Run(ctx context.Context) error {
	intervals := f.Pace
	if intervals == nil {
		intervals = func() Pace {
			return Pace{Wait: defaultWatchWait, Gather: defaultBatchDelay, Ask: defaultPeerInterval, Backoff: defaultMaxBackoff}
		}
	}
	after := int64(-1)
	backoff := initialBackoff
	retryAt := f.Clock()
	for ctx.Err() == nil {
		if u, ok := f.fetchFromPeer(ctx, after); ok {
			f.Deliver(u)
			after, backoff = u.Revision, initialBackoff
			fpclock.Sleep(ctx, intervals().Ask)
			continue
		}
		if remaining := retryAt - f.Clock(); remaining > 0 {
			// A peer may reach the store before this host's backoff is over.
			fpclock.Sleep(ctx, min(remaining, intervals().Ask))
			continue
		}
		u := f.fetchUpdate(ctx, after, intervals().Wait)
		if ctx.Err() != nil {
			return nil
		}
		f.Deliver(u)
		switch {
		case errors.Is(u.Err, ErrCompacted):
			after = -1
		case u.Err != nil:
			retryAt = f.Clock() + backoff
			backoff = min(2*backoff, intervals().Backoff)
			continue
		default:
			after = u.Revision
		}
		backoff = initialBackoff
		if len(u.Items) > 0 && !u.Complete && !fpclock.Sleep(ctx, intervals().Gather) {
			return nil
		}
	}
	return nil
}

// fetchFromPeer returns the changes after a revision from a peer. The initial list
// always comes from the store.
func (f *Follower) fetchFromPeer(ctx context.Context, after int64) (Update, bool) {
	if f.Nearby == nil || after < 0 {
		return Update{}, false
	}
	u, ok := f.Nearby(ctx, after)
	u.Revision = max(u.Revision, after)
	return u, ok
}

// fetchUpdate returns the store's next update after a revision; -1 requests a complete list.
func (f *Follower) fetchUpdate(ctx context.Context, after int64, wait time.Duration) Update {
	if after < 0 {
		return f.listAll(ctx)
	}
	sent := f.Clock()
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGracePeriod)
	defer cancel()
	items, revision, err := f.Store.Watch(watchCtx, f.Prefix, after, wait)
	return Update{Items: items, Revision: max(revision, after), Sent: sent, Err: err}
}

// listAll reads all pages. The pages are no snapshot, so the revision is that of the first
// page: the watch then also returns the changes made between two pages.
func (f *Follower) listAll(ctx context.Context) Update {
	u := Update{Complete: true, Sent: f.Clock()}
	last := ""
	for first := true; ; first = false {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		p, err := f.Store.Range(pageCtx, f.Prefix, last)
		cancel()
		if err != nil {
			return Update{Err: err}
		}
		if first {
			u.Revision = p.Revision
		}
		u.Items = append(u.Items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return u
		}
		last = p.Items[len(p.Items)-1].Key
	}
}
