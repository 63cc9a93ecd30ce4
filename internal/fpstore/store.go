package fpstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrMissing means that the key does not exist.
	ErrMissing = errors.New("the key does not exist")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrCompacted means that the history after the given revision is gone.
	ErrCompacted = errors.New("the history is no longer available")
	// ErrLeaseGone means that the lease has ended.
	ErrLeaseGone = errors.New("the lease has ended")
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrUnsettled means that a write may have taken effect, or may later.
	ErrUnsettled = errors.New("the outcome of the call is not known")
)

type (
	// Lease names a lease; 0 is none.
	Lease int64

	// Item is a key with its value, or the news that it was deleted.
	Item struct {
		Key      string
		Value    []byte
		Revision int64
		Created  int64
		Lease    Lease
		Deleted  bool
	}

	// Page is a part of a range; the next one begins after the last key.
	Page struct {
		Items    []Item
		More     bool
		Revision int64
	}

	// Condition holds while the key has the revision; 0 means that it does not exist.
	Condition struct {
		Key      string
		Revision int64
	}

	// Put writes a key, bound to a lease when one is given.
	Put struct {
		Key   string
		Value []byte
		Lease Lease
	}

	// Transaction writes all or nothing.
	Transaction struct {
		Conditions []Condition
		Puts       []Put
		Deletes    []string
	}

	// Store is a linearizable key-value store.
	Store interface {
		// Get reads a key; a missing one is ErrMissing.
		Get(ctx context.Context, key string) (Item, error)
		// Range reads a page of the keys under a prefix, those behind after.
		Range(ctx context.Context, prefix, after string) (Page, error)
		// Watch returns the changes under a prefix after a revision, as soon as
		// there are any or when the wait is over, and the revision to go on from.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
		// Commit writes a transaction and returns its revision.
		Commit(ctx context.Context, t Transaction) (int64, error)
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		KeepAlive(ctx context.Context, lease Lease) error
		End(ctx context.Context, lease Lease) error
	}
)

// Read is Get with a missing key as an item with revision 0.
func Read(ctx context.Context, s Store, key string) (Item, error) {
	i, err := s.Get(ctx, key)
	if errors.Is(err, ErrMissing) {
		return Item{}, nil
	}
	return i, err
}

// Swap writes a key if it has the revision, 0 meaning that it does not exist,
// and returns its new revision.
func Swap(ctx context.Context, s Store, key string, revision int64, value []byte, lease Lease) (int64, error) {
	return s.Commit(ctx, Transaction{
		Conditions: []Condition{{Key: key, Revision: revision}},
		Puts:       []Put{{Key: key, Value: value, Lease: lease}},
	})
}
