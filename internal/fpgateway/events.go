package fpgateway

import (
	"context"
	"net"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// eventsWait is how long a replica keeps a reader waiting for events.
	eventsWait = 900 * time.Millisecond
	// eventsTimeout bounds a reading, over the longest way.
	eventsTimeout = 2 * time.Second
	// eventsGather is the pause between two readings, in which events gather.
	eventsGather = 150 * time.Millisecond
	// eventsRetry is the pause after a failed reading.
	eventsRetry = time.Second
	// readersEvery is the pace at which the set of readers is renewed.
	readersEvery = time.Second
	// heldInNotice bounds the parts in a notice, some 70 bytes each, to the size of a datagram.
	heldInNotice = 14
	// maxPartTokens is more than any part has.
	maxPartTokens = 1 << 30
)

// readEvents keeps a reader of cache events at each engine that is this host's to read.
func (g *Gateway) readEvents(ctx context.Context) error {
	readers := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range readers {
			stop()
		}
	}()
	for ctx.Err() == nil {
		wanted := g.readable()
		for key, stop := range readers {
			if _, ok := wanted[key]; !ok {
				stop()
				delete(readers, key)
			}
		}
		for key, r := range wanted {
			if readers[key] == nil {
				part, stop := context.WithCancel(ctx)
				readers[key] = stop
				go g.follow(part, r)
			}
		}
		fpclock.Sleep(ctx, readersEvery)
	}
	return nil
}

// readable returns the engines and stores whose events this host reads, by ID
// and address.
func (g *Gateway) readable() map[string]fpbalance.Replica {
	s := g.state.Load()
	out := make(map[string]fpbalance.Replica)
	if s.catalog == nil {
		return out
	}
	for _, c := range s.stores {
		if s.reader(c.ID, c.Region) == g.settings().Host {
			out[c.ID+"@"+c.Address] = fpbalance.Replica{ID: c.ID, Address: c.Address}
		}
	}
	for name, replicas := range s.services {
		if service := s.catalog.Service(name); service == nil || service.Engine == nil {
			continue
		}
		for _, r := range replicas {
			if r.Engine && s.reader(r.ID, r.Region) == g.settings().Host {
				out[r.ID+"@"+r.Address] = r
			}
		}
	}
	return out
}

// reader returns the host that reads a replica's events for all: one of its
// region where there is any, the same for every host that knows the same hosts.
func (s *snapshot) reader(id, region string) string {
	names := s.regions[region]
	if len(names) == 0 {
		names = s.names
	}
	if i := fproute.RendezvousOwner(id, names); i >= 0 {
		return names[i]
	}
	return ""
}

// follow reads a replica's events until the context ends.
func (g *Gateway) follow(ctx context.Context, r fpbalance.Replica) {
	since := int64(0)
	for ctx.Err() == nil {
		e, err := g.readOnce(ctx, r, since)
		if err != nil {
			g.metrics.Count("cache_event_errors", 1)
			fpclock.Sleep(ctx, eventsRetry)
			continue
		}
		g.took(r, e)
		since = e.Next
		fpclock.Sleep(ctx, eventsGather)
	}
}

func (g *Gateway) readOnce(ctx context.Context, r fpbalance.Replica, since int64) (CacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	a, err := g.pool.Do(ctx, g.dialect.EventsCall(r.Address, since, eventsWait))
	if err != nil {
		return CacheEvents{}, err
	}
	defer a.Close()
	body, err := fpconn.ReadAll(a.Body, maxPlainBytes)
	if err != nil {
		return CacheEvents{}, err
	}
	return g.dialect.Events(a.Status, body)
}

// took takes in events of a replica's cache, and tells the other hosts of
// the parts that are worth a move.
func (g *Gateway) took(r fpbalance.Replica, e CacheEvents) {
	told := g.applyEvents(r, e)
	s := g.state.Load()
	relays := s.relays(r.ID, g.settings().Place.Region)
	for len(told) > 0 {
		n := min(len(told), heldInNotice)
		c := fpnotice.Cache{Replica: r.ID, Epoch: e.Epoch, Parts: told[:n]}
		g.tell(s.near, fpnotice.Notice{Cache: &c})
		far := c
		far.Relay = true
		g.tell(relays, fpnotice.Notice{Cache: &far})
		told = told[n:]
	}
}

// relays returns one host of each other region whose hosts are not told
// directly, the same one for all notices of a replica.
func (s *snapshot) relays(id, region string) []*net.UDPAddr {
	if s.hosts <= maxToldHosts {
		return nil
	}
	var out []*net.UDPAddr
	for other, names := range s.regions {
		if other == region {
			continue
		}
		if a := s.addresses[names[fproute.RendezvousOwner(id, names)]]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// applyEvents applies events to the directory and returns those about long parts.
func (g *Gateway) applyEvents(r fpbalance.Replica, e CacheEvents) []fpnotice.Held {
	now := g.clock()
	var told []fpnotice.Held
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.balancer.CacheDirectory()
	d.ResetOnNewEpoch(r.ID, e.Epoch)
	for _, v := range e.Events {
		part := []fpbalance.Part{{ID: v.Part, Tokens: maxPartTokens}}
		long := v.Tokens >= tellTokens || d.CachedPrefixTokens(r.ID, v.Salt, part, now) >= tellTokens
		if v.Stored {
			d.RecordStored(r.ID, v.Salt, v.Part, v.Tokens, true, now)
		} else {
			d.RecordEvicted(r.ID, v.Salt, v.Part, v.Tokens, now)
		}
		if long {
			told = append(told, fpnotice.Held{Salt: v.Salt, ID: v.Part, Tokens: v.Tokens})
		}
	}
	return told
}
