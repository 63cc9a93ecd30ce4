package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestProofInStep checks that a picture for traffic holds the proof of its own
// catalog: with a newer one a key that was just taken away would be accepted.
func TestProofInStep(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Parts{Clock: fpclock.Boot, Log: fplog.NewQueue(&bytes.Buffer{})})
	c := newControl(g)
	before := c.snapshot(time.Minute, false)
	c.update(fpstore.Update{Sent: time.Minute}, time.Minute)
	_, known := before.proof.Age(time.Minute)
	is.True(!known)
	age, known := c.snapshot(time.Minute, false).proof.Age(time.Minute + time.Second)
	is.True(known)
	is.Equal(age, time.Second)
	c.update(fpstore.Update{Sent: 2 * time.Minute, Err: fpstore.ErrRefused}, 2*time.Minute)
	age, _ = c.snapshot(2*time.Minute, false).proof.Age(2 * time.Minute)
	is.Equal(age, time.Minute)
}

// TestPace checks how often a host calls the store, by its zone and bounds.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		revoke time.Duration
		hosts  int
		zone   []string
		want   fpstore.Pace
	}{
		"alone in its zone":            {revoke: 5 * time.Second, hosts: 3, zone: []string{"a"}, want: fpstore.Pace{Wait: 1250 * time.Millisecond, Gather: gatherFew, Ask: askEvery, Backoff: backoffFirst}},
		"keys without a bound":         {hosts: 3, zone: []string{"a"}, want: fpstore.Pace{Wait: 1250 * time.Millisecond, Gather: gatherFew, Ask: askEvery, Backoff: backoffFirst}},
		"a short bound":                {revoke: 2 * time.Second, hosts: 3, zone: []string{"a", "b"}, want: fpstore.Pace{Wait: 500 * time.Millisecond, Gather: gatherFew, Ask: askEvery, Backoff: backoffFirst}},
		"a large fleet, none to ask":   {revoke: 2 * time.Second, hosts: 80, zone: []string{"a", "b"}, want: fpstore.Pace{Wait: 500 * time.Millisecond, Gather: gatherMany, Ask: askEvery, Backoff: backoffFirst}},
		"the first of a zone of three": {hosts: 80, zone: []string{"a", "b", "c"}, want: fpstore.Pace{Wait: watchShared, Gather: gatherShared, Ask: askEvery, Backoff: backoffFirst}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Settings{Host: "a"}.WithDefaults()
			s.Fresh.Revoke = tt.revoke
			// A zone's name is found under which host a is its first.
			for s.Place.Zone = "z"; len(tt.zone) > 1 && len(readersFor("a", s.Place.Zone, tt.zone)) > 0; {
				s.Place.Zone += "z"
			}
			g := New(s, Parts{Clock: fpclock.Boot, Log: fplog.NewQueue(&bytes.Buffer{})})
			g.state.Store(&snapshot{hosts: tt.hosts, zone: tt.zone})
			is.Equal(g.pace(), tt.want)
		})
	}
}

// TestReaders checks that all hosts of a zone agree on who reads the store for them.
func TestReaders(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	first := readersFor("z", "zone", names)
	is.Equal(len(first), readersOfZone)
	is.Equal(len(readersFor(first[0], "zone", names)), 0)
	is.Equal(readersFor(first[1], "zone", names), first[:1])
	// A host whose own entry is not there yet counts itself in.
	is.Equal(len(readersFor(first[0], "zone", []string{first[1]})), 0)
}
