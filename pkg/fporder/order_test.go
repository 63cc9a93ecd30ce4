package fporder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func replicasInZones(zones ...string) []Replica {
	var out []Replica
	for i, z := range zones {
		out = append(out, Replica{
			Name: string(rune('a' + i)), Zone: z, Model: "m", Weights: "1", WantedWeights: "2", Reachable: true,
		})
	}
	return out
}

func joinNames(rs []Replica) string {
	out := ""
	for _, r := range rs {
		out += r.Name
	}
	return out
}

// TestNextOrdersKeepsZonesServed checks that at most two replicas load at once and that no zone
// loses its last serving replica of a model.
func TestNextOrdersKeepsZonesServed(t *testing.T) {
	tests := map[string]struct {
		change func([]Replica)
		zones  []string
		want   string
	}{
		"one replica in each zone of two":             {func([]Replica) {}, []string{"x", "x", "y", "y"}, "ac"},
		"two replicas in a zone of three":             {func([]Replica) {}, []string{"x", "x", "x"}, "ab"},
		"one replica loads already":                   {func(r []Replica) { r[0].Loading = true }, []string{"x", "x", "x", "y", "y"}, "b"},
		"two replicas load already":                   {func(r []Replica) { r[0].Loading, r[3].Loading = true, true }, []string{"x", "x", "x", "y", "y"}, ""},
		"a zone's last serving replica":               {func(r []Replica) { r[0].Reachable = false }, []string{"x", "x"}, ""},
		"other zone covers for a zone's only replica": {func([]Replica) {}, []string{"x", "y"}, "a"},
		"the model's only replica keeps serving":      {func([]Replica) {}, []string{"x"}, ""},
		"leaving replica":                             {func(r []Replica) { r[0].Leaving = true }, []string{"x", "x", "x"}, "b"},
		"all replicas have the wanted weights":        {func(r []Replica) { r[0].Weights, r[1].Weights = "2", "2" }, []string{"x", "x"}, ""},
		"outdated replicas load all at once":          {func(r []Replica) { r[0].Outdated, r[1].Outdated, r[2].Outdated = true, true, true }, []string{"x", "x", "x", "y"}, "abc"},
		"outdated replicas beside others":             {func(r []Replica) { r[0].Outdated, r[3].Outdated = true, true }, []string{"x", "x", "x", "y"}, "abd"},
		"outdated only replica":                       {func(r []Replica) { r[0].Outdated = true }, []string{"x"}, "a"},
		"unreachable replica":                         {func(r []Replica) { r[2].Reachable = false }, []string{"x", "x", "y"}, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rs := replicasInZones(tt.zones...)
			tt.change(rs)
			is.New(t).Equal(joinNames(NewPlanner().NextOrders(rs, time.Second)), tt.want)
		})
	}
}

// TestPendingOrdersCountAsLoading checks that orders which no report shows yet count as loading
// until they time out.
func TestPendingOrdersCountAsLoading(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	rs := replicasInZones("x", "x", "x", "x")
	is.Equal(joinNames(p.NextOrders(rs, time.Second)), "ab")
	is.Equal(joinNames(p.NextOrders(rs, 2*time.Second)), "")
	is.Equal(joinNames(p.NextOrders(rs, time.Second+pendingTimeout)), "ab")
}

// TestMayOrder checks that a lease holder sends no order too early, too late, or after a suspension
// in which its lease expired.
func TestMayOrder(t *testing.T) {
	l := Lease{FencingToken: 7, AcquiredAt: 10 * time.Second, ExpiresAt: 10*time.Second + LeaseTTL}
	tests := map[string]struct {
		lease Lease
		now   time.Duration
		want  bool
	}{
		"just acquired":                       {l, 10 * time.Second, false},
		"takeover delay has passed":           {l, 10*time.Second + TakeoverDelay, true},
		"order would outlive the lease":       {l, l.ExpiresAt - OrderTimeout, false},
		"woken after the lease expired":       {l, l.ExpiresAt + time.Hour, false},
		"no lease":                            {Lease{}, time.Second, false},
		"renewed":                             {Lease{FencingToken: 7, AcquiredAt: 0, ExpiresAt: 60 * time.Second}, 50 * time.Second, true},
		"renewed, then suspended past expiry": {Lease{FencingToken: 7, AcquiredAt: 0, ExpiresAt: 60 * time.Second}, 61 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.lease.MayOrder(tt.now), tt.want)
		})
	}
}

// TestNewHolderWaitsForOldOrders checks that a new lease holder may send its first order only after
// the last possible order of the former holder has expired.
func TestNewHolderWaitsForOldOrders(t *testing.T) {
	is := is.New(t)
	former := Lease{FencingToken: 1, AcquiredAt: 0, ExpiresAt: LeaseTTL}
	var lastExpiry time.Duration
	for now := time.Duration(0); now < 2*LeaseTTL; now += time.Millisecond {
		if former.MayOrder(now) {
			lastExpiry = now + OrderTimeout
		}
	}
	next := Lease{FencingToken: 2, AcquiredAt: LeaseTTL, ExpiresAt: 3 * LeaseTTL}
	first := next.AcquiredAt
	for !next.MayOrder(first) {
		first += time.Millisecond
	}
	is.True(lastExpiry <= LeaseTTL)
	is.True(first > lastExpiry)
}
