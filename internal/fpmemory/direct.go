package fpmemory

import (
	"context"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

type (
	// Direct implements fpstore.Store by calls to a Store in the same process.
	Direct struct {
		Store *Store
		// BeforeCall is called before each call, which fails with its error; apply reports
		// whether a commit takes effect nevertheless. Nil injects no fault.
		BeforeCall func(ctx context.Context, write bool) (apply bool, err error)
	}
)

func (d Direct) beforeCall(ctx context.Context, write bool) (bool, error) {
	if d.BeforeCall == nil {
		return true, ctx.Err()
	}
	return d.BeforeCall(ctx, write)
}

// Get reads a key.
func (d Direct) Get(ctx context.Context, key string) (fpstore.Item, error) {
	if _, err := d.beforeCall(ctx, false); err != nil {
		return fpstore.Item{}, err
	}
	i, _, err := d.Store.Get(key, time.Now())
	return i, err
}

// Range reads one page of the keys under a prefix that sort after the given key.
func (d Direct) Range(ctx context.Context, prefix, after string) (fpstore.Page, error) {
	if _, err := d.beforeCall(ctx, false); err != nil {
		return fpstore.Page{}, err
	}
	return d.Store.Range(prefix, after, time.Now()), nil
}

// Watch waits for changes after a revision.
func (d Direct) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, fpstore.Position, error) {
	if _, err := d.beforeCall(ctx, false); err != nil {
		return nil, fpstore.Position{}, err
	}
	return d.Store.WaitForChanges(ctx, prefix, after, wait)
}

// Commit applies a transaction. An injected error is returned whether or not the transaction
// was applied.
func (d Direct) Commit(ctx context.Context, t fpstore.Transaction) (fpstore.Position, error) {
	apply, err := d.beforeCall(ctx, true)
	if err != nil && !apply {
		return fpstore.Position{}, err
	}
	position, commitErr := d.Store.Commit(t, time.Now())
	if err != nil {
		return fpstore.Position{}, err
	}
	return position, commitErr
}

// GrantLease creates a lease.
func (d Direct) GrantLease(ctx context.Context, ttl time.Duration) (fpstore.LeaseID, error) {
	if _, err := d.beforeCall(ctx, true); err != nil {
		return fpstore.LeaseID{}, err
	}
	return d.Store.GrantLease(ttl, time.Now()), nil
}

// RenewLease renews a lease.
func (d Direct) RenewLease(ctx context.Context, lease fpstore.LeaseID) error {
	if _, err := d.beforeCall(ctx, true); err != nil {
		return err
	}
	_, err := d.Store.RenewLease(lease, time.Now())
	return err
}

// RevokeLease revokes a lease.
func (d Direct) RevokeLease(ctx context.Context, lease fpstore.LeaseID) error {
	if _, err := d.beforeCall(ctx, true); err != nil {
		return err
	}
	return d.Store.RevokeLease(lease, time.Now())
}
