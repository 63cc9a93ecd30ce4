package fpmember

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HeartbeatEvery is the time between heartbeats to a contact.
	HeartbeatEvery = 500 * time.Millisecond
	// SuspectAfter is the silence after which one observer suspects a host.
	SuspectAfter = 1200 * time.Millisecond
	// suspicionLasts is how long another observer's suspicion counts.
	suspicionLasts = 3 * time.Second
	// deadAfter is the silence after which one observer alone ranks a host out.
	deadAfter = 5 * time.Second
	// observersNeeded is the number of observers that rank a host out.
	observersNeeded = 2
	// probeEvery is the time between heartbeats to a host that is ranked out.
	probeEvery = time.Second
	// smallFleet is the size up to which every host is a contact of every other.
	smallFleet = 16
)

const (
	// Unheard is a host known from settings or the host list alone.
	Unheard State = iota
	// Alive is a host heard of lately.
	Alive
	// Suspected is a host that one observer misses; it still counts.
	Suspected
	// Dead is a host that enough observers miss.
	Dead
)

type (
	// State is what a host believes of another.
	State int

	// Member is a host as this one sees it.
	Member struct {
		Name          string
		Zone          string
		Address       string
		Incarnation   uint64
		Sequence      uint64
		Heard         time.Time
		State         State
		Leaving       bool
		ConfigVersion uint64
		Checksum      uint32
	}

	// Suspicion says that an observer misses a host since a sequence number.
	Suspicion struct {
		Host        string
		Incarnation uint64
		Sequence    uint64
	}

	// Heartbeat is what a host tells its contacts.
	Heartbeat struct {
		Member
		Suspicions []Suspicion
	}

	// Table is one host's view of the others; it is not safe for concurrent use.
	Table struct {
		self      Member
		members   map[string]*entry
		probed    time.Time
		probeNext int
	}

	entry struct {
		Member
		direct   time.Time
		missedBy map[string]time.Time
	}
)

// NewTable returns a table that knows only the host itself.
func NewTable(self Member) *Table {
	self.State = Alive
	return &Table{self: self, members: make(map[string]*entry)}
}

// Self returns this host's own entry.
func (t *Table) Self() Member { return t.self }

// SetSelf changes what this host tells of itself.
func (t *Table) SetSelf(version uint64, checksum uint32, leaving bool) {
	t.self.ConfigVersion = version
	t.self.Checksum = checksum
	t.self.Leaving = leaving
}

// Hint takes in a host from settings or the platform's list; what was heard
// from the host itself is not overruled, except that it is leaving.
func (t *Table) Hint(m Member) {
	if m.Name == t.self.Name {
		return
	}
	e := t.members[m.Name]
	if e == nil {
		t.members[m.Name] = &entry{Member: m, missedBy: make(map[string]time.Time)}
		return
	}
	e.Leaving = e.Leaving || m.Leaving
	if e.State == Unheard || e.State == Dead {
		e.Address = m.Address
		e.Zone = m.Zone
	}
}

// Heard takes in a heartbeat; one that is older than what is known is ignored.
func (t *Table) Heard(h Heartbeat, now time.Time) {
	if h.Name == t.self.Name {
		return
	}
	e := t.members[h.Name]
	if e == nil {
		e = &entry{missedBy: make(map[string]time.Time)}
		t.members[h.Name] = e
	}
	if h.Incarnation < e.Incarnation || h.Incarnation == e.Incarnation && h.Sequence <= e.Sequence {
		return
	}
	e.Member = h.Member
	e.State = Alive
	e.Heard = now
	e.direct = now
	clear(e.missedBy)
	for _, s := range h.Suspicions {
		t.missed(s, h.Name, now)
	}
}

// missed takes in another observer's suspicion.
func (t *Table) missed(s Suspicion, observer string, now time.Time) {
	e := t.members[s.Host]
	if e == nil || s.Host == observer {
		return
	}
	if s.Incarnation != e.Incarnation || s.Sequence < e.Sequence {
		return
	}
	e.missedBy[observer] = now
	t.judge(e, now)
}

// judge sets an entry's state from the observers that miss it.
func (t *Table) judge(e *entry, now time.Time) {
	for o, at := range e.missedBy {
		if now.Sub(at) > suspicionLasts {
			delete(e.missedBy, o)
		}
	}
	observers := len(e.missedBy)
	switch {
	case e.State == Unheard || observers == 0:
	case observers >= min(observersNeeded, t.observers(e)), !e.direct.IsZero() && now.Sub(e.direct) > deadAfter:
		e.State = Dead
	default:
		if e.State == Alive {
			e.State = Suspected
		}
	}
}

