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
	hostListEvery = 2 * time.Second
	shareEvery    = 500 * time.Millisecond
	joinEvery     = 200 * time.Millisecond
	// startSpread is the time, for each other host known, over which hosts that
	// start together ask the platform for the configuration.
	startSpread = 12 * time.Millisecond
	// followersPerZone is the number of hosts of a zone that watch the platform.
	followersPerZone = 2
	// placementsEvery is the pace at which the zone's hosts tell each other what they placed.
	placementsEvery = 250 * time.Millisecond
	// placementsPerMessage keeps a datagram under its bound.
	placementsPerMessage = 20
	// placementBytes is the size of a placement in a datagram, its share of the headers included.
	placementBytes = 48
	// demandsPerMessage keeps a datagram under its bound.
	demandsPerMessage = 24
)

// beat sends heartbeats at their pace.
func (h *Host) beat(ctx context.Context) error {
	return every(ctx, fpmember.HeartbeatInterval, func() {
		h.loop.post(ctx, func(c *control) {
			to := c.table.Tick(time.Now())
			h.send(c, to)
		})
	})
}

// announce sends a heartbeat at once, for news that others wait for.
func (h *Host) announce(c *control) {
	h.send(c, c.table.Contacts())
}

func (h *Host) send(c *control, to []fpmember.Member) {
	m := h.message(c)
	for _, t := range to {
		if t.Address != "" {
			_ = h.socket.Send(t.Address, m)
		}
	}
}

func (h *Host) message(c *control) fpgossip.Message {
	return fpgossip.Message{
		Heartbeat:        fpmember.Heartbeat{Member: c.table.Self(), Suspicions: c.table.Suspicions()},
		LeavingUpstreams: c.leaving(),
	}
}

// sharePlacements tells the zone's other hosts what this host placed, as much
// as the settings' budget allows: what brought most work goes first.
func (h *Host) sharePlacements(ctx context.Context) error {
	return every(ctx, placementsEvery, func() {
		h.loop.post(ctx, func(c *control) {
			placed := h.dispatcher.TakePendingPlacements()
			to := slices.DeleteFunc(c.table.LiveMembers(c.zone), func(m fpmember.Member) bool {
				return m.Name == c.table.Self().Name
			})
			if len(placed) == 0 || len(to) == 0 {
				return
			}
			budget := h.settings.Placement.ShareBytes * int(placementsEvery/time.Millisecond) / 1000
			placed = fproute.LargestPlacements(placed, max(budget/placementBytes/len(to), 1))
			h.tellPlaced(c, to, placed)
		})
	})
}

func (h *Host) tellPlaced(c *control, to []fpmember.Member, placed []fproute.Placement) {
	for len(placed) > 0 {
		n := min(len(placed), placementsPerMessage)
		var m fpgossip.Message
		m.Member = fpmember.Member{Name: c.table.Self().Name}
		for _, p := range placed[:n] {
			m.Placements = append(m.Placements, fpgossip.Placement{
				Placement:       p,
				ReplicaHash:     fpgossip.HashName(p.Replica),
				IncarnationBits: uint32(p.Incarnation),
			})
		}
		for _, t := range to {
			_ = h.socket.Send(t.Address, m)
		}
		placed = placed[n:]
	}
}

// heardPlaced takes in what another host of the zone placed.
func (h *Host) heardPlaced(placed []fpgossip.Placement) {
	replicas := h.state.Load().View.Replicas
	for _, p := range placed {
		for i := range replicas {
			r := &replicas[i]
			if fpgossip.HashName(r.Name) == p.ReplicaHash && uint32(r.Incarnation) == p.IncarnationBits {
				p.Replica = r.Name
				p.Incarnation = r.Incarnation
				h.dispatcher.AddPeerPlacement(p.Placement)
			}
		}
	}
}

// heard takes in another host's message.
func (h *Host) heard(ctx context.Context, m fpgossip.Message) {
	for _, s := range m.Shares {
		h.setShare(s.Team, fplimit.Rates{Requests: s.Requests, Tokens: s.Tokens})
	}
	if len(m.Placements) > 0 {
		h.heardPlaced(m.Placements)
		return
	}
	h.loop.post(ctx, func(c *control) {
		if c.heard(m, time.Now()) {
			h.pull(ctx, m.Address)
		}
		h.allot(c, m)
	})
}

// pull fetches what leads to another host's version; one pull runs at a time.
func (h *Host) pull(ctx context.Context, address string) {
	if !h.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.pulling.Store(false)
		r, _ := h.follower.Replica()
		p, err := h.peers.Patches(ctx, address, r.Current().Version)
		if err != nil {
			return
		}
		h.follower.Offer(p.Patches, p.Snapshot)
	}()
}

// join looks for a configuration until some source has answered: the platform
// and a host of the own or another zone are asked at the same time.
func (h *Host) join(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		if _, loaded := h.follower.Replica(); loaded {
			<-ctx.Done()
			return nil
		}
		h.loop.post(ctx, func(c *control) {
			members := c.table.Members()
			if len(members) > 0 {
				h.pull(ctx, members[next%len(members)].Address)
				next++
			}
		})
		fpclock.Sleep(ctx, joinEvery)
	}
	return nil
}

// follows reports whether this host is to watch the platform: while it has no
// configuration, or as one of the first of its zone. Hosts that start together
// ask the platform one after the other; most hear from another host first.
func (h *Host) follows() bool {
	if _, loaded := h.follower.Replica(); !loaded {
		return time.Since(time.Unix(0, int64(h.incarnation))) >= h.jitter
	}
	answer := make(chan bool, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.loop.post(ctx, func(c *control) { answer <- follower(c.table) })
	select {
	case yes := <-answer:
		return yes
	case <-ctx.Done():
		return false
	}
}

// follower reports whether the table's own host is among its zone's followers.
func follower(t *fpmember.Table) bool {
	self := t.Self()
	living := t.LiveMembers(self.Zone)
	names := make([]string, 0, len(living))
	for _, m := range living {
		names = append(names, m.Name)
	}
	for range followersPerZone {
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

// pollHostList reads the platform's list of hosts at its pace.
func (h *Host) pollHostList(ctx context.Context) error {
	if h.settings.Platform.HostList == "" {
		<-ctx.Done()
		return nil
	}
	return every(ctx, hostListEvery, func() {
		hosts, err := h.upstreams.FetchHosts(ctx, h.settings.Platform.HostList)
		if err != nil {
			return
		}
		h.loop.post(ctx, func(c *control) { c.listed(hosts, time.Now()) })
	})
}

// every calls f at a pace until the context ends.
func every(ctx context.Context, d time.Duration, f func()) error {
	t := time.NewTicker(d)
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
