package fpmemory

import (
	"context"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

type (
	// Direct is a driver of the store port that calls a Store in memory.
	Direct struct {
		Store *Store
		// Reach is called before each call, which fails with its error; carry says
		// whether a write takes effect all the same. Nil reaches the store at once.
		Reach func(ctx context.Context, write bool) (carry bool, err error)
	}
)

func (d Direct) reach(ctx context.Context, write bool) (bool, error) {
	if d.Reach == nil {
		return true, ctx.Err()
	}
	return d.Reach(ctx, write)
}

// Get reads a key.
func (d Direct) Get(ctx context.Context, key string) (fpstore.Item, error) {
	if _, err := d.reach(ctx, false); err != nil {
		return fpstore.Item{}, err
	}
	i, _, err := d.Store.Get(key, time.Now())
	return i, err
}

// Range reads a page of the keys under a prefix, those behind after.
func (d Direct) Range(ctx context.Context, prefix, after string) (fpstore.Page, error) {
	if _, err := d.reach(ctx, false); err != nil {
		return fpstore.Page{}, err
	}
	return d.Store.Range(prefix, after, time.Now()), nil
}

// Watch waits for changes after a revision.
func (d Direct) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, int64, error) {
	if _, err := d.reach(ctx, false); err != nil {
		return nil, 0, err
	}
	return d.Store.Await(ctx, prefix, after, wait)
}

// Commit writes a transaction.
func (d Direct) Commit(ctx context.Context, t fpstore.Transaction) (int64, error) {
	carry, err := d.reach(ctx, true)
	if err != nil && !carry {
		return 0, err
	}
	revision, committed := d.Store.Commit(t, time.Now())
	if err != nil {
		return 0, err
	}
	return revision, committed
}

// Grant returns a new lease.
func (d Direct) Grant(ctx context.Context, ttl time.Duration) (fpstore.Lease, error) {
	if _, err := d.reach(ctx, true); err != nil {
		return 0, err
	}
	return d.Store.Grant(ttl, time.Now()), nil
}

// KeepAlive renews a lease.
func (d Direct) KeepAlive(ctx context.Context, lease fpstore.Lease) error {
	if _, err := d.reach(ctx, true); err != nil {
		return err
	}
	_, err := d.Store.KeepAlive(lease, time.Now())
	return err
}

// End gives a lease up.
func (d Direct) End(ctx context.Context, lease fpstore.Lease) error {
	if _, err := d.reach(ctx, true); err != nil {
		return err
	}
	return d.Store.End(lease, time.Now())
}
