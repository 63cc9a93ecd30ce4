package fpstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// defaultWait is how long a watch waits for an event unless told otherwise.
	defaultWait = 1500 * time.Millisecond
	// watchSlack is what a watch may take beyond its wait before it counts as lost.
	watchSlack = 700 * time.Millisecond
	// rangeTimeout bounds the reading of one page.
	rangeTimeout = 2 * time.Second
	// defaultGather and defaultAsk are far below the seconds within which users
	// want a change in force.
	defaultGather = 500 * time.Millisecond
	defaultAsk    = 500 * time.Millisecond
	// firstBackoff is the pause after a failed call; it doubles with each further one.
	firstBackoff   = 50 * time.Millisecond
	defaultBackoff = 500 * time.Millisecond
)

type (
	// Update is news of the store: a complete list or the latest changes, and when
	// the call that brought them was sent. Err is set when the store gave no answer.
	Update struct {
		Items    []Item
		Complete bool
		Revision int64
		Sent     time.Duration
		Err      error
	}

	// Pace says how often the store is called.
	Pace struct {
		// Wait is how long a watch waits for an event. A waiting watch proves nothing
		// of the store's present state.
		Wait time.Duration
		// Gather is the pause after a batch of events, so that changes in quick
		// succession cost one call and not one each.
		Gather time.Duration
		// Ask is the pause between two questions to another host.
		Ask time.Duration
		// Backoff is the longest pause after a failed call.
		Backoff time.Duration
	}

	// Follower keeps its owner informed of all keys under a prefix.
	Follower struct {
		Store  Store
		Prefix string
		Clock  fpclock.Clock
		// Pace returns the pace of watches; nil means the default.
		Pace func() Pace
		// Nearby asks another host for the changes after a revision in place of the
		// store; false sends the follower to the store. Nil is always false.
		Nearby func(ctx context.Context, after int64) (Update, bool)
		// Deliver is called from Run with each update, in order.
		Deliver func(Update)
	}
)

// Run reads the range once and then watches it, until the context ends. The
// range is read anew when the store has dropped the history in between.
func (f *Follower) Run(ctx context.Context) error {
	pace := f.Pace
	if pace == nil {
		pace = func() Pace {
			return Pace{Wait: defaultWait, Gather: defaultGather, Ask: defaultAsk, Backoff: defaultBackoff}
		}
	}
	after := int64(-1)
	backoff := firstBackoff
	resume := f.Clock()
	for ctx.Err() == nil {
		if u, ok := f.nearby(ctx, after); ok {
			f.Deliver(u)
			after, backoff = u.Revision, firstBackoff
			fpclock.Sleep(ctx, pace().Ask)
			continue
		}
		if left := resume - f.Clock(); left > 0 {
			// Another host may reach the store before it is time to call it again.
			fpclock.Sleep(ctx, min(left, pace().Ask))
			continue
		}
		u := f.next(ctx, after, pace().Wait)
		if ctx.Err() != nil {
			return nil
		}
		f.Deliver(u)
		switch {
		case errors.Is(u.Err, ErrCompacted):
			after = -1
		case u.Err != nil:
			resume = f.Clock() + backoff
			backoff = min(2*backoff, pace().Backoff)
			continue
		default:
			after = u.Revision
		}
		backoff = firstBackoff
		if len(u.Items) > 0 && !u.Complete && !fpclock.Sleep(ctx, pace().Gather) {
			return nil
		}
	}
	return nil
}

// nearby returns the changes that another host knows of; the first list always
// comes from the store.
func (f *Follower) nearby(ctx context.Context, after int64) (Update, bool) {
	if f.Nearby == nil || after < 0 {
		return Update{}, false
	}
	u, ok := f.Nearby(ctx, after)
	u.Revision = max(u.Revision, after)
	return u, ok
}

// next returns the next update of the store after a revision; -1 asks for everything.
func (f *Follower) next(ctx context.Context, after int64, wait time.Duration) Update {
	if after < 0 {
		return f.list(ctx)
	}
	sent := f.Clock()
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	items, revision, err := f.Store.Watch(watchCtx, f.Prefix, after, wait)
	return Update{Items: items, Revision: max(revision, after), Sent: sent, Err: err}
}

// list reads all pages. The revision is that of the first, since pages are no snapshot.
func (f *Follower) list(ctx context.Context) Update {
	u := Update{Complete: true, Sent: f.Clock()}
	last := ""
	for first := true; ; first = false {
		pageCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
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
