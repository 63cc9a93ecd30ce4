package fpclaim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	// fakeStore is an in-memory store of one shard's slots.
	fakeStore struct {
		revision int64
		slots    []storedSlot
	}

	// simulatedHost is a host's shard and its calls in flight.
	simulatedHost struct {
		name  string
		shard *Shard
		calls []Action
	}

	// simulation runs several hosts' shards against one store. Calls are answered
	// in any order; delayed holds writes that reach the store later.
	simulation struct {
		store         fakeStore
		hosts         []*simulatedHost
		now           time.Time
		delayed       []WriteSlot
		granted       map[Key]map[string]bool
		released      map[string]bool
		attemptSerial int
		hostSerial    int
	}
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "4000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newSimulation(hosts, slots int) *simulation {
	m := &simulation{
		store:    fakeStore{slots: make([]storedSlot, slots)},
		now:      time.Unix(1000, 0),
		granted:  make(map[Key]map[string]bool),
		released: make(map[string]bool),
	}
	for range hosts {
		m.hosts = append(m.hosts, m.newHost())
	}
	return m
}

func (m *simulation) newHost() *simulatedHost {
	m.hostSerial++
	name := fmt.Sprintf("h%d", m.hostSerial)
	return &simulatedHost{name: name, shard: NewShard(name, Settings{Slots: len(m.store.slots), Window: time.Hour})}
}

func (m *simulation) handleActions(h *simulatedHost, actions []Action) {
	for _, a := range actions {
		if r, ok := a.(Reply); ok {
			m.recordReply(r)
			continue
		}
		h.calls = append(h.calls, a)
	}
}

func (m *simulation) recordReply(r Reply) {
	if r.Verdict != Granted {
		return
	}
	if m.granted[r.Key] == nil {
		m.granted[r.Key] = make(map[string]bool)
	}
	m.granted[r.Key][r.Attempt] = true
}

func (m *simulation) compareAndSwap(w WriteSlot) bool {
	if m.store.slots[w.Slot].revision != w.Expected {
		return false
	}
	if w.PreviousExpected > 0 && m.store.slots[w.Previous].revision != w.PreviousExpected {
		return false
	}
	m.store.revision++
	m.store.slots[w.Slot] = storedSlot{revision: m.store.revision, slot: w.Value}
	return true
}

// answerCall answers a host's oldest call, or loses the answer or the call, or
// delays the call.
func (m *simulation) answerCall(t *rapid.T, h *simulatedHost) {
	if len(h.calls) == 0 {
		return
	}
	a := h.calls[0]
	h.calls = h.calls[1:]
	result := rapid.SampledFrom([]string{"answered", "answered", "answered", "answer lost", "call lost", "delayed"}).Draw(t, "result")
	switch a := a.(type) {
	case ReadSlot:
		if result != "answered" {
			m.handleActions(h, h.shard.HandleReadFailed(m.now))
			return
		}
		s := m.store.slots[a.Slot]
		m.handleActions(h, h.shard.HandleSlotRead(a.Slot, s.revision, s.slot, m.now))
	case WriteSlot:
		m.answerWrite(h, a, result)
	}
}

func (m *simulation) answerWrite(h *simulatedHost, a WriteSlot, result string) {
	switch result {
	case "delayed":
		m.delayed = append(m.delayed, a)
	case "answer lost":
		m.compareAndSwap(a)
	case "answered":
		if m.compareAndSwap(a) {
			m.handleActions(h, h.shard.HandleSlotWritten(m.store.revision, m.now))
		} else {
			m.handleActions(h, h.shard.HandleWriteConflict(m.now))
		}
		return
	}
	m.handleActions(h, h.shard.HandleWriteUnknown(m.now))
}

// activeHolders counts the attempts that were granted the key and have not released it.
func (m *simulation) activeHolders(k Key) int {
	n := 0
	for a := range m.granted[k] {
		if !m.released[a] {
			n++
		}
	}
	return n
}

// TestAtMostOneHolder runs the actions of the model specs/claim.pml in any order
// and checks its invariant: of the attempts that did not release their claim, at
// most one was ever granted.
func TestAtMostOneHolder(t *testing.T) {
	keys := []Key{"k1", "k2"}
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(3, 2)
		t.Repeat(map[string]func(*rapid.T){
			"try to claim": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				m.attemptSerial++
				c := Claim{
					Key:     rapid.SampledFrom(keys).Draw(t, "key"),
					Attempt: fmt.Sprintf("a%d", m.attemptSerial),
					Host:    h.name,
					At:      m.now.UnixMilli(),
				}
				m.handleActions(h, h.shard.RequestClaim(c, m.now, m.now.Add(time.Minute)))
			},
			"release": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				k := rapid.SampledFrom(keys).Draw(t, "key")
				c, ok := h.shard.Holder(k)
				if !ok || c.Host != h.name {
					return
				}
				m.released[c.Attempt] = true
				c.Released = true
				m.handleActions(h, h.shard.RequestClaim(c, m.now, m.now.Add(time.Minute)))
			},
			"answer": func(t *rapid.T) { m.answerCall(t, rapid.SampledFrom(m.hosts).Draw(t, "host")) },
			"answer several": func(t *rapid.T) {
				for range 8 {
					m.answerCall(t, rapid.SampledFrom(m.hosts).Draw(t, "host"))
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(10 * time.Millisecond)
				h := rapid.SampledFrom(m.hosts).Draw(t, "host")
				m.handleActions(h, h.shard.Tick(m.now))
			},
			"late write": func(*rapid.T) {
				if len(m.delayed) > 0 {
					m.compareAndSwap(m.delayed[0])
					m.delayed = m.delayed[1:]
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] = m.newHost()
				}
			},
			"": func(t *rapid.T) {
				for _, k := range keys {
					if n := m.activeHolders(k); n > 1 {
						t.Fatalf("key %s has %d holders: %v", k, n, m.granted[k])
					}
				}
			},
		})
	})
}