// observers returns the number of hosts that could miss the entry: those of its
// zone that are not ranked out, and this one.
func (t *Table) observers(e *entry) int {
	n := 1
	for _, o := range t.members {
		if o != e && o.Zone == e.Zone && (o.State == Alive || o.State == Suspected) {
			n++
		}
	}
	return n
}

// Tick judges silence and returns the members to send a heartbeat to now.
func (t *Table) Tick(now time.Time) []Member {
	t.self.Sequence++
	for _, e := range t.members {
		if !e.direct.IsZero() && now.Sub(e.direct) > SuspectAfter {
			e.missedBy[t.self.Name] = now
		}
		t.judge(e, now)
	}
	return append(t.Contacts(), t.probe(now)...)
}

// Suspicions returns what this host has to say of silent ones.
func (t *Table) Suspicions() []Suspicion {
	var out []Suspicion
	for _, e := range t.members {
		if _, ok := e.missedBy[t.self.Name]; ok {
			out = append(out, Suspicion{Host: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Contacts returns the hosts that get every heartbeat: all of a small fleet,
// and in a large one those at distances 1,
// 2, 4 and so on in the zone's ring, and one host of each other zone that this
// host is to keep in touch with.
func (t *Table) Contacts() []Member {
	if len(t.members) < smallFleet {
		return t.reachable()
	}
	zones := t.byZone()
	own := zones[t.self.Zone]
	if len(own) == 1 {
		own = t.wholeZone()
	}
	out := ring(own, t.self.Name)
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	slices.Sort(names)
	for _, z := range names {
		if z == t.self.Zone || !t.keeps(own, z) {
			continue
		}
		others := zones[z]
		out = append(out, others[pick(t.self.Zone+"/"+z, len(others))])
	}
	return out
}

// reachable returns all hosts that are not ranked out, or all when none is left.
func (t *Table) reachable() []Member {
	all := t.Members()
	living := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.State == Dead })
	if len(living) == 0 {
		return all
	}
	return living
}

// wholeZone returns all hosts of the zone, also those ranked out: a host that
// hears nobody may itself be the one that is cut off.
func (t *Table) wholeZone() []Member {
	all := []Member{t.self}
	for _, e := range t.members {
		if e.Zone == t.self.Zone {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// keeps reports whether this host keeps in touch with a zone: two hosts of
// each zone do.
func (t *Table) keeps(own []Member, zone string) bool {
	at := pick(zone, len(own))
	return own[at].Name == t.self.Name || own[(at+1)%len(own)].Name == t.self.Name
}

// byZone returns the hosts that count, the host itself among them, sorted by name.
func (t *Table) byZone() map[string][]Member {
	zones := map[string][]Member{t.self.Zone: {t.self}}
	for _, e := range t.members {
		if e.State != Dead && !(e.State == Unheard && e.Leaving) {
			zones[e.Zone] = append(zones[e.Zone], e.Member)
		}
	}
	for _, ms := range zones {
		slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return zones
}

// probe returns now and then one host that is ranked out, so that it can rejoin.
func (t *Table) probe(now time.Time) []Member {
	if now.Sub(t.probed) < probeEvery {
		return nil
	}
	t.probed = now
	var out []Member
	for _, e := range t.members {
		if e.State == Dead {
			out = append(out, e.Member)
		}
	}
	if len(out) == 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t.probeNext++
	return out[t.probeNext%len(out):][:1]
}

// Members returns all other hosts, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Living returns the hosts of a zone that are not ranked out, the host itself among them.
func (t *Table) Living(zone string) []Member {
	return slices.DeleteFunc(t.byZone()[zone], func(m Member) bool {
		return m.State == Unheard || m.Leaving
	})
}

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unheard", "alive", "suspected", "dead"}[s]
}

func ring(members []Member, self string) []Member {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	var out []Member
	for d := 1; d < len(members); d *= 2 {
		out = append(out, members[(at+d)%len(members)])
	}
	return out
}

// pick returns an index below n that depends on the key alone.
func pick(key string, n int) int {
	h := uint32(2166136261)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return int(h % uint32(n))
}
