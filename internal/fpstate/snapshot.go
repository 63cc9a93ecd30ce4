package fpstate

import (
	"sync/atomic"

	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// Upstream is a declared upstream with its latest load report.
	Upstream struct {
		fpconfig.Upstream
		Report    fpupstream.LoadReport
		Reachable bool
		Leaving   bool
	}

	// Snapshot is the state that request handlers read; it must not change once published.
	Snapshot struct {
		Config    fpconfig.Versioned
		Teams     map[string]fpconfig.Team
		View      fproute.View
		Services  map[string][]Upstream
		Upstreams []Upstream
		Members   []fpmember.Member
		Ready     bool
		Draining  bool
	}

	// Holder publishes snapshots to concurrent readers; its zero value holds an empty one.
	Holder struct {
		current atomic.Pointer[Snapshot]
	}
)

// Load returns the latest snapshot.
func (h *Holder) Load() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Publish replaces the snapshot.
func (h *Holder) Publish(s *Snapshot) { h.current.Store(s) }
