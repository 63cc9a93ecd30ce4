package fphost

import (
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	hostListInterval     = 2 * time.Second
	demandReportInterval = 500 * time.Millisecond
	configFetchInterval  = 200 * time.Millisecond
	// startDelayPerHost is the upper bound, for each other known host, of the random delay before a
	// starting host asks the platform for the configuration, so that hosts that start together
	// don't all ask at once.
	startDelayPerHost = 12 * time.Millisecond
	// platformWatchersPerZone is the number of hosts in a zone that watch the platform's store.
	platformWatchersPerZone = 2
	// placementShareInterval is the interval at which hosts send their placements to the other hosts
	// of the zone.
	placementShareInterval = 250 * time.Millisecond
	// maxPlacementsPerMessage keeps a datagram below fpgossip.MaxDatagramBytes.
	maxPlacementsPerMessage = 20
	// placementWireBytes is the size of a placement in a datagram, with its share of the headers.
	placementWireBytes = 48
	// maxDemandsPerMessage keeps a datagram below fpgossip.MaxDatagramBytes.
	maxDemandsPerMessage = 24
	// maxQuarantinedPerMessage bounds the prompt parts that a heartbeat carries.
	maxQuarantinedPerMessage = 8
)

// sendHeartbeats sends a heartbeat every fpmember.HeartbeatInterval.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	return runEvery(ctx, fpmember.HeartbeatInterval, func() {
		h.controlLoop.submitTask(ctx, func(c *controlState) {
			to := c.members.Tick(time.Now())
			h.sendHeartbeatTo(c, to)
		})
	})
}

// sendHeartbeatNow sends a heartbeat at once, so that other hosts learn of a new configuration
// version or a planned stop without delay.
func (h *Host) sendHeartbeatNow(c *controlState) {
	h.sendHeartbeatTo(c, c.members.Contacts())
}

func (h *Host) sendHeartbeatTo(c *controlState, to []fpmember.Member) {
	m := h.heartbeatMessage(c)
	for _, t := range to {
		if t.Address != "" {
			_ = h.gossipSocket.Send(t.Address, m)
		}
	}
}

func (h *Host) heartbeatMessage(c *controlState) fpgossip.Message {
	return fpgossip.Message{
		Heartbeat:        fpmember.Heartbeat{Member: c.members.Self(), Suspicions: c.members.Suspicions()},
		LeavingUpstreams: c.leavingUpstreams(),
		QuarantinedParts: h.dispatcher.QuarantinedParts(maxQuarantinedPerMessage),
	}
}

// sharePlacements periodically sends this host's placements to the other hosts
// of the zone. If they exceed the byte budget of the settings, the largest are sent.
func (h *Host) sharePlacements(ctx context.Context) error {
	return runEvery(ctx, placementShareInterval, func() {
		h.controlLoop.submitTask(ctx, func(c *controlState) {
			placements := h.dispatcher.TakePendingPlacements()
			to := slices.DeleteFunc(c.members.LiveMembers(c.zone), func(m fpmember.Member) bool {
				return m.Name == c.members.Self().Name
			})
			if len(placements) == 0 || len(to) == 0 {
				return
			}
			budget := h.settings.Placement.ShareBytes * int(placementShareInterval/time.Millisecond) / 1000
			placements = fproute.LargestPlacements(placements, max(budget/placementWireBytes/len(to), 1))
			h.sendPlacements(c, to, placements)
		})
	})
}

func (h *Host) sendPlacements(c *controlState, to []fpmember.Member, placements []fproute.Placement) {
	for len(placements) > 0 {
		n := min(len(placements), maxPlacementsPerMessage)
		var m fpgossip.Message
		m.Member = fpmember.Member{Name: c.members.Self().Name}
		for _, p := range placements[:n] {
			m.Placements = append(m.Placements, fpgossip.Placement{
				Placement:       p,
				ReplicaHash:     fpgossip.HashReplicaName(p.Replica),
				IncarnationBits: uint32(p.Incarnation),
			})
		}
		for _, t := range to {
			_ = h.gossipSocket.Send(t.Address, m)
		}
		placements = placements[n:]
	}
}

