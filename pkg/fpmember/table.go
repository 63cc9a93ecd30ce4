package fpmember

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the interval between heartbeats to a contact.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectTimeout is the time without a heartbeat after which an observer suspects a host.
	SuspectTimeout = 1200 * time.Millisecond
	// suspicionTTL is how long a suspicion counts after it was last reported.
	suspicionTTL = 3 * time.Second
	// singleObserverDeadTimeout is the time without a heartbeat after which this
	// host marks another as dead without a quorum.
	singleObserverDeadTimeout = 5 * time.Second
	// deadQuorum is the number of observers whose suspicion marks a host as dead;
	// fewer suffice when fewer hosts can observe it.
	deadQuorum = 2
	// probeInterval is the time between heartbeats to dead hosts, one host at a time.
	probeInterval = time.Second
	// maxFullMeshHosts is the fleet size up to which every host sends heartbeats to every other.
	maxFullMeshHosts = 16
)

const (
	// NotContacted is a host known only from the settings or the host list.
	NotContacted State = iota
	// Alive is a host that sent a heartbeat recently and that no observer suspects.
	Alive
	// Suspected is a host that fewer observers than the quorum suspect; it is still treated as live.
	Suspected
	// Dead is a host that a quorum of observers suspects, or that this host has
	// not heard from for singleObserverDeadTimeout.
	Dead
)

type (
	// State is a host's liveness as seen by another host.
	State int

	// Member describes a host. Incarnation grows with each start of the host and Sequence with each
	// of its heartbeats; State is this host's view of it.
	Member struct {
		Name          string
		Zone          string
		Address       string
		Incarnation   uint64
		Sequence      uint64
		LastHeartbeat time.Time
		State         State
		Leaving       bool
		ConfigVersion uint64
		Checksum      uint32
	}

	// Suspicion reports that an observer has received no heartbeat from a host
	// since the given sequence number.
	Suspicion struct {
		Host        string
		Incarnation uint64
		Sequence    uint64
	}

	// Heartbeat is the message that a host sends to its contacts.
	Heartbeat struct {
		Member
		Suspicions []Suspicion
	}

	// Table is one host's view of the other hosts; it is not safe for concurrent use.
	Table struct {
		self       Member
		members    map[string]*entry
		lastProbe  time.Time
		probeCount int
	}

	// entry is a host with the time of its last heartbeat here, zero for none, and the time at which
	// each observer last reported to suspect it.
	entry struct {
		Member
		lastReceived time.Time
		suspectedBy  map[string]time.Time
	}
)

// NewTable returns a table that knows only the host itself.
func NewTable(self Member) *Table {
	self.State = Alive
	return &Table{self: self, members: make(map[string]*entry)}
}

// Self returns this host's own entry.
func (t *Table) Self() Member { return t.self }

// SetSelf updates the state that this host advertises in its heartbeats.
func (t *Table) SetSelf(version uint64, checksum uint32, leaving bool) {
	t.self.ConfigVersion = version
	t.self.Checksum = checksum
	t.self.Leaving = leaving
}

// AddDiscovered adds a host from the settings or the platform's host list. Data from the
// host's own heartbeats takes precedence, except that the list can mark it as leaving.
func (t *Table) AddDiscovered(m Member) {
	if m.Name == t.self.Name {
		return
	}
	e := t.members[m.Name]
	if e == nil {
		t.members[m.Name] = &entry{Member: m, suspectedBy: make(map[string]time.Time)}
		return
	}
	e.Leaving = e.Leaving || m.Leaving
	if e.State == NotContacted || e.State == Dead {
		e.Address = m.Address
		e.Zone = m.Zone
	}
}

// RecordHeartbeat records a heartbeat; a heartbeat no newer than the last one is ignored.
func (t *Table) RecordHeartbeat(h Heartbeat, now time.Time) {
	if h.Name == t.self.Name {
		return
	}
	e := t.members[h.Name]
	if e == nil {
		e = &entry{suspectedBy: make(map[string]time.Time)}
		t.members[h.Name] = e
	}
	if h.Incarnation < e.Incarnation || h.Incarnation == e.Incarnation && h.Sequence <= e.Sequence {
		return
	}
	e.Member = h.Member
	e.State = Alive
	e.LastHeartbeat = now
	e.lastReceived = now
	clear(e.suspectedBy)
	for _, s := range h.Suspicions {
		t.recordSuspicion(s, h.Name, now)
	}
}

// recordSuspicion records another observer's suspicion. It is ignored when this
// host has received a newer heartbeat than the observer.
func (t *Table) recordSuspicion(s Suspicion, observer string, now time.Time) {
	e := t.members[s.Host]
	if e == nil || s.Host == observer {
		return
	}
	if s.Incarnation != e.Incarnation || s.Sequence < e.Sequence {
		return
	}
	e.suspectedBy[observer] = now
	t.updateState(e, now)
}

