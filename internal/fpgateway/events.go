package fpgateway

import (
	"context"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
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
	// readersSpare is left of the readers that a replica takes, for hosts that are just starting.
	readersSpare = 2
)

// readEvents keeps a reader of cache events at each engine, as far as the
// engines take a reader from each host.
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

// readable returns the engines whose events this host reads, by ID and address.
func (g *Gateway) readable() map[string]fpbalance.Replica {
	s := g.state.Load()
	out := make(map[string]fpbalance.Replica)
	if s.catalog == nil {
		return out
	}
	for _, c := range s.stores {
		if service := s.catalog.Service(c.ID); service != nil && s.hosts <= service.Cache.EventReaders-readersSpare {
			out[c.ID+"@"+c.Address] = fpbalance.Replica{ID: c.ID, Address: c.Address}
		}
	}
	for name, replicas := range s.services {
		service := s.catalog.Service(name)
		if service == nil || service.Engine == nil || s.hosts > service.Engine.EventReaders-readersSpare {
			continue
		}
		for _, r := range replicas {
			if r.Engine {
				out[r.ID+"@"+r.Address] = r
			}
		}
	}
	return out
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

// took takes in events of a replica's cache.
func (g *Gateway) took(r fpbalance.Replica, e CacheEvents) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.balancer.Directory()
	d.Epoch(r.ID, e.Epoch)
	for _, v := range e.Events {
		if v.Stored {
			d.Stored(r.ID, v.Salt, v.Part, v.Tokens, true, now)
		} else {
			d.Evicted(r.ID, v.Salt, v.Part, v.Tokens, now)
		}
	}
}