// recordPeerPlacements records the placements of another host of the zone. Those whose replica and
// incarnation this host doesn't know are ignored.
func (h *Host) recordPeerPlacements(placements []fpgossip.Placement) {
	replicas := h.snapshots.Load().View.Replicas
	for _, p := range placements {
		for i := range replicas {
			r := &replicas[i]
			if fpgossip.HashReplicaName(r.Name) == p.ReplicaHash && uint32(r.Incarnation) == p.IncarnationBits {
				p.Replica = r.Name
				p.Incarnation = r.Incarnation
				h.dispatcher.AddPeerPlacement(p.Placement)
			}
		}
	}
}

// handleMessage processes a message from another host.
func (h *Host) handleMessage(ctx context.Context, m fpgossip.Message) {
	for _, s := range m.Shares {
		h.setTeamShare(s.Team, fplimit.Rates{Requests: s.Requests, Tokens: s.Tokens})
	}
	h.dispatcher.AdoptQuarantinedParts(m.QuarantinedParts)
	if len(m.Placements) > 0 {
		h.recordPeerPlacements(m.Placements)
		return
	}
	h.controlLoop.submitTask(ctx, func(c *controlState) {
		if c.recordHeartbeat(m, time.Now()) {
			h.fetchPatches(ctx, m.Address)
		}
		h.answerDemands(c, m)
	})
}

// fetchPatches fetches the patches that lead to another host's configuration version, in the
// background. Only one fetch runs at a time.
func (h *Host) fetchPatches(ctx context.Context, address string) {
	if !h.fetchingPatches.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetchingPatches.Store(false)
		r, _ := h.follower.Replica()
		p, err := h.peers.Patches(ctx, address, r.Current().Version)
		if err != nil {
			return
		}
		h.follower.ApplyPatches(p.Patches, p.Snapshot)
	}()
}

// fetchInitialConfig asks one known host of any zone after another for the configuration
// until this host has one, while the follower asks the platform.
func (h *Host) fetchInitialConfig(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		if _, loaded := h.follower.Replica(); loaded {
			<-ctx.Done()
			return nil
		}
		h.controlLoop.submitTask(ctx, func(c *controlState) {
			members := c.members.Members()
			if len(members) > 0 {
				h.fetchPatches(ctx, members[next%len(members)].Address)
				next++
			}
		})
		fpclock.Sleep(ctx, configFetchInterval)
	}
	return nil
}

// shouldWatchPlatform reports whether this host should read the configuration
// from the platform's store. Without a configuration it should after its start
// delay; since the delays are random, most hosts that start together get the
// configuration from another host first. With one it should if it is among the
// platform watchers of its zone.
func (h *Host) shouldWatchPlatform() bool {
	if _, loaded := h.follower.Replica(); !loaded {
		return time.Since(h.startedAt) >= h.startDelay
	}
	result := make(chan bool, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.controlLoop.submitTask(ctx, func(c *controlState) { result <- isPlatformWatcher(c.members) })
	select {
	case watch := <-result:
		return watch
	case <-ctx.Done():
		return false
	}
}

// isPlatformWatcher reports whether this host is one of its zone's platform watchers, which
// rendezvous hashing selects from the zone's live hosts.
func isPlatformWatcher(t *fpmember.Table) bool {
	self := t.Self()
	live := t.LiveMembers(self.Zone)
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.Name)
	}
	for range platformWatchersPerZone {
		i := fproute.RendezvousOwner("follower/"+self.Zone, names)
		if i < 0 {
			return false
		}
		if names[i] == self.Name {
			return true
		}
		names = append(names[:i], names[i+1:]...)
	}
	return false
}

// pollHostList reads the platform's host list every hostListInterval, if the settings name one.
func (h *Host) pollHostList(ctx context.Context) error {
	if h.settings.Platform.HostList == "" {
		<-ctx.Done()
		return nil
	}
	return runEvery(ctx, hostListInterval, func() {
		hosts, err := h.upstreams.FetchHosts(ctx, h.settings.Platform.HostList)
		if err != nil {
			return
		}
		h.controlLoop.submitTask(ctx, func(c *controlState) { c.applyHostList(hosts, time.Now()) })
	})
}

// runEvery calls f at once and then at every interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}