// updateState derives an entry's state from the observers that suspect it.
func (t *Table) updateState(e *entry, now time.Time) {
	for o, at := range e.suspectedBy {
		if now.Sub(at) > suspicionTTL {
			delete(e.suspectedBy, o)
		}
	}
	observers := len(e.suspectedBy)
	switch {
	case e.State == NotContacted || observers == 0:
	case observers >= min(deadQuorum, t.countObservers(e)),
		!e.lastReceived.IsZero() && now.Sub(e.lastReceived) > singleObserverDeadTimeout:
		e.State = Dead
	default:
		if e.State == Alive {
			e.State = Suspected
		}
	}
}

// countObservers returns the number of hosts that can suspect the entry: the
// live ones of its zone, and this host.
func (t *Table) countObservers(e *entry) int {
	n := 1
	for _, o := range t.members {
		if o != e && o.Zone == e.Zone && (o.State == Alive || o.State == Suspected) {
			n++
		}
	}
	return n
}

// Tick updates the state of all hosts and returns those to send a heartbeat to now.
func (t *Table) Tick(now time.Time) []Member {
	t.self.Sequence++
	for _, e := range t.members {
		if !e.lastReceived.IsZero() && now.Sub(e.lastReceived) > SuspectTimeout {
			e.suspectedBy[t.self.Name] = now
		}
		t.updateState(e, now)
	}
	return append(t.Contacts(), t.nextProbe(now)...)
}

// Suspicions returns the hosts that this host itself suspects, sorted by name.
func (t *Table) Suspicions() []Suspicion {
	var out []Suspicion
	for _, e := range t.members {
		if _, ok := e.suspectedBy[t.self.Name]; ok {
			out = append(out, Suspicion{Host: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Contacts returns the hosts that receive every heartbeat. In a small fleet
// these are all live hosts; in a larger one the hosts at distances 1, 2, 4 and
// so on in the zone's ring, and one host of each other zone to which this host
// is assigned.
func (t *Table) Contacts() []Member {
	if len(t.members) < maxFullMeshHosts {
		return t.liveOrAllMembers()
	}
	zones := t.candidatesByZone()
	ownZone := zones[t.self.Zone]
	if len(ownZone) == 1 {
		ownZone = t.zoneMembersWithDead()
	}
	out := powerOfTwoSuccessors(ownZone, t.self.Name)
	zoneNames := make([]string, 0, len(zones))
	for z := range zones {
		zoneNames = append(zoneNames, z)
	}
	slices.Sort(zoneNames)
	for _, z := range zoneNames {
		if z == t.self.Zone || !t.maintainsContact(ownZone, z) {
			continue
		}
		others := zones[z]
		out = append(out, others[hashIndex(t.self.Zone+"/"+z, len(others))])
	}
	return out
}

// liveOrAllMembers returns all hosts that are not dead, or all hosts when none is left.
func (t *Table) liveOrAllMembers() []Member {
	all := t.Members()
	live := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.State == Dead })
	if len(live) == 0 {
		return all
	}
	return live
}

// zoneMembersWithDead returns all hosts of this host's zone, dead ones
// included: a host that receives no heartbeats may itself be partitioned.
func (t *Table) zoneMembersWithDead() []Member {
	all := []Member{t.self}
	for _, e := range t.members {
		if e.Zone == t.self.Zone {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// maintainsContact reports whether this host is assigned to send heartbeats to
// a host of another zone; two hosts of each zone are.
func (t *Table) maintainsContact(ownZone []Member, zone string) bool {
	at := hashIndex(zone, len(ownZone))
	return ownZone[at].Name == t.self.Name || ownZone[(at+1)%len(ownZone)].Name == t.self.Name
}

// candidatesByZone returns, by zone and sorted by name, this host and all hosts
// that are not dead; one never heard from is left out when it is listed as leaving.
func (t *Table) candidatesByZone() map[string][]Member {
	zones := map[string][]Member{t.self.Zone: {t.self}}
	for _, e := range t.members {
		if e.State != Dead && !(e.State == NotContacted && e.Leaving) {
			zones[e.Zone] = append(zones[e.Zone], e.Member)
		}
	}
	for _, ms := range zones {
		slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return zones
}

// nextProbe returns one dead host every probeInterval, in rotation, so that
// recovered hosts and healed partitions rejoin.
func (t *Table) nextProbe(now time.Time) []Member {
	if now.Sub(t.lastProbe) < probeInterval {
		return nil
	}
	t.lastProbe = now
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
	t.probeCount++
	return out[t.probeCount%len(out):][:1]
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

// LiveMembers returns the hosts of a zone that are alive or suspected and not
// leaving, this host included.
func (t *Table) LiveMembers(zone string) []Member {
	return slices.DeleteFunc(t.candidatesByZone()[zone], func(m Member) bool {
		return m.State == NotContacted || m.Leaving
	})
}

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unheard", "alive", "suspected", "dead"}[s]
}

// powerOfTwoSuccessors returns the members at distances 1, 2, 4 and so on after
// self in the ring of members.
func powerOfTwoSuccessors(members []Member, self string) []Member {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	var out []Member
	for d := 1; d < len(members); d *= 2 {
		out = append(out, members[(at+d)%len(members)])
	}
	return out
}

// hashIndex maps the key to an index below n with 32-bit FNV-1a.
func hashIndex(key string, n int) int {
	h := uint32(2166136261)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return int(h % uint32(n))
}