// answerAllCalls answers a host's calls, and those that follow from them, until
// none is left.
func (m *simulation) answerAllCalls(h *simulatedHost) {
	for len(h.calls) > 0 {
		a := h.calls[0]
		h.calls = h.calls[1:]
		switch a := a.(type) {
		case ReadSlot:
			s := m.store.slots[a.Slot]
			m.handleActions(h, h.shard.HandleSlotRead(a.Slot, s.revision, s.slot, m.now))
		case WriteSlot:
			m.answerWrite(h, a, "answered")
		}
	}
}

func (m *simulation) requestClaim(h *simulatedHost, k Key, attempt string) {
	c := Claim{Key: k, Attempt: attempt, Host: h.name, At: m.now.UnixMilli()}
	m.handleActions(h, h.shard.RequestClaim(c, m.now, m.now.Add(time.Minute)))
}

// TestAppendWhileLoading guards against a view with a missing batch: while a host
// reads the ring, one batch is written to a slot that it has already read and the
// next one to a slot that it has yet to read.
func TestAppendWhileLoading(t *testing.T) {
	is := is.New(t)
	m := newSimulation(2, 4)
	writer, reader := m.hosts[0], m.hosts[1]
	for i := range 4 {
		m.requestClaim(writer, Key(fmt.Sprintf("old%d", i)), fmt.Sprintf("o%d", i))
		m.answerAllCalls(writer)
	}
	m.requestClaim(reader, "k", "late")
	for range 2 {
		a := reader.calls[0].(ReadSlot)
		reader.calls = nil
		s := m.store.slots[a.Slot]
		m.handleActions(reader, reader.shard.HandleSlotRead(a.Slot, s.revision, s.slot, m.now))
	}
	for _, k := range []Key{"k", "x"} {
		m.requestClaim(writer, k, "first-"+string(k))
		m.answerAllCalls(writer)
	}
	m.answerAllCalls(reader)
	is.Equal(m.activeHolders("k"), 1)
	is.True(m.granted["k"]["first-k"])
}

// TestStoreRestoredToOlderState checks that no claim is granted for a window after
// the store was restored to an older state, in which claims may be missing.
func TestStoreRestoredToOlderState(t *testing.T) {
	is := is.New(t)
	m := newSimulation(1, 2)
	h := m.hosts[0]
	m.requestClaim(h, "k", "a1")
	m.answerAllCalls(h)
	is.Equal(m.activeHolders("k"), 1)
	m.store = fakeStore{slots: make([]storedSlot, 2)}
	m.now = m.now.Add(time.Second)
	m.requestClaim(h, "k2", "a2")
	m.answerAllCalls(h)
	m.handleActions(h, h.shard.Tick(m.now.Add(2*time.Minute)))
	is.Equal(m.activeHolders("k2"), 0)
}

// TestRestoredStoreWithHigherRevisions checks that no claim is granted for a window after the store was
// restored to an older state and written so often since that revisions and sequence numbers have passed
// those of before: another host may have been granted the key of a lost claim.
func TestRestoredStoreWithHigherRevisions(t *testing.T) {
	tests := map[string]struct{ lost, written int }{
		"as many batches as were lost": {lost: 1, written: 1},
		"more batches than were lost":  {lost: 1, written: 2},
		"more of both":                 {lost: 2, written: 3},
		"fewer batches than were lost": {lost: 3, written: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(2, 8)
			first, second := m.hosts[0], m.hosts[1]
			m.requestClaim(first, "before", "a1")
			m.answerAllCalls(first)
			m.requestClaim(second, "before", "b1")
			m.answerAllCalls(second)
			backup := fakeStore{revision: m.store.revision, slots: slices.Clone(m.store.slots)}
			for i := range tt.lost {
				m.now = m.now.Add(time.Second)
				m.requestClaim(first, Key(fmt.Sprint("lost", i)), "a2")
				m.answerAllCalls(first)
			}
			backup.revision = m.store.revision + 100 // other keys were written
			m.store = backup
			for i := range tt.written {
				m.now = m.now.Add(time.Second)
				m.requestClaim(second, Key(fmt.Sprint("new", i)), "b2")
				m.answerAllCalls(second)
			}
			m.now = m.now.Add(time.Second)
			m.requestClaim(first, "later", "a3")
			m.answerAllCalls(first)
			is.Equal(len(m.granted["later"]), 0)
		})
	}
}

// TestExpiredClaimsDropped checks that claims older than the window are dropped
// when their slot is replaced.
func TestExpiredClaimsDropped(t *testing.T) {
	is := is.New(t)
	m := newSimulation(1, 2)
	h := m.hosts[0]
	for i := range 10 {
		m.requestClaim(h, Key(fmt.Sprintf("k%d", i)), fmt.Sprintf("a%d", i))
		m.answerAllCalls(h)
		m.now = m.now.Add(20 * time.Minute)
	}
	kept := 0
	for _, s := range m.store.slots {
		kept += len(s.slot.Claims)
	}
	is.True(kept <= 5)
	is.True(h.shard.ClaimCount() <= 5)
}

// BenchmarkClaim measures a claim that is written in a batch of its own.
func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	m := newSimulation(1, DefaultSlots)
	h := m.hosts[0]
	for i := range b.N {
		m.requestClaim(h, Key(fmt.Sprintf("%032x", i)), "a")
		m.answerAllCalls(h)
		m.now = m.now.Add(time.Second)
	}
}
