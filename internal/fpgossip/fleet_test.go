package fpgossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpheap"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	sameZoneDelay  = time.Millisecond
	crossZoneDelay = 60 * time.Millisecond
	// patchFetchTime is the time to fetch a patch beyond the round trip.
	patchFetchTime = 5 * time.Millisecond
	// patchMessageBytes is the size of a patch with its headers.
	patchMessageBytes = 900
)

type (
	// simulatedFleet runs membership tables against each other in virtual time.
	simulatedFleet struct {
		now          time.Time
		events       *fpheap.Heap[event]
		hosts        []*simulatedHost
		byName       map[string]*simulatedHost
		lastSerial   int
		patchFetches int
	}

	simulatedHost struct {
		table          *fpmember.Table
		version        uint64
		stopped        bool
		sendBlocked    bool
		receiveBlocked bool
		sentBytes      int
	}

	event struct {
		dueAt  time.Time
		serial int
		action func()
	}
)

// isEarlier reports whether event a comes before event b.
func isEarlier(a, b event) bool {
	if !a.dueAt.Equal(b.dueAt) {
		return a.dueAt.Before(b.dueAt)
	}
	return a.serial < b.serial
}

func newSimulatedFleet(zones, perZone int) *simulatedFleet {
	f := &simulatedFleet{now: time.Unix(1000, 0), byName: make(map[string]*simulatedHost), events: fpheap.New(isEarlier)}
	for z := range zones {
		for i := range perZone {
			f.addHost(fpmember.Member{
				Name:        fmt.Sprintf("z%02d-h%02d", z, i),
				Zone:        fmt.Sprintf("z%02d", z),
				Address:     fmt.Sprintf("10.%d.0.%d:8100", z, i),
				Incarnation: 1,
			})
		}
	}
	for _, h := range f.hosts {
		for _, o := range f.hosts {
			h.table.AddDiscovered(o.table.Self())
		}
		offset := time.Duration(f.events.Len()*7919%500) * time.Millisecond
		f.schedule(offset, func() { f.tick(h) })
	}
	return f
}

func (f *simulatedFleet) addHost(m fpmember.Member) {
	h := &simulatedHost{table: fpmember.NewTable(m)}
	f.hosts = append(f.hosts, h)
	f.byName[m.Name] = h
}

func (f *simulatedFleet) schedule(d time.Duration, run func()) {
	f.lastSerial++
	f.events.Push(event{dueAt: f.now.Add(d), serial: f.lastSerial, action: run})
}

func (f *simulatedFleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for f.events.Len() > 0 && !f.events.First().dueAt.After(end) {
		e := f.events.Pop()
		f.now = e.dueAt
		e.action()
	}
	f.now = end
}

func (f *simulatedFleet) tick(h *simulatedHost) {
	f.schedule(fpmember.HeartbeatInterval, func() { f.tick(h) })
	if !h.stopped {
		f.sendHeartbeat(h, h.table.Tick(f.now))
	}
}

func (f *simulatedFleet) sendHeartbeat(h *simulatedHost, to []fpmember.Member) {
	m := Message{Heartbeat: fpmember.Heartbeat{Member: h.table.Self(), Suspicions: h.table.Suspicions()}}
	size := len(Encode(m, nil)) + IPOverheadBytes
	for _, t := range to {
		h.sentBytes += size
		o := f.byName[t.Name]
		if o == nil || h.sendBlocked {
			continue
		}
		f.schedule(f.oneWayDelay(h, o), func() { f.receiveHeartbeat(o, m) })
	}
}

func (f *simulatedFleet) oneWayDelay(a, b *simulatedHost) time.Duration {
	if a.table.Self().Zone == b.table.Self().Zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (f *simulatedFleet) receiveHeartbeat(h *simulatedHost, m Message) {
	if h.stopped || h.receiveBlocked {
		return
	}
	h.table.RecordHeartbeat(m.Heartbeat, f.now)
	if m.ConfigVersion > h.version {
		from := f.byName[m.Name]
		f.patchFetches++
		f.schedule(2*f.oneWayDelay(h, from)+patchFetchTime, func() { f.applyVersion(h, from.version) })
	}
}

// applyVersion sets a host's version and sends heartbeats to its contacts at once.
func (f *simulatedFleet) applyVersion(h *simulatedHost, version uint64) {
	if h.stopped || version <= h.version {
		return
	}
	h.version = version
	h.sentBytes += patchMessageBytes
	h.table.SetSelf(version, 0, false)
	f.sendHeartbeat(h, h.table.Contacts())
}

func (f *simulatedFleet) stateSeenBy(at, of string) fpmember.State {
	for _, m := range f.byName[at].table.Members() {
		if m.Name == of {
			return m.State
		}
	}
	return fpmember.NotContacted
}

// TestMembership checks the state that one host of a zone of three reports for another after
// crashes, partitions and restarts.
func TestMembership(t *testing.T) {
	const victim, observer, other = "z00-h00", "z00-h01", "z00-h02"
	tests := map[string]struct {
		inject func(*simulatedFleet)
		after  time.Duration
		want   fpmember.State
	}{
		"no fault":                   {func(*simulatedFleet) {}, 10 * time.Second, fpmember.Alive},
		"dead within two seconds":    {func(f *simulatedFleet) { f.byName[victim].stopped = true }, 2 * time.Second, fpmember.Dead},
		"suspected by one host only": {func(f *simulatedFleet) { f.byName[observer].receiveBlocked = true }, 2 * time.Second, fpmember.Suspected},
		"receives nothing but sends": {func(f *simulatedFleet) { f.byName[victim].receiveBlocked = true }, 3 * time.Second, fpmember.Alive},
		"receives but cannot send":   {func(f *simulatedFleet) { f.byName[victim].sendBlocked = true }, 2 * time.Second, fpmember.Dead},
		"suspended and resumed": {func(f *simulatedFleet) {
			f.byName[victim].stopped = true
			f.advance(5 * time.Second)
			f.byName[victim].stopped = false
		}, 2 * time.Second, fpmember.Alive},
		"restarted under the same address": {func(f *simulatedFleet) {
			f.byName[victim].stopped = true
			f.advance(5 * time.Second)
			self := f.byName[victim].table.Self()
			self.Incarnation, self.Sequence = 2, 0
			f.byName[victim].table = fpmember.NewTable(self)
			for _, h := range f.hosts {
				f.byName[victim].table.AddDiscovered(h.table.Self())
			}
			f.byName[victim].stopped = false
		}, 2 * time.Second, fpmember.Alive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSimulatedFleet(2, 3)
			f.advance(5 * time.Second)
			tt.inject(f)
			f.advance(tt.after)
			is.New(t).Equal(f.stateSeenBy(observer, victim), tt.want)
			if tt.want == fpmember.Suspected {
				is.New(t).Equal(f.stateSeenBy(other, victim), fpmember.Alive)
			}
		})
	}
}

