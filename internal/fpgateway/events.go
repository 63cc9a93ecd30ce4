package fpgateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// eventsPollWait is how long a replica may hold a poll for cache events open.
	eventsPollWait = 900 * time.Millisecond
	// eventsCallTimeout bounds a poll, including the longest network path.
	eventsCallTimeout = 2 * time.Second
	// maxEventsBytes bounds the answer to a poll.
	maxEventsBytes = 4 << 20
	// eventsBatchPause is the pause between two polls, in which events accumulate.
	eventsBatchPause = 150 * time.Millisecond
	// eventsRetryPause is the pause after a failed poll.
	eventsRetryPause = time.Second
	// readersRefreshInterval is the interval at which the set of event readers is updated.
	readersRefreshInterval = time.Second
	// maxCachePartsPerNotice limits the parts in a notice, about 70 bytes each, so that it fits
	// into a datagram.
	maxCachePartsPerNotice = 14
	// maxPartTokens is larger than the number of tokens of any part.
	maxPartTokens = 1 << 30
)

// runEventReaders runs a reader of cache events for each engine and cache store that is assigned
// to this host.
func (g *Gateway) runEventReaders(ctx context.Context) error {
	readers := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range readers {
			stop()
		}
	}()
	for ctx.Err() == nil {
		wanted := g.eventSources()
		for key, stop := range readers {
			if _, ok := wanted[key]; !ok {
				stop()
				delete(readers, key)
			}
		}
		for key, r := range wanted {
			if readers[key] == nil {
				readerCtx, stop := context.WithCancel(ctx)
				readers[key] = stop
				go g.followCacheEvents(readerCtx, r)
			}
		}
		fpclock.Sleep(ctx, readersRefreshInterval)
	}
	return nil
}

// eventSources returns the engines and cache stores whose events this host reads, keyed by ID,
// address and start.
func (g *Gateway) eventSources() map[string]fpbalance.Replica {
	s := g.snapshot.Load()
	out := make(map[string]fpbalance.Replica)
	if s.catalog == nil {
		return out
	}
	for _, c := range s.cacheStores {
		if s.eventReader(c.ID, c.Region) == g.settings().Host {
			out[c.ID+"@"+c.Address] = fpbalance.Replica{ID: c.ID, Address: c.Address}
		}
	}
	for name, replicas := range s.replicasByService {
		if service := s.catalog.Service(name); service == nil || service.Engine == nil {
			continue
		}
		for _, r := range replicas {
			if r.Engine && s.eventReader(r.ID, r.Region) == g.settings().Host {
				out[r.ID+"@"+r.Address+"@"+strconv.FormatInt(r.StartUnixMilli, 10)] = r
			}
		}
	}
	return out
}

// eventReader returns the host that reads a replica's events for all hosts: the rendezvous hash
// owner among the hosts of the replica's region, or among all hosts if the region has none.
// Hosts with the same list of hosts agree on it.
func (s *snapshot) eventReader(id, region string) string {
	names := s.hostsByRegion[region]
	if len(names) == 0 {
		names = s.hostNames
	}
	if i := fproute.RendezvousOwner(id, names); i >= 0 {
		return names[i]
	}
	return ""
}

// followCacheEvents polls a replica's cache events until the context ends. They are numbered anew in each
// epoch, so that those of a new one are read from the first.
func (g *Gateway) followCacheEvents(ctx context.Context, r fpbalance.Replica) {
	since, epoch := int64(0), int64(0)
	for ctx.Err() == nil {
		if left := g.pauseLeft(r); left > 0 {
			fpclock.Sleep(ctx, min(left, readersRefreshInterval))
			continue
		}
		e, err := g.readCacheEvents(ctx, r, since)
		if err != nil {
			g.metrics.AddToCounter("cache_event_errors", 1)
			fpclock.Sleep(ctx, eventsRetryPause)
			continue
		}
		if since > 0 && e.Epoch != epoch {
			since = 0
			continue
		}
		g.handleCacheEvents(r, e)
		since, epoch = e.Next, e.Epoch
		fpclock.Sleep(ctx, eventsBatchPause)
	}
}

func (g *Gateway) readCacheEvents(ctx context.Context, r fpbalance.Replica, since int64) (CacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsCallTimeout)
	defer cancel()
	a, err := g.pool.Do(ctx, g.dialect.EventsCall(r.Address, since, eventsPollWait))
	if err != nil {
		return CacheEvents{}, err
	}
	defer a.Close()
	g.recordControlIntake(r.ID, r.StartUnixMilli, a)
	memory := g.memory.Reserve(fpbudget.Control)
	defer memory.Release()
	body, err := fpconn.ReadAll(a.Body, maxEventsBytes, memory)
	if err != nil {
		return CacheEvents{}, err
	}
	return g.dialect.DecodeEvents(a.Status, body)
}

// handleCacheEvents applies a replica's cache events and sends those about long parts to the
// other hosts.
func (g *Gateway) handleCacheEvents(r fpbalance.Replica, e CacheEvents) {
	longParts := g.applyCacheEvents(r, e)
	s := g.snapshot.Load()
	relays := s.relayAddresses(r.ID, g.settings().Place.Region)
	for len(longParts) > 0 {
		n := min(len(longParts), maxCachePartsPerNotice)
		notice := fpnotice.CacheChange{Replica: r.ID, Epoch: e.Epoch, Parts: longParts[:n]}
		g.sendNear(s, r.ID, fpnotice.Notice{Cache: &notice})
		relayed := notice
		relayed.Relay = true
		g.sendNotice(relays, fpnotice.Notice{Cache: &relayed})
		longParts = longParts[n:]
	}
}

// relayAddresses returns the address of one host in each other region whose hosts are not sent
// notices directly. It is the same host for all notices of a replica.
func (s *snapshot) relayAddresses(id, region string) []*net.UDPAddr {
	if s.hostCount <= maxBroadcastHosts {
		return nil
	}
	var out []*net.UDPAddr
	for other, names := range s.hostsByRegion {
		if other == region {
			continue
		}
		if a := s.hostAddresses[names[fproute.RendezvousOwner(id, names)]]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// applyCacheEvents applies cache events to the directory and returns those about long parts.
func (g *Gateway) applyCacheEvents(r fpbalance.Replica, e CacheEvents) []fpnotice.CachedPart {
	now := g.clock()
	var longParts []fpnotice.CachedPart
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.balancer.CacheDirectory()
	d.ResetOnNewEpoch(r.ID, e.Epoch)
	for _, v := range e.Events {
		part := []fpbalance.Part{{ID: v.Part, Tokens: maxPartTokens}}
		long := v.Tokens >= minNoticeTokens || d.CachedPrefixTokens(r.ID, v.Salt, part, now) >= minNoticeTokens
		if v.Stored {
			d.RecordStored(r.ID, v.Salt, v.Part, v.Tokens, true, now)
		} else {
			d.RecordEvicted(r.ID, v.Salt, v.Part, v.Tokens, now)
		}
		if long {
			longParts = append(longParts, fpnotice.CachedPart{Salt: v.Salt, ID: v.Part, Tokens: v.Tokens})
		}
	}
	return longParts
}
