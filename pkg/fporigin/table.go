package fporigin

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

type (
	// Origin is the service and the software version of the replica that began a stream.
	Origin struct {
		Service string
		Build   string
	}

	// Inference is what an origin was inferred from: that start of a replica, in Unix milliseconds, is registered with
	// the origin's software version. The origin is certain once the start is seen to answer at or after Since. The zero
	// value stands for a certain origin; without a replica, nothing but a certain origin of the same stream ends the
	// uncertainty.
	Inference struct {
		Replica        string
		StartUnixMilli int64
		Since          time.Duration
	}

	// Entry is the origin of one stream: ID is that of the request that brought its first event, and Host
	// the host that forwarded it.
	Entry struct {
		Origin
		Inference Inference
		ID        string
		Host      string
	}

	// Table holds origins, each until Retention has passed since its last use; a full one drops those
	// that were used least recently. It is not safe for concurrent use.
	Table struct {
		Retention time.Duration

		maxEntries int
		elements   map[string]*list.Element
		// byUse holds the records in the order of their last use.
		byUse *list.List
		// inferred holds the records of uncertain origins by replica and ID.
		inferred map[string]map[string]*record
	}

	record struct {
		Entry
		usedAt time.Duration
	}
)

// NewTable returns a table of at most maxEntries origins.
func NewTable(maxEntries int, retention time.Duration) *Table {
	return &Table{
		Retention: retention, maxEntries: maxEntries, elements: make(map[string]*list.Element), byUse: list.New(),
		inferred: make(map[string]map[string]*record),
	}
}

// Certain reports whether the origin is not inferred.
func (e Entry) Certain() bool { return e.Inference == Inference{} }

// Record records an origin and replaces one with the same ID.
func (t *Table) Record(e Entry, now time.Duration) {
	t.dropExpired(now)
	if old, ok := t.elements[e.ID]; ok {
		t.remove(old)
	}
	if len(t.elements) >= t.maxEntries {
		t.remove(t.byUse.Front())
	}
	r := &record{Entry: e, usedAt: now}
	t.elements[e.ID] = t.byUse.PushBack(r)
	if e.Certain() {
		return
	}
	if t.inferred[e.Inference.Replica] == nil {
		t.inferred[e.Inference.Replica] = make(map[string]*record)
	}
	t.inferred[e.Inference.Replica][e.ID] = r
}

// Learn records an origin unless one with the same ID is known. A certain origin replaces an inferred one, and
// any other one that nothing is known of.
func (t *Table) Learn(e Entry, now time.Duration) {
	known, ok := t.Use(e.ID, now)
	if !ok || !known.Certain() && (e.Certain() || known.Inference.Replica == "") {
		t.Record(e, now)
	}
}

// Use returns the origin of a stream and keeps it for another Retention; it returns false if there is none.
func (t *Table) Use(id string, now time.Duration) (Entry, bool) {
	t.dropExpired(now)
	found, ok := t.elements[id]
	if !ok {
		return Entry{}, false
	}
	r := found.Value.(*record)
	r.usedAt = now
	t.byUse.MoveToBack(found)
	return r.Entry, true
}

// Confirm makes the origins certain that were inferred from a start of a replica which was seen to answer at or after a
// time, and returns them.
func (t *Table) Confirm(replica string, startUnixMilli int64, at time.Duration) []Entry {
	var out []Entry
	for _, r := range t.inferred[replica] {
		if i := r.Inference; replica == "" || i.StartUnixMilli != startUnixMilli || at < i.Since {
			continue
		}
		t.dropInference(r)
		r.Inference = Inference{}
		out = append(out, r.Entry)
	}
	return out
}

// Unconfirmed returns what the uncertain origins of a host's streams were inferred from, the latest for each start of a
// replica.
func (t *Table) Unconfirmed(host string, now time.Duration) []Inference {
	t.dropExpired(now)
	var out []Inference
	for replica, records := range t.inferred {
		byStart := make(map[int64]Inference)
		for _, r := range records {
			if i := r.Inference; r.Host == host && replica != "" && i.Since >= byStart[i.StartUnixMilli].Since {
				byStart[i.StartUnixMilli] = i
			}
		}
		out = slices.AppendSeq(out, maps.Values(byStart))
	}
	return out
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
	r := e.Value.(*record)
	delete(t.elements, r.ID)
	t.byUse.Remove(e)
	t.dropInference(r)
}

func (t *Table) dropInference(r *record) {
	if r.Certain() {
		return
	}
	replica := r.Inference.Replica
	delete(t.inferred[replica], r.ID)
	if len(t.inferred[replica]) == 0 {
		delete(t.inferred, replica)
	}
}
