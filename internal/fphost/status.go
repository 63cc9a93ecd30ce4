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
	// versionPollInterval is the interval at which WaitForVersion asks the hosts for their versions.
	versionPollInterval = 100 * time.Millisecond
)

// Status returns this host's state as operators see it.
func (h *Host) Status() fpoperator.Status {
	s := h.snapshots.Load()
	out := fpoperator.Status{
		Host:             h.settings.Host.Name,
		AvailabilityZone: h.settings.Host.AvailabilityZone,
		Incarnation:      h.incarnation,
		ConfigVersion:    s.Config.Version,
		Ready:            s.Ready,
		Draining:         s.Draining,
		Running:          h.dispatcher.RunningRequests(),
		PlatformCalls:    h.store.Calls(),
	}
	if n := h.follower.StoreWarning(); n != "" {
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
	if h.gossipSocket != nil {
		out.DatagramBytesSent, out.DatagramBytesReceived = h.gossipSocket.ByteCounts()
	}
	return out
}

// Config returns the configuration in force and the latest patches that are still kept.
func (h *Host) Config() (fpconfig.Versioned, []fpconfig.Patch) {
	r, _ := h.follower.Replica()
	return r.Current(), r.RecentPatches()
}

// ApplyPatch writes an operator's patch to the platform's store and returns its version.
func (h *Host) ApplyPatch(ctx context.Context, p fpconfig.Patch) (uint64, error) {
	return h.follower.WritePatch(ctx, p)
}

// WaitForVersion waits until every reachable host has the given version or a later
// one in force, or the context ends, and returns the versions of its last poll.
func (h *Host) WaitForVersion(ctx context.Context, version uint64) []fpoperator.HostVersion {
	for {
		hosts := h.hostVersions(ctx)
		behind := slices.ContainsFunc(hosts, func(v fpoperator.HostVersion) bool {
			return v.Reachable && v.Version < version
		})
		if !behind || ctx.Err() != nil {
			return hosts
		}
		fpclock.Sleep(ctx, versionPollInterval)
	}
}

// hostVersions asks every host for the version that it has in force.
func (h *Host) hostVersions(ctx context.Context) []fpoperator.HostVersion {
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

// Explain returns all hosts' decision records of a request, oldest first, and
// the hosts that did not answer.
func (h *Host) Explain(ctx context.Context, id string) ([]fprecord.Record, []string) {
	all := h.records.RecordsOf(id)
	var missing []string
	for _, m := range h.snapshots.Load().Members {
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
