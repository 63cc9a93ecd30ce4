package fpbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestClassesKeepTheirShares checks that long requests leave room for short ones, those for answers, and answers for the
// host itself.
func TestClassesKeepTheirShares(t *testing.T) {
	is := is.New(t)
	b := New(100 << 20)
	var held []*Reservation
	fill := func(c Class, n int64) (sum int64) {
		for {
			r := b.Reserve(c)
			if !r.Grow(n) {
				return sum
			}
			held = append(held, r)
			sum += n
		}
	}
	for _, step := range []struct {
		class Class
		bytes int64
	}{{Request, 1 << 20}, {Request, 32 << 10}, {Peer, 32 << 10}, {Answer, 1 << 20}, {Answer, 32 << 10}, {Control, 32 << 10}} {
		is.True(fill(step.class, step.bytes) >= 3<<20)
		is.Equal(fill(step.class, step.bytes), int64(0))
	}
	is.True(b.Used() <= b.Limit())
	is.True(b.Excess(0) > 0)
	is.True(b.usedBy[Answer] <= b.Limit()/2)
	for _, r := range held {
		r.Release()
	}
	is.Equal(b.Used(), int64(0))
	is.Equal(b.Excess(0), int64(0))
	var none *Reservation
	is.True(none.Grow(1 << 40))
}

// TestRevokedReservation checks that what a revoked reservation held is free at once, and that it takes nothing more.
func TestRevokedReservation(t *testing.T) {
	is := is.New(t)
	b := New(1 << 20)
	r := b.Reserve(Request)
	is.True(r.Grow(1000))
	r.Revoke()
	is.Equal(b.Used(), int64(0))
	is.True(!r.Grow(1))
	r.Release()
	is.Equal(b.Used(), int64(0))
}

// TestBudgetDrawn checks that a budget is never exceeded and that nothing is lost of it, whatever its users do.
func TestBudgetDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1 << 20)
		reservations := make([]*Reservation, 8)
		for i := range reservations {
			reservations[i] = b.Reserve(Class(i % len(shares)))
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			r := reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "user")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				r.Release()
			case 1:
				r.Revoke()
			default:
				r.Grow(rapid.Int64Range(0, 1<<19).Draw(t, "bytes"))
			}
			sum := int64(0)
			for _, r := range reservations {
				sum += r.Held()
			}
			if sum != b.Used() || b.Used() > b.Limit() {
				t.Fatalf("%d held, %d used of %d", sum, b.Used(), b.Limit())
			}
		}
	})
}

// TestEvict checks whose connections are closed when memory or connections run short.
func TestEvict(t *testing.T) {
	now := time.Minute
	ago := func(d time.Duration) time.Duration { return now - d }
	body := func(since, progress time.Duration, sent int64) Client {
		return Client{State: Sending, Since: ago(since), Progress: ago(progress), SentBytes: sent, HeldBytes: 4 << 20}
	}
	tests := map[string]struct {
		clients []Client
		bytes   int64
		count   int
		want    []int
	}{
		"nothing needed":          {clients: []Client{body(time.Minute, time.Minute, 0)}},
		"a body that stalls":      {clients: []Client{body(3*time.Second, 0, 4<<20), body(3*time.Second, 2*time.Second, 4<<20)}, bytes: 1, want: []int{1}},
		"a body that drips":       {clients: []Client{body(20*time.Second, 0, 1<<20), body(4*time.Second, 0, 1<<20)}, bytes: 1, want: []int{0}},
		"the longest stall first": {clients: []Client{body(5*time.Second, 2*time.Second, 9), body(5*time.Second, 5*time.Second, 9)}, bytes: 1, want: []int{1}},
		"as many as needed":       {clients: []Client{body(9*time.Second, 9*time.Second, 9), body(8*time.Second, 8*time.Second, 9), body(7*time.Second, 7*time.Second, 9)}, bytes: 5 << 20, want: []int{0, 1}},
		"a kept connection last": {
			clients: []Client{{State: Idle, Since: 0}, {State: Silent, Since: ago(time.Second)}, {State: Receiving, Since: ago(3 * time.Second)}, {State: Busy}, {State: Closing, Since: ago(time.Second)}},
			bytes:   1, want: []int{4, 2, 1, 0},
		},
		"a new connection is left":               {clients: []Client{{State: Silent, Since: ago(100 * time.Millisecond)}, {State: Idle, Since: ago(time.Second)}}, bytes: 1 << 20, count: 2},
		"connections needed":                     {clients: []Client{{State: Idle, Since: 0}, {State: Silent, Since: 0}, {State: Silent, Since: 1}}, count: 1, want: []int{1}},
		"those that wait for this host are left": {clients: []Client{{State: Busy, HeldBytes: 1 << 30}}, bytes: 1, count: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Evict(tt.clients, tt.bytes, tt.count, now), tt.want)
		})
	}
}

// TestStalled checks which clients have stalled for too long while nobody needs their room.
func TestStalled(t *testing.T) {
	now := time.Hour
	clients := []Client{
		{State: Sending, Since: now - 40*time.Second, Progress: now - 32*time.Second},
		{State: Sending, Since: now - 200*time.Second, Progress: now, SentBytes: 4 << 20},
		{State: Sending, Since: now - 40*time.Second, Progress: now, SentBytes: 100},
		{State: Sending, Since: now - 20*time.Second, Progress: now - 20*time.Second},
		{State: Receiving, Since: now - 33*time.Second},
		{State: Receiving, Since: now - 20*time.Second},
		{State: Busy},
		{State: Idle},
		{State: Silent},
	}
	is.New(t).Equal(Stalled(clients, 30*time.Second, now), []int{0, 2, 4})
}

// BenchmarkEvict looks for stalled clients among 2,900 connections, of which a tenth stall.
func BenchmarkEvict(b *testing.B) {
	clients := make([]Client, 2900)
	for i := range clients {
		clients[i] = Client{State: Idle, Since: time.Minute, HeldBytes: 10 << 10}
		if i%10 == 0 {
			clients[i] = Client{State: Sending, Since: time.Duration(i), HeldBytes: 20 << 10}
		}
	}
	for b.Loop() {
		Evict(clients, 1<<20, 0, time.Minute)
	}
}
