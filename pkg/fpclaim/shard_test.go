package fpclaim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	// storeFake is one shard's slots in the platform.
	storeFake struct {
		revision int64
		slots    []known
	}

	// claimHost is a host's shard with the calls that are under way.
	claimHost struct {
		name  string
		shard *Shard
		calls []Action
	}

	// machine drives several hosts' shards against one store, in any order.
	machine struct {
		store   storeFake
		hosts   []*claimHost
		now     time.Time
		late    []WriteSlot
		granted map[Key]map[string]bool
		release map[string]bool
		serial  int
		born    int
	}
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "4000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newMachine(hosts, slots int) *machine {
	m := &machine{
		store:   storeFake{slots: make([]known, slots)},
		now:     time.Unix(1000, 0),
		granted: make(map[Key]map[string]bool),
		release: make(map[string]bool),
	}
	for range hosts {
		m.hosts = append(m.hosts, m.newHost())
	}
	return m
}

func (m *machine) newHost() *claimHost {
	m.born++
	name := fmt.Sprintf("h%d", m.born)
	return &claimHost{name: name, shard: NewShard(name, Settings{Slots: len(m.store.slots), Window: time.Hour})}
}

func (m *machine) take(h *claimHost, actions []Action) {
	for _, a := range actions {
		if r, ok := a.(Reply); ok {
			m.reply(r)
			continue
		}
		h.calls = append(h.calls, a)
	}
}

func (m *machine) reply(r Reply) {
	if r.Verdict != Granted {
		return
	}
	if m.granted[r.Key] == nil {
		m.granted[r.Key] = make(map[string]bool)
	}
	m.granted[r.Key][r.Attempt] = true
}

func (m *machine) swap(w WriteSlot) bool {
	if m.store.slots[w.Slot].revision != w.Expected {
		return false
	}
	m.store.revision++
	m.store.slots[w.Slot] = known{revision: m.store.revision, slot: w.Value}
	return true
}

// answer lets the platform answer a host's call, losing the answer or the call if so told.
func (m *machine) answer(t *rapid.T, h *claimHost) {
	if len(h.calls) == 0 {
		return
	}
	a := h.calls[0]
	h.calls = h.calls[1:]
	fate := rapid.SampledFrom([]string{"answered", "answered", "answered", "answer lost", "call lost", "late"}).Draw(t, "fate")
	switch a := a.(type) {
	case ReadSlot:
		if fate != "answered" {
			m.take(h, h.shard.ReadFailed(m.now))
			return
		}
		s := m.store.slots[a.Slot]
		m.take(h, h.shard.SlotRead(a.Slot, s.revision, s.slot, m.now))
	case WriteSlot:
		m.write(h, a, fate)
	}
}

func (m *machine) write(h *claimHost, a WriteSlot, fate string) {
	switch fate {
	case "late":
		m.late = append(m.late, a)
	case "answer lost":
		m.swap(a)
	case "answered":
		if m.swap(a) {
			m.take(h, h.shard.Written(m.store.revision, m.now))
		} else {
			m.take(h, h.shard.Conflict(m.now))
		}
		return
	}
	m.take(h, h.shard.WriteLost(m.now))
}

// holders counts the attempts of a key that were granted and not released by themselves.
func (m *machine) holders(k Key) int {
	n := 0
	for a := range m.granted[k] {
		if !m.release[a] {
			n++
		}
	}
	return n
}

