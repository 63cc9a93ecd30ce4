package fporder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func replicas(zones ...string) []Replica {
	var out []Replica
	for i, z := range zones {
		out = append(out, Replica{
			Name: string(rune('a' + i)), Zone: z, Model: "m", Weights: "1", Wanted: "2", Reachable: true,
		})
	}
	return out
}

func names(rs []Replica) string {
	out := ""
	for _, r := range rs {
		out += r.Name
	}
	return out
}

// TestNext orders two at a time and keeps each zone's service going.
func TestNext(t *testing.T) {
	tests := map[string]struct {
		change func([]Replica)
		zones  []string
		want   string
	}{
		"two at a time, one a zone of two":   {func([]Replica) {}, []string{"x", "x", "y", "y"}, "ac"},
		"two of a zone of three":             {func([]Replica) {}, []string{"x", "x", "x"}, "ab"},
		"one loads already":                  {func(r []Replica) { r[0].Loading = true }, []string{"x", "x", "x", "y", "y"}, "b"},
		"two load already":                   {func(r []Replica) { r[0].Loading, r[3].Loading = true, true }, []string{"x", "x", "x", "y", "y"}, ""},
		"a zone's last serving replica":      {func(r []Replica) { r[0].Reachable = false }, []string{"x", "x"}, ""},
		"a zone's only replica is helped":    {func([]Replica) {}, []string{"x", "y"}, "a"},
		"the model's only replica is kept":   {func([]Replica) {}, []string{"x"}, ""},
		"leaving replicas get no order":      {func(r []Replica) { r[0].Leaving = true }, []string{"x", "x", "x"}, "b"},
		"nothing to do":                      {func(r []Replica) { r[0].Weights, r[1].Weights = "2", "2" }, []string{"x", "x"}, ""},
		"what can't be reached gets nothing": {func(r []Replica) { r[2].Reachable = false }, []string{"x", "x", "y"}, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rs := replicas(tt.zones...)
			tt.change(rs)
			is.New(t).Equal(names(NewPlanner().Next(rs, time.Second)), tt.want)
		})
	}
}

// TestPending counts orders that reports don't show yet, for a while.
func TestPending(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	rs := replicas("x", "x", "x", "x")
	is.Equal(names(p.Next(rs, time.Second)), "ab")
	is.Equal(names(p.Next(rs, 2*time.Second)), "")
	is.Equal(names(p.Next(rs, time.Second+pendingFor)), "ab")
}

// TestMayOrder keeps a holder from ordering too early, too late, or after a pause.
func TestMayOrder(t *testing.T) {
	l := Lease{Fencing: 7, Acquired: 10 * time.Second, Until: 10*time.Second + LeaseTTL}
	tests := map[string]struct {
		lease Lease
		now   time.Duration
		want  bool
	}{
		"just acquired":                    {l, 10 * time.Second, false},
		"predecessor waited out":           {l, 10*time.Second + Settle, true},
		"the order would outlive it":       {l, l.Until - Deadline, false},
		"woken after it lapsed":            {l, l.Until + time.Hour, false},
		"no lease":                         {Lease{}, time.Second, false},
		"renewed":                          {Lease{Fencing: 7, Acquired: 0, Until: 60 * time.Second}, 50 * time.Second, true},
		"renewed, then suspended for long": {Lease{Fencing: 7, Acquired: 0, Until: 60 * time.Second}, 61 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.lease.MayOrder(tt.now), tt.want)
		})
	}
}

// TestTwoHolders shows that a new holder's first order comes after everything
// that the former one could still have sent has expired.
func TestTwoHolders(t *testing.T) {
	is := is.New(t)
	old := Lease{Fencing: 1, Acquired: 0, Until: LeaseTTL}
	var lastExpiry time.Duration
	for now := time.Duration(0); now < 2*LeaseTTL; now += time.Millisecond {
		if old.MayOrder(now) {
			lastExpiry = now + Deadline
		}
	}
	next := Lease{Fencing: 2, Acquired: LeaseTTL, Until: 3 * LeaseTTL}
	first := next.Acquired
	for !next.MayOrder(first) {
		first += time.Millisecond
	}
	is.True(lastExpiry <= LeaseTTL)
	is.True(first > lastExpiry)
}
