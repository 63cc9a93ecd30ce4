package fphost

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// convergeEvery is the pace at which a waiting patch asks who has it in force.
	convergeEvery = 100 * time.Millisecond
)

// Status describes this host to operators.
func (h *Host) Status() fpoperator.Status {
	s := h.state.Load()
	out := fpoperator.Status{
		Host:             h.settings.Host.Name,
		AvailabilityZone: h.settings.Host.AvailabilityZone,
		Incarnation:      h.incarnation,
		ConfigVersion:    s.Config.Version,
		Ready:            s.Ready,
		Draining:         s.Draining,
		Running:          h.dispatcher.Running(),
		PlatformCalls:    h.store.Calls(),
	}
	if n := h.follower.Note(); n != "" {
		out.Notes = append(out.Notes, n)
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, fpoperator.Member{
			Name:             m.Name,
			AvailabilityZone: m.Zone,
			Address:          m.Address,
			State:            m.State.String(),
			ConfigVersion:    m.ConfigVersion,
			Leaving:          m.Leaving,
		})
	}
	for _, u := range s.Upstreams {
		out.Upstreams = append(out.Upstreams, fpoperator.Upstream{
			Name:             u.Name,
			Kind:             u.Kind,
			AvailabilityZone: u.AvailabilityZone,
			Reachable:        u.Reachable,
			Leaving:          u.Leaving,
			Loading:          u.Report.Loading,
			Weights:          u.Report.Weights,
			QueuedTokens:     u.Report.QueuedTokens,
			Running:          u.Report.Running,
		})
	}
	if h.socket != nil {
		out.DatagramBytesSent, out.DatagramBytesReceived = h.socket.Bytes()
	}
	return out
}

// Config returns the configuration in force and its kept patches.
func (h *Host) Config() (fpconfig.Versioned, []fpconfig.Patch) {
	r, _ := h.follower.Replica()
	return r.Current(), r.RecentPatches()
}

// ApplyPatch writes an operator's patch.
func (h *Host) ApplyPatch(ctx context.Context, p fpconfig.Patch) (uint64, error) {
	return h.follower.Patch(ctx, p)
}

// WaitForVersion waits until every host that can be asked has the version in force,
// or the context ends, and returns what each host said last.
func (h *Host) WaitForVersion(ctx context.Context, version uint64) []fpoperator.HostVersion {
	for {
		all := h.versions(ctx)
		behind := slices.ContainsFunc(all, func(v fpoperator.HostVersion) bool {
			return v.Reachable && v.Version < version
		})
		if !behind || ctx.Err() != nil {
			return all
		}
		fpclock.Sleep(ctx, convergeEvery)
	}
}

func (h *Host) versions(ctx context.Context) []fpoperator.HostVersion {
	s := h.Status()
	out := []fpoperator.HostVersion{{Host: s.Host, AvailabilityZone: s.AvailabilityZone, Reachable: true, Version: s.ConfigVersion}}
	for _, m := range s.Members {
		v := fpoperator.HostVersion{Host: m.Name, AvailabilityZone: m.AvailabilityZone}
		var status fpoperator.Status
		data, err := h.peers.Status(ctx, m.Address)
		if err == nil && json.Unmarshal(data, &status) == nil {
			v.Reachable = true
			v.Version = status.ConfigVersion
		}
		out = append(out, v)
	}
	return out
}

// Explain gathers the fleet's records of a request, oldest first, and the
// hosts that could not be asked.
func (h *Host) Explain(ctx context.Context, id string) ([]fprecord.Record, []string) {
	all := h.records.RecordsOf(id)
	var missing []string
	for _, m := range h.state.Load().Members {
		r, err := h.peers.Records(ctx, m.Address, id)
		if err != nil {
			missing = append(missing, m.Name)
			continue
		}
		all = append(all, r...)
	}
	slices.SortStableFunc(all, func(a, b fprecord.Record) int { return a.At.Compare(b.At) })
	return all, missing
}
