package fphost

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
)

func newControl(t *testing.T) (*control, *fpstate.Holder) {
	t.Helper()
	state := &fpstate.Holder{}
	c := &control{
		zone:      "z",
		table:     fpmember.NewTable(fpmember.Member{Name: "entry-1", Zone: "z"}),
		upstreams: make(map[string]*upstream),
		told:      make(map[string]time.Time),
		state:     state,
		restarted: func(string) {},
	}
	r, verdict := fpconfig.Replica{}.WithPatch(patchOf("first", 0, false))
	if verdict != fpconfig.Advanced {
		t.Fatalf("verdict %d", verdict)
	}
	c.configured(r)
	c.reported("e", fpupstream.LoadReport{Incarnation: 1, Weights: "1"}, nil, time.Now())
	c.publish()
	return c, state
}

func patchOf(id string, base uint64, leaving bool) fpconfig.Patch {
	return fpconfig.Patch{ID: id, Base: base, Set: fpconfig.Document{
		Models: []fpconfig.Model{{Name: "m", Weights: "1"}},
		Upstreams: []fpconfig.Upstream{{
			Name: "e", Kind: fpconfig.KindEngine, Address: "127.0.0.1:1", AvailabilityZone: "z", Model: "m", Leaving: leaving,
		}},
	}}
}

// TestLeaving takes new work from an upstream at the earliest sign, whichever it is.
func TestLeaving(t *testing.T) {
	now := time.Now()
	tests := map[string]func(*control){
		"configuration": func(c *control) {
			r, _ := c.replica.WithPatch(patchOf("second", 1, true))
			c.configured(r)
		},
		"load report": func(c *control) {
			c.reported("e", fpupstream.LoadReport{Incarnation: 1, Weights: "1", Leaving: true}, nil, now)
		},
		"host list": func(c *control) { c.listed([]fpupstream.ListedHost{{Name: "e", Leaving: true}}, now) },
		"another host": func(c *control) {
			c.heard(fpgossip.Message{LeavingUpstreams: []string{"e"}}, now)
		},
		"refused connections": func(c *control) {
			for range downAfter {
				c.reported("e", fpupstream.LoadReport{}, errors.New("refused"), now)
			}
		},
	}
	for name, sign := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, state := newControl(t)
			before := state.Load().View.Replicas[0]
			is.True(!before.Leaving && !before.Down)
			sign(c)
			c.publish()
			after := state.Load().View.Replicas[0]
			is.True(after.Leaving || after.Down)
		})
	}
	t.Run("back under a new incarnation", func(t *testing.T) {
		is := is.New(t)
		c, state := newControl(t)
		c.heard(fpgossip.Message{LeavingUpstreams: []string{"e"}}, now)
		c.reported("e", fpupstream.LoadReport{Incarnation: 2, Weights: "1"}, nil, now)
		c.publish()
		is.True(!state.Load().View.Replicas[0].Leaving)
	})
}