// TestOneHolder drives shards with the actions of specs/claim.pml in any order
// and checks its invariant: of the attempts that did not give their claim up,
// at most one was ever granted.
func TestOneHolder(t *testing.T) {
	keys := []Key{"k1", "k2"}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(3, 2)
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				m.serial++
				c := Claim{
					Key:     rapid.SampledFrom(keys).Draw(t, "key"),
					Attempt: fmt.Sprintf("a%d", m.serial),
					Host:    h.name,
					At:      m.now.UnixMilli(),
				}
				m.take(h, h.shard.Want(c, m.now, m.now.Add(time.Minute)))
			},
			"release": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				k := rapid.SampledFrom(keys).Draw(t, "key")
				c, ok := h.shard.Holder(k)
				if !ok || c.Host != h.name {
					return
				}
				m.release[c.Attempt] = true
				c.Released = true
				m.take(h, h.shard.Want(c, m.now, m.now.Add(time.Minute)))
			},
			"answer": func(t *rapid.T) { m.answer(t, rapid.SampledFrom(m.hosts).Draw(t, "host")) },
			"answer more": func(t *rapid.T) {
				for range 8 {
					m.answer(t, rapid.SampledFrom(m.hosts).Draw(t, "host"))
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(10 * time.Millisecond)
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				m.take(h, h.shard.Tick(m.now))
			},
			"late": func(*rapid.T) {
				if len(m.late) > 0 {
					m.swap(m.late[0])
					m.late = m.late[1:]
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] = m.newHost()
				}
			},
			"": func(t *rapid.T) {
				for _, k := range keys {
					if n := m.holders(k); n > 1 {
						t.Fatalf("key %s has %d holders: %v", k, n, m.granted[k])
					}
				}
			},
		})
	})
}

// drive answers all of a host's calls at once, until none is left.
func (m *machine) drive(h *claimHost) {
	for len(h.calls) > 0 {
		a := h.calls[0]
		h.calls = h.calls[1:]
		switch a := a.(type) {
		case ReadSlot:
			s := m.store.slots[a.Slot]
			m.take(h, h.shard.SlotRead(a.Slot, s.revision, s.slot, m.now))
		case WriteSlot:
			m.write(h, a, "answered")
		}
	}
}

func (m *machine) want(h *claimHost, k Key, attempt string) {
	c := Claim{Key: k, Attempt: attempt, Host: h.name, At: m.now.UnixMilli()}
	m.take(h, h.shard.Want(c, m.now, m.now.Add(time.Minute)))
}

// TestAppendWhileLoading has a batch land in a slot that the reader has passed
// already, and the next one in a slot that it has still to read.
func TestAppendWhileLoading(t *testing.T) {
	is := is.New(t)
	m := newMachine(2, 4)
	writer, reader := m.hosts[0], m.hosts[1]
	for i := range 4 {
		m.want(writer, Key(fmt.Sprintf("old%d", i)), fmt.Sprintf("o%d", i))
		m.drive(writer)
	}
	m.want(reader, "k", "late")
	for range 2 {
		a := reader.calls[0].(ReadSlot)
		reader.calls = nil
		s := m.store.slots[a.Slot]
		m.take(reader, reader.shard.SlotRead(a.Slot, s.revision, s.slot, m.now))
	}
	for _, k := range []Key{"k", "x"} {
		m.want(writer, k, "first-"+string(k))
		m.drive(writer)
	}
	m.drive(reader)
	is.Equal(m.holders("k"), 1)
	is.True(m.granted["k"]["first-k"])
}

// TestRestoredStore grants nothing for a window once the store shows an older state.
func TestRestoredStore(t *testing.T) {
	is := is.New(t)
	m := newMachine(1, 2)
	h := m.hosts[0]
	m.want(h, "k", "a1")
	m.drive(h)
	is.Equal(m.holders("k"), 1)
	m.store = storeFake{slots: make([]known, 2)}
	m.now = m.now.Add(time.Second)
	m.want(h, "k2", "a2")
	m.drive(h)
	m.take(h, h.shard.Tick(m.now.Add(2*time.Minute)))
	is.Equal(m.holders("k2"), 0)
}

// TestWindow drops claims that are older than the window when their slot is replaced.
func TestWindow(t *testing.T) {
	is := is.New(t)
	m := newMachine(1, 2)
	h := m.hosts[0]
	for i := range 10 {
		m.want(h, Key(fmt.Sprintf("k%d", i)), fmt.Sprintf("a%d", i))
		m.drive(h)
		m.now = m.now.Add(20 * time.Minute)
	}
	kept := 0
	for _, s := range m.store.slots {
		kept += len(s.slot.Claims)
	}
	is.True(kept <= 5)
	is.True(h.shard.Claims() <= 5)
}

// BenchmarkClaim measures one claim settled alone, and the size that it adds.
func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	m := newMachine(1, DefaultSlots)
	h := m.hosts[0]
	for i := range b.N {
		m.want(h, Key(fmt.Sprintf("%032x", i)), "a")
		m.drive(h)
		m.now = m.now.Add(time.Second)
	}
}
