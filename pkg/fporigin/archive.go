package fporigin

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DigestBytes is the length of the digest by which an archive knows a stream's ID.
	DigestBytes = 12
)

var errSegment = errors.New("not a segment of stream origins")

type (
	digest [DigestBytes]byte

	// Segment holds origins of streams for a store that outlasts the hosts. It is immutable.
	Segment struct {
		groups []group
	}

	// group holds the digests of the streams with one origin, sorted.
	group struct {
		origin  Origin
		digests []digest
	}

	// segmentGroup is a group as it is encoded.
	segmentGroup struct {
		Service string
		Build   string
		Digests []byte
	}

	// Archive holds origins of segments, each until Retention has passed since it was last added. The oldest go when there
	// are more than MaxOrigins. The zero value holds none until these are set. It is not safe for concurrent use.
	Archive struct {
		Retention  time.Duration
		MaxOrigins int

		records map[digest]archived
		// order holds the digests in the order in which they were added, again and again maybe.
		order []added
		// interned holds the origins of records.
		interned map[Origin]*Origin
	}

	// archived is an archived origin; it is contradictory if another one was added for the same stream.
	archived struct {
		origin        *Origin
		addedAt       time.Duration
		contradictory bool
	}

	added struct {
		digest digest
		at     time.Duration
	}
)

func digestOf(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:DigestBytes])
}

func compareDigests(a, b digest) int { return bytes.Compare(a[:], b[:]) }

// NewSegment returns a segment of the certain ones of the entries.
func NewSegment(list []Entry) Segment {
	byOrigin := make(map[Origin][]digest)
	for _, e := range list {
		if e.Certain() {
			byOrigin[e.Origin] = append(byOrigin[e.Origin], digestOf(e.ID))
		}
	}
	var s Segment
	for _, o := range slices.SortedFunc(maps.Keys(byOrigin), compareOrigins) {
		digests := byOrigin[o]
		slices.SortFunc(digests, compareDigests)
		s.groups = append(s.groups, group{origin: o, digests: slices.Compact(digests)})
	}
	return s
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build))
}

// Len returns the number of origins.
func (s Segment) Len() int {
	n := 0
	for _, g := range s.groups {
		n += len(g.digests)
	}
	return n
}

// Marshal encodes the segment as JSON.
func (s Segment) Marshal() ([]byte, error) {
	out := make([]segmentGroup, 0, len(s.groups))
	for _, g := range s.groups {
		w := segmentGroup{Service: g.origin.Service, Build: g.origin.Build, Digests: make([]byte, 0, len(g.digests)*DigestBytes)}
		for _, d := range g.digests {
			w.Digests = append(w.Digests, d[:]...)
		}
		out = append(out, w)
	}
	return json.Marshal(out)
}

// UnmarshalSegment decodes what Marshal encoded.
func UnmarshalSegment(data []byte) (Segment, error) {
	var list []segmentGroup
	if err := json.Unmarshal(data, &list); err != nil {
		return Segment{}, errors.Mark(err, errSegment)
	}
	var s Segment
	for _, w := range list {
		if len(w.Digests)%DigestBytes != 0 {
			return Segment{}, errors.Wrapf(errSegment, "%d bytes of digests", len(w.Digests))
		}
		g := group{origin: Origin{Service: w.Service, Build: w.Build}}
		for d := range slices.Chunk(w.Digests, DigestBytes) {
			g.digests = append(g.digests, digest(d))
		}
		slices.SortFunc(g.digests, compareDigests)
		s.groups = append(s.groups, g)
	}
	return s, nil
}

// Add keeps the origins of a segment for another Retention.
func (a *Archive) Add(s Segment, now time.Duration) {
	if a.records == nil {
		a.records, a.interned = make(map[digest]archived), make(map[Origin]*Origin)
	}
	for _, g := range s.groups {
		if a.interned[g.origin] == nil {
			a.interned[g.origin] = &g.origin
		}
		for _, d := range g.digests {
			r, known := a.records[d]
			if !known {
				r.origin = a.interned[g.origin]
			}
			r.contradictory = r.contradictory || *r.origin != g.origin
			r.addedAt = now
			a.records[d] = r
			a.order = append(a.order, added{digest: d, at: now})
		}
	}
	a.dropExpired(now)
	for len(a.records) > a.MaxOrigins || len(a.order) > 2*a.MaxOrigins {
		a.dropOldest()
	}
}

// Find returns the origin of a stream of a service and when it was last added. It returns false if none is known, or if
// segments contradict each other.
func (a *Archive) Find(service, id string, now time.Duration) (Origin, time.Duration, bool) {
	a.dropExpired(now)
	r, known := a.records[digestOf(id)]
	if !known || r.contradictory || r.origin.Service != service {
		return Origin{}, 0, false
	}
	return *r.origin, r.addedAt, true
}

// Len returns the number of origins, expired ones included.
func (a *Archive) Len() int { return len(a.records) }

func (a *Archive) dropExpired(now time.Duration) {
	for len(a.order) > 0 && now-a.order[0].at >= a.Retention {
		a.dropOldest()
	}
}

// dropOldest drops what was added first, unless it was added again since.
func (a *Archive) dropOldest() {
	o := a.order[0]
	a.order = a.order[1:]
	if a.records[o.digest].addedAt == o.at {
		delete(a.records, o.digest)
	}
	if len(a.records) == 0 {
		clear(a.interned)
	}
}
