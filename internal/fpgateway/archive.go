package fpgateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

const (
	// originKeyPrefix is the prefix of the keys of segments of stream origins, which outlast the hosts.
	originKeyPrefix = "fescuepoint/origins/"
	// archiveInterval is the least interval at which a host writes a segment, and archiveIntervalPerWriter spreads the
	// writes of all hosts that do: together they make a quarter of what the smallest store takes at most.
	archiveInterval          = 300 * time.Millisecond
	archiveIntervalPerWriter = 10 * time.Millisecond
	// maxArchivedOrigins bounds the origins in the store, of all writers together, maxSegmentOrigins those that one write
	// adds, and maxDroppedSegments the segments that it drops to make room.
	maxArchivedOrigins = 1 << 17
	maxSegmentOrigins  = 4096
	maxDroppedSegments = 24
	// archiveHandover is how long a host keeps origins that another one of its zone writes, for the case that it takes
	// over from it. It exceeds the time in which the store's changes reach all hosts.
	archiveHandover = 3 * time.Second
	// leasesPerRetention is in how many leases the segments of one retention are. A lease is not renewed, so that its
	// segments outlast their writer for as long as streams may be taken up.
	leasesPerRetention = 4
)

type (
	// unarchivedOrigin is a stream's origin that is to be written to the store.
	unarchivedOrigin struct {
		fporigin.Entry
		since time.Duration
	}

	// originArchiver writes the origins of a zone's streams to the store, where hosts find them that have started since.
	originArchiver struct {
		gateway *Gateway
		// name begins the keys of this process, which differ from those of an earlier one.
		name     string
		segments int
		lease    fpstore.LeaseID
		// leaseUntil is until when segments are written under the lease.
		leaseUntil time.Duration
		// written holds the segments that the store may still have.
		written []writtenSegment
	}

	// writtenSegment is when a segment was written under a key, and how many origins it has.
	writtenSegment struct {
		key     string
		at      time.Duration
		origins int
	}
)

// archiveTTL returns how long the store keeps a segment at most.
func archiveTTL(s *snapshot) time.Duration {
	retention := originRetention(s.catalog)
	return min(retention+retention/leasesPerRetention, maxLeaseTTL)
}

// enqueueUnarchived has certain origins written to the store. The gateway's mutex must be held.
func (g *Gateway) enqueueUnarchived(list ...fporigin.Entry) {
	now := g.clock()
	for _, e := range list {
		if !e.Certain() {
			continue
		}
		if _, addedAt, found := g.archive.Find(e.Service, e.ID, now); found && now-addedAt < g.archive.Retention/2 {
			continue
		}
		g.unarchived = append(g.unarchived, unarchivedOrigin{Entry: e, since: now})
	}
	if dropped := len(g.unarchived) - 2*maxSegmentOrigins; dropped > 0 {
		g.metrics.AddToCounter("stream_origins_not_archived", dropped)
		g.unarchived = slices.Delete(g.unarchived, 0, dropped)
	}
}

