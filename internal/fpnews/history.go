package fpnews

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// maxItems and maxBytes bound the changes that a host keeps for others; a
	// value has a megabyte at most, and the smallest hosts 112 MB (users' sheets).
	maxItems = 4_000
	maxBytes = 4 << 20
)

type (
	// History is what a host heard of the store lately; it is safe for concurrent use.
	History struct {
		mu sync.Mutex
		// base is the revision after which changes are whole, revision the newest one.
		base     int64
		revision int64
		changes  []fpstore.Item
		bytes    int
		sent     time.Duration
		known    bool
	}

	// News is what changed after a revision.
	News struct {
		Items    []fpstore.Item
		Revision int64
		// Sent is when the call was sent by which the store said that there was no more.
		Sent time.Duration
	}
)

// Add takes in news of the store, in order.
func (h *History) Add(u fpstore.Update) {
	if u.Err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = max(h.sent, u.Sent)
	if u.Complete {
		h.base, h.revision, h.changes, h.bytes, h.known = u.Revision, u.Revision, nil, 0, true
		return
	}
	h.revision = max(h.revision, u.Revision)
	for _, i := range u.Items {
		h.changes = append(h.changes, i)
		h.bytes += len(i.Value)
	}
	h.trim()
}

// trim forgets the oldest changes beyond the bounds.
func (h *History) trim() {
	n := 0
	for len(h.changes)-n > maxItems || h.bytes > maxBytes {
		h.bytes -= len(h.changes[n].Value)
		n++
	}
	if n > 0 {
		h.base = h.changes[n-1].Revision
		h.changes = slices.Clone(h.changes[n:])
	}
}

// After returns what changed after a revision, and false when that is no
// longer known.
func (h *History) After(revision int64) (News, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || revision < h.base {
		return News{}, false
	}
	first, _ := slices.BinarySearchFunc(h.changes, revision+1, func(i fpstore.Item, r int64) int { return cmp.Compare(i.Revision, r) })
	return News{Items: slices.Clone(h.changes[first:]), Revision: h.revision, Sent: h.sent}, true
}
