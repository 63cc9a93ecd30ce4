package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// readersPerZone is how many hosts of a zone others try before they read the store
	// themselves. The second one is a stand-by while the first is replaced.
	readersPerZone = 2
	// peerReadTimeout bounds a read from a peer; hosts of a zone are a millisecond apart.
	peerReadTimeout = 300 * time.Millisecond
	// peerReadInterval is the interval between reads from a peer.
	peerReadInterval = 600 * time.Millisecond
	// failedPeerPause is how long a peer is skipped after it gave no answer.
	failedPeerPause = 2 * time.Second
	// maxReaderBackoff and maxFollowerBackoff bound the pause after a failed call to the store:
	// for hosts that read the store themselves, and for hosts that learn from a zone's reader
	// when the store is back. The longer one keeps load off a store in trouble.
	maxReaderBackoff   = 500 * time.Millisecond
	maxFollowerBackoff = 2 * time.Second
	// maxPeerUpdateAge is the oldest update that is accepted from a peer. Together with
	// peerReadInterval and a call to the store after it, a change is in force within the
	// shortest freshness bound of 3 s when the peer is cut off from the store.
	maxPeerUpdateAge = 1700 * time.Millisecond
	// minBoundForSharing is the shortest freshness bound with which updates are accepted from a
	// peer: an update may be maxPeerUpdateAge old, gets older by peerReadInterval, and a call to
	// the store follows.
	minBoundForSharing = 3 * time.Second
	// sharedWatchWait and sharedBatchDelay apply to a host that others read from: two waits and
	// a delay stay below maxPeerUpdateAge.
	sharedWatchWait  = 600 * time.Millisecond
	sharedBatchDelay = 300 * time.Millisecond
	// soloBatchDelay and soloBatchDelayLargeFleet apply to a host that reads the store only for
	// itself. With more than largeFleetHosts hosts the calls of all of them would load the store.
	soloBatchDelay           = 500 * time.Millisecond
	soloBatchDelayLargeFleet = time.Second
	largeFleetHosts          = 16
	// soloWatchWait bounds the wait of such a host's watch. Two watches in a row must prove that
	// no key was revoked; a wait is therefore at most the time in which a revoked key must be
	// refused, divided by watchesPerRevokeBound.
	soloWatchWait         = 1250 * time.Millisecond
	watchesPerRevokeBound = 4
)

type (
	// storeReaders tracks which peers to read from; only the follower's goroutine uses it.
	storeReaders struct {
		// skippedUntil holds the time until which a peer is not read from.
		skippedUntil map[string]time.Duration
		source       string
		// lastReadAnswered says that the last peer read was answered, with an update of any age.
		lastReadAnswered bool
	}
)

// zoneReaders returns the hosts of a zone that a host may read store updates from, in order of
// preference. It is empty for the zone's first reader.
func zoneReaders(host, zone string, names []string) []string {
	names = slices.Clone(names)
	if !slices.Contains(names, host) {
		// The host's own entry may not be in the store yet.
		names = append(names, host)
	}
	var out []string
	for len(out) < readersPerZone && len(names) > 0 {
		i := fproute.RendezvousOwner("store/"+zone, names)
		if names[i] == host {
			break
		}
		out = append(out, names[i])
		names = slices.Delete(names, i, i+1)
	}
	return out
}

// allowsSharedReads reports whether the freshness bounds leave enough time to read from a peer.
func (s Settings) allowsSharedReads() bool {
	for _, bound := range []time.Duration{s.Freshness.Revoke, s.Freshness.Apply, s.DrainTimeout} {
		if bound != 0 && bound < minBoundForSharing {
			return false
		}
	}
	return true
}

// storePollIntervals returns how often this host calls the store or reads from a peer.
func (g *Gateway) storePollIntervals() fpstore.PollIntervals {
	p := fpstore.PollIntervals{WatchWait: soloWatchWait, BatchDelay: soloBatchDelay, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}
	if revoke := g.settings().Freshness.Revoke; revoke > 0 {
		p.WatchWait = min(p.WatchWait, revoke/watchesPerRevokeBound)
	}
	s := g.snapshot.Load()
	reads := g.isZoneReader(s)
	g.readsForZone.Store(reads)
	if reads {
		p.WatchWait, p.BatchDelay = min(p.WatchWait, sharedWatchWait), sharedBatchDelay
		return p
	}
	if s.hostCount > largeFleetHosts {
		p.BatchDelay = soloBatchDelayLargeFleet
	}
	if g.storeReaders.lastReadAnswered {
		p.MaxBackoff = maxFollowerBackoff
	}
	return p
}

// isZoneReader reports whether others of the zone read from this host: it is the preferred
// reader, or the next one while those before it give no answer.
func (g *Gateway) isZoneReader(s *snapshot) bool {
	if !g.settings().allowsSharedReads() || len(s.zoneHosts) < 2 {
		return false
	}
	preferred := zoneReaders(g.settings().Host, g.settings().Place.Zone, s.zoneHosts)
	for _, name := range preferred {
		if !g.storeReaders.isSkipped(name, g.clock()) {
			return false
		}
	}
	return len(preferred) < readersPerZone
}

// isSkipped reports whether a peer is skipped because it recently gave no usable answer.
func (r *storeReaders) isSkipped(name string, now time.Duration) bool {
	return now < r.skippedUntil[name]
}

// readFromPeer reads the changes after a position from a host of the zone that reads the store.
func (g *Gateway) readFromPeer(ctx context.Context, after fpstore.Position) (fpstore.Update, bool) {
	if !g.settings().allowsSharedReads() {
		return fpstore.Update{}, false
	}
	s := g.snapshot.Load()
	for _, name := range zoneReaders(g.settings().Host, g.settings().Place.Zone, s.zoneHosts) {
		address := s.hostAddresses[name]
		if address == nil || g.storeReaders.isSkipped(name, g.clock()) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
		changes, err := g.peerClient.FetchChanges(callCtx, address.String(), name, after)
		cancel()
		age := g.clock() - changes.SentAt
		g.storeReaders.lastReadAnswered = err == nil
		if err == nil && age <= maxPeerUpdateAge {
			delete(g.storeReaders.skippedUntil, name)
			g.metrics.AddToCounter("news_taken", 1)
			g.recordReadSource(name, "", age)
			return fpstore.Update{Items: changes.Items, Position: changes.Position, SentAt: changes.SentAt}, true
		}
		if ctx.Err() != nil {
			break
		}
		g.metrics.AddToCounter("news_refused", 1)
		reason, pause := "its updates are too old", peerReadInterval
		if err != nil {
			reason, pause, age = err.Error(), failedPeerPause, 0
		}
		g.storeReaders.skippedUntil[name] = g.clock() + pause
		g.recordReadSource("", name+": "+reason, age)
	}
	g.recordReadSource("", "first reader of its zone, or no peer to read from", 0)
	return fpstore.Update{}, false
}

// recordReadSource records and logs which peer this host reads the store through, "" for none.
func (g *Gateway) recordReadSource(host, reason string, age time.Duration) {
	if g.storeReaders.source == host {
		return
	}
	g.storeReaders.source = host
	if host == "" {
		g.log("store read directly", "Reason", reason, "NewsAge", age.String())
		return
	}
	g.log("store read through a host", "Peer", host, "NewsAge", age.String())
}
