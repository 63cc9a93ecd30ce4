package fporigin

import (
	"container/list"
	"time"
)

type (
	// Origin is the service and the software version of the replica that began a stream.
	Origin struct {
		Service string
		Build   string
	}

	// Entry is the origin of one stream: ID is that of the request that brought its first event, and Host
	// the host that forwarded it.
	Entry struct {
		Origin
		ID   string
		Host string
	}

	// Table holds origins, each until Retention has passed since its last use; a full one drops those
	// that were used least recently. It is not safe for concurrent use.
	Table struct {
		Retention time.Duration

		maxEntries int
		elements   map[string]*list.Element
		// byUse holds the records in the order of their last use.
		byUse *list.List
	}

	record struct {
		Entry
		usedAt time.Duration
	}
)

// NewTable returns a table of at most maxEntries origins.
func NewTable(maxEntries int, retention time.Duration) *Table {
	return &Table{Retention: retention, maxEntries: maxEntries, elements: make(map[string]*list.Element), byUse: list.New()}
}

// Record records an origin and replaces one with the same ID.
func (t *Table) Record(e Entry, now time.Duration) {
	t.dropExpired(now)
	if old, ok := t.elements[e.ID]; ok {
		t.remove(old)
	}
	if len(t.elements) >= t.maxEntries {
		t.remove(t.byUse.Front())
	}
	t.elements[e.ID] = t.byUse.PushBack(&record{Entry: e, usedAt: now})
}

// Learn records an origin unless one with the same ID is known.
func (t *Table) Learn(e Entry, now time.Duration) {
	if _, known := t.Use(e.ID, now); !known {
		t.Record(e, now)
	}
}

// Use returns the origin of a stream and keeps it for another Retention; it returns false if there is none.
func (t *Table) Use(id string, now time.Duration) (Origin, bool) {
	t.dropExpired(now)
	found, ok := t.elements[id]
	if !ok {
		return Origin{}, false
	}
	r := found.Value.(*record)
	r.usedAt = now
	t.byUse.MoveToBack(found)
	return r.Origin, true
}

// Len returns the number of origins, expired ones included.
func (t *Table) Len() int { return len(t.elements) }

// Latest returns at most limit of the origins that match, those used last first.
func (t *Table) Latest(limit int, match func(Entry) bool, now time.Duration) []Entry {
	t.dropExpired(now)
	var out []Entry
	for e := t.byUse.Back(); e != nil && len(out) < limit; e = e.Prev() {
		if r := e.Value.(*record); match(r.Entry) {
			out = append(out, r.Entry)
		}
	}
	return out
}

func (t *Table) dropExpired(now time.Duration) {
	for e := t.byUse.Front(); e != nil && now-e.Value.(*record).usedAt >= t.Retention; e = t.byUse.Front() {
		t.remove(e)
	}
}

func (t *Table) remove(e *list.Element) {
	delete(t.elements, e.Value.(*record).ID)
	t.byUse.Remove(e)
}
