package fpgossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpheap"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
)

const (
	oneWayZone = time.Millisecond
	oneWayFar  = 60 * time.Millisecond
	// pullTime is what fetching a patch takes beyond the way there and back.
	pullTime = 5 * time.Millisecond
	// patchBytes is a patch with its headers.
	patchBytes = 900
)

type (
	// fleet plays membership tables against each other in virtual time.
	fleet struct {
		now    time.Time
		queue  *fpheap.Heap[delivery]
		hosts  []*fleetHost
		byName map[string]*fleetHost
		serial int
		pulls  int
	}

	fleetHost struct {
		table   *fpmember.Table
		version uint64
		dead    bool
		mute    bool
		deaf    bool
		sent    int
	}

	delivery struct {
		at     time.Time
		serial int
		run    func()
	}
)

// sooner reports whether delivery a comes before delivery b.
func sooner(a, b delivery) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.serial < b.serial
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), byName: make(map[string]*fleetHost), queue: fpheap.New(sooner)}
	for z := range zones {
		for i := range perZone {
			f.add(fpmember.Member{
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
		offset := time.Duration(f.queue.Len()*7919%500) * time.Millisecond
		f.after(offset, func() { f.tick(h) })
	}
	return f
}

func (f *fleet) add(m fpmember.Member) {
	h := &fleetHost{table: fpmember.NewTable(m)}
	f.hosts = append(f.hosts, h)
	f.byName[m.Name] = h
}

func (f *fleet) after(d time.Duration, run func()) {
	f.serial++
	f.queue.Push(delivery{at: f.now.Add(d), serial: f.serial, run: run})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.queue.Len() > 0 && !f.queue.First().at.After(end) {
		e := f.queue.Pop()
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) tick(h *fleetHost) {
	f.after(fpmember.HeartbeatInterval, func() { f.tick(h) })
	if !h.dead {
		f.send(h, h.table.Tick(f.now))
	}
}

func (f *fleet) send(h *fleetHost, to []fpmember.Member) {
	m := Message{Heartbeat: fpmember.Heartbeat{Member: h.table.Self(), Suspicions: h.table.Suspicions()}}
	size := len(Encode(m, nil)) + IPOverheadBytes
	for _, t := range to {
		h.sent += size
		o := f.byName[t.Name]
		if o == nil || h.mute {
			continue
		}
		f.after(f.way(h, o), func() { f.hear(o, m) })
	}
}

func (f *fleet) way(a, b *fleetHost) time.Duration {
	if a.table.Self().Zone == b.table.Self().Zone {
		return oneWayZone
	}
	return oneWayFar
}

func (f *fleet) hear(h *fleetHost, m Message) {
	if h.dead || h.deaf {
		return
	}
	h.table.RecordHeartbeat(m.Heartbeat, f.now)
	if m.ConfigVersion > h.version {
		from := f.byName[m.Name]
		f.pulls++
		f.after(2*f.way(h, from)+pullTime, func() { f.apply(h, from.version) })
	}
}

// apply puts a version in force and tells the contacts at once.
func (f *fleet) apply(h *fleetHost, version uint64) {
	if h.dead || version <= h.version {
		return
	}
	h.version = version
	h.sent += patchBytes
	h.table.SetSelf(version, 0, false)
	f.send(h, h.table.Contacts())
}

func (f *fleet) state(at, of string) fpmember.State {
	for _, m := range f.byName[at].table.Members() {
		if m.Name == of {
			return m.State
		}
	}
	return fpmember.Unheard
}

// TestMembership walks through deaths, cuts and returns in one zone of three.
func TestMembership(t *testing.T) {
	const victim, observer, other = "z00-h00", "z00-h01", "z00-h02"
	tests := map[string]struct {
		happens func(*fleet)
		after   time.Duration
		want    fpmember.State
	}{
		"steady":                    {func(*fleet) {}, 10 * time.Second, fpmember.Alive},
		"dead within two seconds":   {func(f *fleet) { f.byName[victim].dead = true }, 2 * time.Second, fpmember.Dead},
		"missed by one alone":       {func(f *fleet) { f.byName[observer].deaf = true }, 2 * time.Second, fpmember.Suspected},
		"hears nobody but is heard": {func(f *fleet) { f.byName[victim].deaf = true }, 3 * time.Second, fpmember.Alive},
		"is heard by nobody":        {func(f *fleet) { f.byName[victim].mute = true }, 2 * time.Second, fpmember.Dead},
		"frozen and back": {func(f *fleet) {
			f.byName[victim].dead = true
			f.run(5 * time.Second)
			f.byName[victim].dead = false
		}, 2 * time.Second, fpmember.Alive},
		"restarted under the same address": {func(f *fleet) {
			f.byName[victim].dead = true
			f.run(5 * time.Second)
			self := f.byName[victim].table.Self()
			self.Incarnation, self.Sequence = 2, 0
			f.byName[victim].table = fpmember.NewTable(self)
			for _, h := range f.hosts {
				f.byName[victim].table.AddDiscovered(h.table.Self())
			}
			f.byName[victim].dead = false
		}, 2 * time.Second, fpmember.Alive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 3)
			f.run(5 * time.Second)
			tt.happens(f)
			f.run(tt.after)
			is.New(t).Equal(f.state(observer, victim), tt.want)
			if tt.want == fpmember.Suspected {
				is.New(t).Equal(f.state(other, victim), fpmember.Alive)
			}
		})
	}
}

// TestConfigurationSpreads puts a version into one host of the letter's size
// and finds it in force everywhere within the users' four seconds; the bytes
// that each host sends stay within two kilobytes a second.
func TestConfigurationSpreads(t *testing.T) {
	tests := map[string]struct{ zones, hosts int }{
		"today":             {3, 3},
		"the letter's size": {29, 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tt.zones, tt.hosts)
			f.run(3 * time.Second)
			for _, h := range f.hosts {
				h.sent = 0
			}
			start := f.now
			f.apply(f.hosts[0], 1)
			slowest := time.Duration(0)
			for f.now.Sub(start) < 6*time.Second {
				f.run(100 * time.Millisecond)
				if f.behind() == 0 && slowest == 0 {
					slowest = f.now.Sub(start)
				}
			}
			most := 0
			for _, h := range f.hosts {
				most = max(most, h.sent)
			}
			perSecond := most / 6
			t.Logf("%d hosts: in force everywhere within %v, %d pulls, the busiest host sent %d B/s", len(f.hosts), slowest, f.pulls, perSecond)
			if slowest == 0 || slowest > 4*time.Second {
				t.Errorf("in force everywhere after %v, %d hosts behind; target 4 s", slowest, f.behind())
			}
			if perSecond > 2048 {
				t.Errorf("the busiest host sent %d B/s, target 2048", perSecond)
			}
		})
	}
}

func (f *fleet) behind() int {
	n := 0
	for _, h := range f.hosts {
		if h.version == 0 {
			n++
		}
	}
	return n
}

// TestDecodeRejects takes only datagrams with the fleet's secret.
func TestDecodeRejects(t *testing.T) {
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
		_, _ = Decode(append(tag(data, nil), data...), nil)
	})
}

// BenchmarkTick measures a host's work at each heartbeat, by the size of the fleet.
func BenchmarkTick(b *testing.B) {
	for _, zones := range []int{3, 10, 29} {
		b.Run(fmt.Sprintf("hosts=%d", zones*30), func(b *testing.B) {
			b.ReportAllocs()
			f := newFleet(zones, 30)
			t := f.hosts[0].table
			for range b.N {
				t.Tick(f.now)
			}
		})
	}
}
