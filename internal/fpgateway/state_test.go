package fpgateway

import (
	"bytes"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

// TestSnapshotProofMatchesCatalog guards against a snapshot with a newer freshness proof than
// its catalog's, by which a key that was just revoked would be accepted.
func TestSnapshotProofMatchesCatalog(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Dependencies{Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})})
	c := newControlState(g)
	before := c.buildSnapshot(time.Minute, false)
	c.applyUpdate(fpstore.Update{SentAt: time.Minute}, time.Minute)
	_, known := before.proof.Age(time.Minute)
	is.True(!known)
	age, known := c.buildSnapshot(time.Minute, false).proof.Age(time.Minute + time.Second)
	is.True(known)
	is.Equal(age, time.Second)
	c.applyUpdate(fpstore.Update{SentAt: 2 * time.Minute, Err: fpstore.ErrRefused}, 2*time.Minute)
	age, _ = c.buildSnapshot(2*time.Minute, false).proof.Age(2 * time.Minute)
	is.Equal(age, time.Minute)
}

// TestStorePollIntervals checks the intervals of calls to the store, given the hosts of the zone
// and the freshness bounds.
func TestStorePollIntervals(t *testing.T) {
	tests := map[string]struct {
		revoke time.Duration
		hosts  int
		zone   []string
		want   fpstore.PollIntervals
	}{
		"alone in its zone":               {revoke: 5 * time.Second, hosts: 3, zone: []string{"a"}, want: fpstore.PollIntervals{WatchWait: 1250 * time.Millisecond, BatchDelay: soloBatchDelay, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}},
		"no bound on revoked keys":        {hosts: 3, zone: []string{"a"}, want: fpstore.PollIntervals{WatchWait: 1250 * time.Millisecond, BatchDelay: soloBatchDelay, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}},
		"a short bound":                   {revoke: 2 * time.Second, hosts: 3, zone: []string{"a", "b"}, want: fpstore.PollIntervals{WatchWait: 500 * time.Millisecond, BatchDelay: soloBatchDelay, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}},
		"a large fleet, short bound":      {revoke: 2 * time.Second, hosts: 80, zone: []string{"a", "b"}, want: fpstore.PollIntervals{WatchWait: 500 * time.Millisecond, BatchDelay: soloBatchDelayLargeFleet, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}},
		"first reader in a zone of three": {hosts: 80, zone: []string{"a", "b", "c"}, want: fpstore.PollIntervals{WatchWait: sharedWatchWait, BatchDelay: sharedBatchDelay, PeerInterval: peerReadInterval, MaxBackoff: maxReaderBackoff}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Settings{Host: "a"}.WithDefaults()
			s.Freshness.Revoke = tt.revoke
			// Find a zone name for which host a is the first reader.
			for s.Place.Zone = "z"; len(tt.zone) > 1 && len(zoneReaders("a", s.Place.Zone, tt.zone)) > 0; {
				s.Place.Zone += "z"
			}
			g := New(s, Dependencies{Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})})
			g.snapshot.Store(&snapshot{hostCount: tt.hosts, zoneHosts: tt.zone})
			is.Equal(g.storePollIntervals(), tt.want)
		})
	}
}

// TestZoneReaders checks that all hosts of a zone agree on which of them read the store.
func TestZoneReaders(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	first := zoneReaders("z", "zone", names)
	is.Equal(len(first), readersPerZone)
	is.Equal(len(zoneReaders(first[0], "zone", names)), 0)
	is.Equal(zoneReaders(first[1], "zone", names), first[:1])
	// A host without an entry in the store counts itself.
	is.Equal(len(zoneReaders(first[0], "zone", []string{first[1]})), 0)
}

// TestLimitSharesOfHosts checks that the shares of all hosts add up to a replica's limit, in fleets of
// any size, and that a host that is not listed yet takes no more than one of those.
func TestLimitSharesOfHosts(t *testing.T) {
	for _, hosts := range []int{1, 6, 9, 880} {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			is := is.New(t)
			s := &snapshot{}
			for i := range hosts {
				s.hostNames = append(s.hostNames, "host-"+strconv.Itoa(i))
			}
			sum, largest := 0.0, 0.0
			for _, name := range s.hostNames {
				share := s.limitShare(name, "replica", 3.7)
				sum, largest = sum+share, max(largest, share)
			}
			is.True(math.Abs(sum-3.7) < 1e-9)
			is.True(s.limitShare("new", "replica", 3.7) <= largest)
		})
	}
}