// applySegment keeps a segment of the store. Origins don't change, so that one that the store no longer has, or a restored
// one lacks, still holds.
func (g *Gateway) applySegment(i fpstore.Item, now time.Duration) {
	if i.Deleted {
		return
	}
	s, err := fporigin.UnmarshalSegment(i.Value)
	if err != nil {
		g.log("entry ignored", "Key", i.Key, "Revision", i.Revision, "Error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.archive.Add(s, now)
	g.metrics.SetGauge("stream_origins_archived", float64(g.archive.Len()))
}

// archivedOrigin returns the software version that began the request's stream, if the store has told it.
func (q *request) archivedOrigin() (string, bool) {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	o, _, found := g.archive.Find(q.service.Name, q.streamID(), g.clock())
	return o.Build, found
}

// archiveOrigins writes origins to the store until the context ends.
func (g *Gateway) archiveOrigins(ctx context.Context) error {
	a := &originArchiver{gateway: g, name: originKeyPrefix + g.settings().Host + "/" + strconv.FormatUint(rand.Uint64(), 36)}
	for fpclock.Sleep(ctx, archiveIntervalOf(g.archiveWriters(g.snapshot.Load()))) {
		s := g.snapshot.Load()
		take := g.takeUnarchived
		if !g.archivesOrigins(s) {
			take = g.takeOverdue
		}
		if err := a.write(ctx, s, take); err != nil && ctx.Err() == nil {
			g.log("stream origins not stored", "Error", err.Error())
			fpclock.Sleep(ctx, hostLeaseRetryPause)
		}
	}
	last, cancel := context.WithTimeout(context.Background(), shutdownMargin)
	defer cancel()
	if err := a.write(last, g.snapshot.Load(), g.takeUnarchived); err != nil {
		g.log("stream origins not stored", "Error", err.Error())
	}
	return nil
}

func archiveIntervalOf(writers int) time.Duration {
	return max(archiveInterval, time.Duration(writers)*archiveIntervalPerWriter)
}

// archiveWriters returns how many hosts write origins: one in each zone, or all.
func (g *Gateway) archiveWriters(s *snapshot) int {
	if g.settings().allowsSharedReads() {
		return max(s.zoneCount, 1)
	}
	return max(s.hostCount, 1)
}

// archivesOrigins reports whether this host writes its zone's origins: the one through which the others read the store, as
// far as there is one.
func (g *Gateway) archivesOrigins(s *snapshot) bool {
	return g.readsForZone.Load() || len(s.zoneHosts) < 2 || g.noticeSocket == nil || !g.settings().allowsSharedReads()
}

// write writes the origins that take returns.
func (a *originArchiver) write(ctx context.Context, s *snapshot, take func() []fporigin.Entry) error {
	if s.catalog == nil || s.storeUnreachable {
		return nil
	}
	list := take()
	if len(list) == 0 {
		return nil
	}
	segment := fporigin.NewSegment(list)
	drop, room := a.makeRoom(segment.Len(), s)
	if !room {
		a.gateway.metrics.AddToCounter("stream_origins_not_archived", segment.Len())
		return nil
	}
	err := a.commit(ctx, s, segment, drop)
	if err != nil {
		a.putBack(list)
	}
	return err
}

// takeUnarchived returns the next origins to write.
func (g *Gateway) takeUnarchived() []fporigin.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := min(len(g.unarchived), maxSegmentOrigins)
	list := make([]fporigin.Entry, 0, n)
	for _, o := range g.unarchived[:n] {
		list = append(list, o.Entry)
	}
	g.unarchived = slices.Clone(g.unarchived[n:])
	return list
}

// takeOverdue drops the origins that another host of the zone has had the time to write, and returns those of this host's
// streams that the store has not told since: the other one may be of a build that writes none.
func (g *Gateway) takeOverdue() []fporigin.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, host := g.clock(), g.settings().Host
	var list []fporigin.Entry
	g.unarchived = slices.DeleteFunc(g.unarchived, func(o unarchivedOrigin) bool {
		if now-o.since < archiveHandover {
			return false
		}
		if _, _, found := g.archive.Find(o.Service, o.ID, now); !found && o.Host == host && len(list) < maxSegmentOrigins {
			list = append(list, o.Entry)
		}
		return true
	})
	return list
}

func (a *originArchiver) putBack(list []fporigin.Entry) {
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.enqueueUnarchived(list...)
}

// makeRoom returns how many of the oldest segments have to go so that this host's share of the store holds as many more
// origins: the latest streams are those that most likely still run. It returns false if that is not enough.
func (a *originArchiver) makeRoom(origins int, s *snapshot) (drop int, room bool) {
	now := a.gateway.clock()
	a.written = slices.DeleteFunc(a.written, func(w writtenSegment) bool { return now-w.at >= archiveTTL(s) })
	for _, w := range a.written {
		origins += w.origins
	}
	share := maxArchivedOrigins / a.gateway.archiveWriters(s)
	for ; origins > share && drop < min(len(a.written), maxDroppedSegments); drop++ {
		origins -= a.written[drop].origins
	}
	return drop, origins <= share
}

// commit writes a segment and deletes some of the oldest.
func (a *originArchiver) commit(ctx context.Context, s *snapshot, segment fporigin.Segment, drop int) error {
	g := a.gateway
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	now := g.clock()
	if now >= a.leaseUntil || a.lease.Incarnation < s.incarnation {
		ttl := archiveTTL(s)
		lease, err := g.store.GrantLease(ctx, ttl)
		if err != nil {
			return err
		}
		a.lease, a.leaseUntil = lease, now+ttl/(leasesPerRetention+1)
	}
	value, err := segment.Marshal()
	if err != nil {
		return errors.Wrap(err, "encode stream origins")
	}
	a.segments++
	key := a.name + "-" + strconv.Itoa(a.segments)
	t := fpstore.Transaction{Puts: []fpstore.Put{{Key: key, Value: value, Lease: a.lease}}}
	for _, w := range a.written[:drop] {
		t.Deletes = append(t.Deletes, w.key)
	}
	_, err = g.store.Commit(ctx, t)
	switch {
	case errors.Is(err, fpstore.ErrLeaseNotFound):
		a.leaseUntil = 0
	case err == nil:
		a.written = append(slices.Delete(a.written, 0, drop), writtenSegment{key: key, at: now, origins: segment.Len()})
	case !errors.Is(err, fpstore.ErrRefused):
		a.written = append(a.written, writtenSegment{key: key, at: now, origins: segment.Len()})
	}
	if err != nil {
		return err
	}
	g.metrics.AddToCounter("stream_origin_segments", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.archive.Add(segment, now)
	return nil
}

func isOriginKey(key string) bool { return strings.HasPrefix(key, originKeyPrefix) }