// TestConfigurationPropagation applies a version at one host and checks that every host applies
// it within the required 4 s while no host sends more than 2048 bytes a second.
func TestConfigurationPropagation(t *testing.T) {
	tests := map[string]struct{ zones, hosts int }{
		"9 hosts":   {3, 3},
		"870 hosts": {29, 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSimulatedFleet(tt.zones, tt.hosts)
			f.advance(3 * time.Second)
			for _, h := range f.hosts {
				h.sentBytes = 0
			}
			start := f.now
			f.applyVersion(f.hosts[0], 1)
			propagation := time.Duration(0)
			for f.now.Sub(start) < 6*time.Second {
				f.advance(100 * time.Millisecond)
				if f.hostsBehind() == 0 && propagation == 0 {
					propagation = f.now.Sub(start)
				}
			}
			maxSentBytes := 0
			for _, h := range f.hosts {
				maxSentBytes = max(maxSentBytes, h.sentBytes)
			}
			bytesPerSecond := maxSentBytes / 6
			t.Logf("%d hosts: applied everywhere within %v, %d patch fetches, the busiest host sent %d B/s", len(f.hosts), propagation, f.patchFetches, bytesPerSecond)
			if propagation == 0 || propagation > 4*time.Second {
				t.Errorf("applied everywhere after %v, %d hosts behind; target 4 s", propagation, f.hostsBehind())
			}
			if bytesPerSecond > 2048 {
				t.Errorf("the busiest host sent %d B/s, target 2048", bytesPerSecond)
			}
		})
	}
}

func (f *simulatedFleet) hostsBehind() int {
	n := 0
	for _, h := range f.hosts {
		if h.version == 0 {
			n++
		}
	}
	return n
}

// TestDecodeRequiresSecret checks that datagrams with another secret and truncated ones are
// rejected.
func TestDecodeRequiresSecret(t *testing.T) {
	is := is.New(t)
	data := Encode(Message{Heartbeat: fpmember.Heartbeat{Member: fpmember.Member{Name: "a"}}}, []byte("secret"))
	m, err := Decode(data, []byte("secret"))
	is.NoErr(err)
	is.Equal(m.Name, "a")
	_, err = Decode(data, []byte("other"))
	is.True(err != nil)
	_, err = Decode(data[:5], []byte("secret"))
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Message{Heartbeat: fpmember.Heartbeat{Member: fpmember.Member{Name: "a"}}}, nil))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(append(authTag(data, nil), data...), nil)
	})
}

// BenchmarkTick measures a host's work per heartbeat for several fleet sizes.
func BenchmarkTick(b *testing.B) {
	for _, zones := range []int{3, 10, 29} {
		b.Run(fmt.Sprintf("hosts=%d", zones*30), func(b *testing.B) {
			b.ReportAllocs()
			f := newSimulatedFleet(zones, 30)
			t := f.hosts[0].table
			for range b.N {
				t.Tick(f.now)
			}
		})
	}
}

// TestQuarantinedPartsSurviveEncoding checks that parts in quarantine reach other hosts with their age, and
// that a full heartbeat fits into a datagram.
func TestQuarantinedPartsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	m := Message{Heartbeat: fpmember.Heartbeat{Member: fpmember.Member{Name: "a"}}}
	for i := range 8 {
		m.QuarantinedParts = append(m.QuarantinedParts, fpquarantine.Entry{ID: fmt.Sprintf("%016x", i), Age: time.Duration(i) * time.Second})
	}
	data := Encode(m, []byte("secret"))
	is.True(len(data) <= MaxDatagramBytes/2)
	got, err := Decode(data, []byte("secret"))
	is.NoErr(err)
	is.Equal(got.QuarantinedParts, m.QuarantinedParts)
}
