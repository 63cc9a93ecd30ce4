package fpfeed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// maxHistoryItems and maxHistoryBytes bound the changes that a host keeps for its
	// peers. A value has at most 1 MB, and the smallest hosts have 112 MB of memory.
	maxHistoryItems = 4_000
	maxHistoryBytes = 4 << 20
)

type (
	// History holds the latest changes that a host received; it is safe for concurrent use.
	History struct {
		mu sync.Mutex
		// baseRevision is the revision after which changes is complete, position the newest one.
		baseRevision int64
		position     fpstore.Position
		changes      []fpstore.Item
		// valueBytes is the total size of the values in changes.
		valueBytes int
		// sentAt is when the latest store call that proved the history to be complete was sent.
		sentAt time.Duration
		// listed is whether a complete list was received, which sets baseRevision.
		listed bool
	}

	// ChangeSet holds all changes after a position up to Position.
	ChangeSet struct {
		Items    []fpstore.Item
		Position fpstore.Position
		// SentAt is when the store call was sent that proved Items to be complete.
		SentAt time.Duration
	}
)

// ApplyUpdate applies an update of the store. Updates must be applied in order; failed ones
// are ignored.
func (h *History) ApplyUpdate(u fpstore.Update) {
	if u.Err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt = max(h.sentAt, u.SentAt)
	if u.Complete {
		h.baseRevision, h.position, h.changes, h.valueBytes, h.listed = u.Position.Revision, u.Position, nil, 0, true
		return
	}
	h.position.Revision = max(h.position.Revision, u.Position.Revision)
	for _, i := range u.Items {
		h.changes = append(h.changes, i)
		h.valueBytes += len(i.Value)
	}
	h.trimToLimits()
}

// trimToLimits drops the oldest changes beyond maxHistoryItems and maxHistoryBytes.
func (h *History) trimToLimits() {
	n := 0
	for len(h.changes)-n > maxHistoryItems || h.valueBytes > maxHistoryBytes {
		h.valueBytes -= len(h.changes[n].Value)
		n++
	}
	if n > 0 {
		h.baseRevision = h.changes[n-1].Revision
		h.changes = slices.Clone(h.changes[n:])
	}
}

// ChangesSince returns the changes after a position. It returns false if they are
// not all in the history.
func (h *History) ChangesSince(after fpstore.Position) (ChangeSet, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || after.Incarnation != h.position.Incarnation || after.Revision < h.baseRevision {
		return ChangeSet{}, false
	}
	first, _ := slices.BinarySearchFunc(h.changes, after.Revision+1, func(i fpstore.Item, r int64) int { return cmp.Compare(i.Revision, r) })
	return ChangeSet{Items: slices.Clone(h.changes[first:]), Position: h.position, SentAt: h.sentAt}, true
}