// TestRestoredStoreBehindProvesNothing guards against a freshness proof from a restored store that does
// not show the configuration in force yet: it may also lack a later one, by which a key was revoked.
func TestRestoredStoreBehindProvesNothing(t *testing.T) {
	document := func(version uint64) fpstore.Item { return fpstore.Item{Key: strconv.FormatUint(version, 10)} }
	list := func(incarnation int64, items ...fpstore.Item) fpstore.Update {
		return fpstore.Update{Complete: true, Items: items, Position: fpstore.Position{Incarnation: incarnation, Revision: 5}}
	}
	tests := map[string]struct {
		updates []fpstore.Update
		// want is the number of the update that the proof comes from.
		want int
	}{
		"an older version":           {updates: []fpstore.Update{list(1, document(4)), list(2, document(3)), {}}, want: 0},
		"no version":                 {updates: []fpstore.Update{list(1, document(4)), list(2), {}}, want: 0},
		"no version, listed twice":   {updates: []fpstore.Update{list(1, document(4)), list(2), list(2)}, want: 0},
		"the version in force":       {updates: []fpstore.Update{list(1, document(4)), list(2, document(4)), {}}, want: 2},
		"written again":              {updates: []fpstore.Update{list(1, document(4)), list(2, document(3)), {Items: []fpstore.Item{document(4)}}}, want: 2},
		"a later one":                {updates: []fpstore.Update{list(1, document(4)), list(2, document(3)), {Items: []fpstore.Item{document(7)}}}, want: 2},
		"a compacted history":        {updates: []fpstore.Update{list(1, document(4)), list(1, document(4)), {}}, want: 2},
		"no configuration in force":  {updates: []fpstore.Update{list(1), list(2), {}}, want: 2},
		"restored before it started": {updates: []fpstore.Update{list(2, document(3)), {}, {}}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newControlState(New(Settings{}.WithDefaults(), Dependencies{
				Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{}), Dialect: versionDialect{},
			}))
			for i, u := range tt.updates {
				u.SentAt = time.Duration(i) * time.Second
				c.applyUpdate(u, u.SentAt)
			}
			age, known := c.buildSnapshot(time.Minute, false).proof.Age(time.Minute)
			is.True(known)
			is.Equal(age, time.Minute-time.Duration(tt.want)*time.Second)
		})
	}
}

// versionDialect takes each item for a configuration whose version is the key.
type versionDialect struct{ Dialect }

func (versionDialect) DecodeItem(i fpstore.Item) (DecodedItem, error) {
	version, err := strconv.ParseUint(i.Key, 10, 64)
	return DecodedItem{Catalog: fpcatalog.New(fpcatalog.Document{Version: version})}, err
}

// TestRestoredStoreLacksHosts checks that hosts which a restored store does not list still count until
// they had the time to register again, and not after a history that was only compacted.
func TestRestoredStoreLacksHosts(t *testing.T) {
	item := func(name string) fpstore.Item {
		return fpstore.Item{Key: hostKeyPrefix + name, Value: []byte("127.0.0.1:1 r z"), Revision: 5}
	}
	list := func(incarnation int64, names ...string) fpstore.Update {
		u := fpstore.Update{Complete: true, Position: fpstore.Position{Incarnation: incarnation, Revision: 9}}
		for _, n := range names {
			u.Items = append(u.Items, item(n))
		}
		return u
	}
	deleted := func(name string) fpstore.Update {
		return fpstore.Update{Items: []fpstore.Item{{Key: hostKeyPrefix + name, Deleted: true}}}
	}
	tests := map[string]struct {
		updates []fpstore.Update
		wait    time.Duration
		want    int
	}{
		"restored without one host":     {updates: []fpstore.Update{list(1, "a", "b"), list(2, "a")}, wait: hostLeaseTTL - 1, want: 2},
		"restored, not back in time":    {updates: []fpstore.Update{list(1, "a", "b"), list(2, "a")}, wait: hostLeaseTTL, want: 1},
		"restored, back in time":        {updates: []fpstore.Update{list(1, "a", "b"), list(2, "a"), {Items: []fpstore.Item{item("b")}}}, wait: hostLeaseTTL, want: 2},
		"restored, then deleted":        {updates: []fpstore.Update{list(1, "a", "b"), list(2, "a"), deleted("b")}, want: 1},
		"a compacted history":           {updates: []fpstore.Update{list(1, "a", "b"), list(1, "a")}, want: 1},
		"a compacted one after restore": {updates: []fpstore.Update{list(1, "a", "b"), list(2, "a"), list(2, "a")}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newControlState(New(Settings{}.WithDefaults(), Dependencies{Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})}))
			for _, u := range tt.updates {
				c.applyUpdate(u, time.Minute)
			}
			is.New(t).Equal(c.buildSnapshot(time.Minute+tt.wait, false).hostCount, tt.want)
		})
	}
}
