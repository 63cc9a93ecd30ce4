package fpstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// revisionBits is the width of the revision in a fencing token; tokens of thousands of incarnations are
// still whole numbers in a float64.
const revisionBits = 40

var (
	// ErrKeyNotFound means that the key does not exist.
	ErrKeyNotFound = errors.New("the key does not exist")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrCompacted means that the history after the given revision has been compacted.
	ErrCompacted = errors.New("the history is no longer available")
	// ErrRestored means that the store was restored from a copy: earlier positions are void.
	ErrRestored = errors.New("the store was restored from a copy")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("the lease has ended")
	// ErrRefused means that the store rejected the call and wrote nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrOutcomeUnknown means that a write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("the outcome of the call is not known")
)

type (
	// Position is a point in the store's history. A store that is restored from a copy starts a new
	// incarnation, in which it assigns revisions and lease numbers again; only those of the same
	// incarnation can be compared. Stores that do not name their incarnation have 0.
	Position struct {
		Incarnation int64
		Revision    int64
	}

	// LeaseID identifies a lease; the zero value means no lease.
	LeaseID struct {
		Incarnation int64
		Number      int64
	}

	// Item is a key with its value, or a tombstone if Deleted is set. Revision is that of
	// the last change, Created that of the key's creation.
	Item struct {
		Key      string
		Value    []byte
		Revision int64
		Created  int64
		Lease    LeaseID
		Deleted  bool
	}

	// Page is one page of a range; the next one starts after its last key.
	Page struct {
		Items    []Item
		More     bool
		Position Position
	}

	// Condition requires that the key has the revision; 0 requires that it does not exist.
	Condition struct {
		Key      string
		Revision int64
	}

	// Put writes a key and attaches it to Lease unless that is zero.
	Put struct {
		Key   string
		Value []byte
		Lease LeaseID
	}

	// Transaction applies all of its writes if all conditions hold, and none otherwise.
	Transaction struct {
		Conditions []Condition
		Puts       []Put
		Deletes    []string
	}

	// Store is a linearizable key-value store.
	Store interface {
		// Get reads a key; it returns ErrKeyNotFound if the key does not exist.
		Get(ctx context.Context, key string) (Item, error)
		// Range reads one page of the keys under a prefix that sort after the given key.
		Range(ctx context.Context, prefix, after string) (Page, error)
		// Watch returns the changes under a prefix after a revision, as soon as there
		// are any or when the wait has elapsed, and the position to continue from.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, Position, error)
		// Commit applies a transaction and returns its position.
		Commit(ctx context.Context, t Transaction) (Position, error)
		// GrantLease creates a lease. One of an earlier incarnation has ended, also if its number was
		// assigned again: calls that name it return ErrLeaseNotFound.
		GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
		// RenewLease renews a lease.
		RenewLease(ctx context.Context, lease LeaseID) error
		// RevokeLease revokes a lease and deletes the keys attached to it.
		RevokeLease(ctx context.Context, lease LeaseID) error
	}
)

// FencingToken returns a number that rises with the position, also from one incarnation to the next.
func (p Position) FencingToken() int64 { return p.Incarnation<<revisionBits + p.Revision }

// GetOrZero is like Get but returns an Item with revision 0 for a missing key.
func GetOrZero(ctx context.Context, s Store, key string) (Item, error) {
	i, err := s.Get(ctx, key)
	if errors.Is(err, ErrKeyNotFound) {
		return Item{}, nil
	}
	return i, err
}

// CompareAndSwap writes a key if its revision equals the given one, where 0 means that the
// key must not exist, and returns its new position.
func CompareAndSwap(ctx context.Context, s Store, key string, revision int64, value []byte, lease LeaseID) (Position, error) {
	return s.Commit(ctx, Transaction{
		Conditions: []Condition{{Key: key, Revision: revision}},
		Puts:       []Put{{Key: key, Value: value, Lease: lease}},
	})
}
