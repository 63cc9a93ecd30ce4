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
	// defaultBatchDelay and defaultPeerInterval are far below the 3 s within which hosts must apply
	// a configuration change.
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
		Position Position
		SentAt   time.Duration
		Err      error
	}

	// PollIntervals holds the intervals that limit how often the store is called.
	PollIntervals struct {
		// WatchWait is how long a watch waits for an event. While it waits, it gives no
		// evidence of the store's current state.
		WatchWait time.Duration
		// BatchDelay is the pause after a batch of events, so that changes in quick
		// succession cost one call rather than one each.
		BatchDelay time.Duration
		// PeerInterval is the interval between two requests to a peer.
		PeerInterval time.Duration
		// MaxBackoff is the longest pause after a failed call.
		MaxBackoff time.Duration
	}

	// Follower delivers all keys under a prefix and every later change of them.
	Follower struct {
		Store  Store
		Prefix string
		Clock  fpclock.Clock
		// Intervals returns the current intervals; nil means the defaults.
		Intervals func() PollIntervals
		// FetchFromPeer fetches the changes after a position from a peer instead of the store.
		// If it is nil or returns false, the follower calls the store.
		FetchFromPeer func(ctx context.Context, after Position) (Update, bool)
		// Deliver is called from Run with each update, in order.
		Deliver func(Update)
	}
)

// Run lists the prefix once and then watches it until the context ends. It lists
// the prefix again if the store compacted the history in the meantime, or was restored
// from a copy.
func (f *Follower) Run(ctx context.Context) error {
	intervals := f.Intervals
	if intervals == nil {
		intervals = func() PollIntervals {
			return PollIntervals{WatchWait: defaultWatchWait, BatchDelay: defaultBatchDelay, PeerInterval: defaultPeerInterval, MaxBackoff: defaultMaxBackoff}
		}
	}
	var after Position
	listed := false
	backoff := initialBackoff
	retryAt := f.Clock()
	for ctx.Err() == nil {
		if listed {
			if u, ok := f.fetchFromPeer(ctx, after); ok {
				f.Deliver(u)
				after, backoff = u.Position, initialBackoff
				fpclock.Sleep(ctx, intervals().PeerInterval)
				continue
			}
		}
		if remaining := retryAt - f.Clock(); remaining > 0 {
			// A peer may reach the store before this host's backoff is over.
			fpclock.Sleep(ctx, min(remaining, intervals().PeerInterval))
			continue
		}
		var u Update
		if listed {
			u = f.watch(ctx, after, intervals().WatchWait)
		} else {
			u = f.listAll(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		f.Deliver(u)
		switch {
		case errors.IsAny(u.Err, ErrCompacted, ErrRestored):
			listed = false
		case u.Err != nil:
			retryAt = f.Clock() + backoff
			backoff = min(2*backoff, intervals().MaxBackoff)
			continue
		default:
			after, listed = u.Position, true
		}
		backoff = initialBackoff
		if len(u.Items) > 0 && !u.Complete && !fpclock.Sleep(ctx, intervals().BatchDelay) {
			return nil
		}
	}
	return nil
}

// fetchFromPeer returns the changes after a position from a peer. The initial list
// always comes from the store.
func (f *Follower) fetchFromPeer(ctx context.Context, after Position) (Update, bool) {
	if f.FetchFromPeer == nil {
		return Update{}, false
	}
	u, ok := f.FetchFromPeer(ctx, after)
	if !ok || u.Position.Incarnation != after.Incarnation {
		return Update{}, false
	}
	u.Position.Revision = max(u.Position.Revision, after.Revision)
	return u, true
}

// watch returns the store's next changes after a position.
func (f *Follower) watch(ctx context.Context, after Position, wait time.Duration) Update {
	sentAt := f.Clock()
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGracePeriod)
	defer cancel()
	items, position, err := f.Store.Watch(watchCtx, f.Prefix, after.Revision, wait)
	if err == nil && position.Incarnation != after.Incarnation {
		return Update{Err: ErrRestored}
	}
	position.Revision = max(position.Revision, after.Revision)
	return Update{Items: items, Position: position, SentAt: sentAt, Err: err}
}

// listAll reads all pages. The pages are no snapshot, so the position is that of the first
// page: the watch then also returns the changes made between two pages.
func (f *Follower) listAll(ctx context.Context) Update {
	u := Update{Complete: true, SentAt: f.Clock()}
	lastKey := ""
	for first := true; ; first = false {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		p, err := f.Store.Range(pageCtx, f.Prefix, lastKey)
		cancel()
		if err != nil {
			return Update{Err: err}
		}
		switch {
		case first:
			u.Position = p.Position
		case p.Position.Incarnation != u.Position.Incarnation:
			return Update{Err: ErrRestored}
		}
		u.Items = append(u.Items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return u
		}
		lastKey = p.Items[len(p.Items)-1].Key
	}
}
