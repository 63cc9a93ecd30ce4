package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// readersOfZone is how many hosts of a zone others ask before they turn to the
	// store themselves: the second one is there while the first is replaced.
	readersOfZone = 2
	// askTimeout bounds a question; hosts of a zone are a millisecond apart.
	askTimeout = 300 * time.Millisecond
	// askEvery is the pace of questions.
	askEvery = 600 * time.Millisecond
	// askAgain is the pause after a host gave no answer.
	askAgain = 2 * time.Second
	// backoffFirst and backoffOthers bound the pause after a failed call to the store,
	// of a zone's reader and of hosts that hear from it when the store is back:
	// a store in trouble is not asked by all of them.
	backoffFirst  = 500 * time.Millisecond
	backoffOthers = 2 * time.Second
	// maxNewsAge is the oldest news that is taken from another host. With the pace
	// of questions and a call to the store after it, a change is in force within
	// the users' shortest bound of 3 s when the host asked is cut off.
	maxNewsAge = 1700 * time.Millisecond
	// minSharedBound is the shortest of the users' bounds with which news is taken
	// from another host: it is maxNewsAge old, then askEvery older, and a call to
	// the store follows.
	minSharedBound = 3 * time.Second
	// watchShared and gatherShared are the pace of a host that others ask: two
	// waits and a pause stay below maxNewsAge.
	watchShared  = 600 * time.Millisecond
	gatherShared = 300 * time.Millisecond
	// gatherFew and gatherMany are the pauses of a host that reads for itself alone;
	// manyHosts is where the calls of all hosts begin to weigh.
	gatherFew  = 500 * time.Millisecond
	gatherMany = time.Second
	manyHosts  = 16
	// watchAlone is what the watch of such a host may wait, and watchShare the part of
	// the time in which a revoked key must be refused: two watches in a row must
	// prove that no key was taken away.
	watchAlone = 1250 * time.Millisecond
	watchShare = 4
)

type (
	// readers remembers which hosts to ask; it belongs to the follower's goroutine.
	readers struct {
		// failed holds until when a host is not asked.
		failed map[string]time.Duration
		asked  string
		// answered says that the latest question was answered, with news of any age.
		answered bool
	}
)

// readersFor returns the hosts of a zone that one of them asks, best first;
// none for the host that is first itself.
func readersFor(host, zone string, names []string) []string {
	names = slices.Clone(names)
	if !slices.Contains(names, host) {
		// Its own entry may not be in the store yet.
		names = append(names, host)
	}
	var out []string
	for len(out) < readersOfZone && len(names) > 0 {
		i := fproute.RendezvousOwner("store/"+zone, names)
		if names[i] == host {
			break
		}
		out = append(out, names[i])
		names = slices.Delete(names, i, i+1)
	}
	return out
}

// shares reports whether the users' bounds leave the time to ask another host.
func (s Settings) shares() bool {
	for _, bound := range []time.Duration{s.Fresh.Revoke, s.Fresh.Apply, s.Drain} {
		if bound != 0 && bound < minSharedBound {
			return false
		}
	}
	return true
}

// pace returns how often this host calls the store or asks another host.
func (g *Gateway) pace() fpstore.Pace {
	p := fpstore.Pace{Wait: watchAlone, Gather: gatherFew, Ask: askEvery, Backoff: backoffFirst}
	if revoke := g.settings().Fresh.Revoke; revoke > 0 {
		p.Wait = min(p.Wait, revoke/watchShare)
	}
	s := g.state.Load()
	if g.readsForOthers(s) {
		p.Wait, p.Gather = min(p.Wait, watchShared), gatherShared
		return p
	}
	if s.hosts > manyHosts {
		p.Gather = gatherMany
	}
	if g.readers.answered {
		p.Backoff = backoffOthers
	}
	return p
}

// readsForOthers reports whether others of the zone ask this host: it is the
// best reader, or the next one while those before it give no answer.
func (g *Gateway) readsForOthers(s *snapshot) bool {
	if !g.settings().shares() || len(s.zone) < 2 {
		return false
	}
	before := readersFor(g.settings().Host, g.settings().Place.Zone, s.zone)
	for _, name := range before {
		if !g.readers.failing(name, g.clock()) {
			return false
		}
	}
	return len(before) < readersOfZone
}

// failing reports whether a host gave no usable answer lately.
func (r *readers) failing(name string, now time.Duration) bool { return now < r.failed[name] }

// nearby asks the hosts of the zone that read the store for what changed.
func (g *Gateway) nearby(ctx context.Context, after int64) (fpstore.Update, bool) {
	if !g.settings().shares() {
		return fpstore.Update{}, false
	}
	s := g.state.Load()
	for _, name := range readersFor(g.settings().Host, g.settings().Place.Zone, s.zone) {
		address := s.addresses[name]
		if address == nil || g.readers.failing(name, g.clock()) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		n, err := g.asker.After(callCtx, address.String(), name, after)
		cancel()
		age := g.clock() - n.Sent
		g.readers.answered = err == nil
		if err == nil && age <= maxNewsAge {
			delete(g.readers.failed, name)
			g.metrics.Count("news_taken", 1)
			g.readsThrough(name, "", age)
			return fpstore.Update{Items: n.Items, Revision: n.Revision, Sent: n.Sent}, true
		}
		if ctx.Err() != nil {
			break
		}
		g.metrics.Count("news_refused", 1)
		reason, pause := "its news is old", askEvery
		if err != nil {
			reason, pause, age = err.Error(), askAgain, 0
		}
		g.readers.failed[name] = g.clock() + pause
		g.readsThrough("", name+": "+reason, age)
	}
	g.readsThrough("", "first of its zone, or nobody to ask", 0)
	return fpstore.Update{}, false
}

// readsThrough notes by which host this one learns of the store, "" for by itself.
func (g *Gateway) readsThrough(host, reason string, age time.Duration) {
	if g.readers.asked == host {
		return
	}
	g.readers.asked = host
	if host == "" {
		g.log("store read directly", "Reason", reason, "NewsAge", age.String())
		return
	}
	g.log("store read through a host", "Peer", host, "NewsAge", age.String())
}
