package fpgateway

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

// TestArchivedOriginIsLostOrWrong has origins written to a store that fails at times and is restored, by a host that
// restarts at times. A host that starts must find each that was written before the last restore for as long as its stream
// may be taken up, never a wrong one, and the store must not keep them for long after.
func TestArchivedOriginIsLostOrWrong(t *testing.T) {
	const retention = 2 * minBuildRetention
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				memory := fpmemory.New()
				store := fpmemory.Direct{Store: memory, BeforeCall: func(context.Context, bool) (bool, error) {
					if random.IntN(4) == 0 {
						return random.IntN(2) == 0, errors.New("no answer")
					}
					return true, nil
				}}
				start := time.Now()
				clock := func() time.Duration { return time.Since(start) }
				newHost := func() (*Gateway, *originArchiver) {
					g := New(Settings{Host: "h1"}.WithDefaults(), Dependencies{Store: store, Clock: clock, Log: fplog.NewQueue(&bytes.Buffer{})})
					return g, &originArchiver{gateway: g, name: originKeyPrefix + fmt.Sprint("h1/", random.Uint64())}
				}
				g, a := newHost()
				type stream struct {
					build string
					at    time.Duration
				}
				streams := make(map[string]stream)
				unwritten := make(map[string]bool)
				next, calls := 0, 0
				for clock() < 5*time.Minute {
					time.Sleep(archiveInterval)
					for range random.IntN(4) {
						id := fmt.Sprint("stream", next)
						next++
						streams[id] = stream{fmt.Sprint("v", random.IntN(3)), clock()}
						unwritten[id] = true
						g.mu.Lock()
						g.enqueueUnarchived(fporigin.Entry{Origin: fporigin.Origin{Service: "s", Build: streams[id].build}, ID: id})
						g.mu.Unlock()
					}
					s := &snapshot{catalog: fpcatalog.New(fpcatalog.Document{}), incarnation: memory.Incarnation()}
					calls++
					if err := a.write(t.Context(), s, g.takeUnarchived); err == nil {
						clear(unwritten)
					}
					switch random.IntN(300) {
					case 0:
						memory.Restore(fpmemory.New(), time.Now())
						clear(streams)
					case 1:
						for id := range unwritten {
							delete(streams, id)
						}
						clear(unwritten)
						g, a = newHost()
					case 2:
						started, _ := newHost()
						page := memory.Range(originKeyPrefix, "", time.Now())
						for page.More {
							more := memory.Range(originKeyPrefix, page.Items[len(page.Items)-1].Key, time.Now())
							page.Items, page.More = append(page.Items, more.Items...), more.More
						}
						for _, i := range page.Items {
							started.applySegment(i, clock())
						}
						for id, v := range streams {
							o, _, found := started.archive.Find("s", id, clock())
							if found && o.Build != v.build {
								t.Errorf("%s: %s instead of %s", id, o.Build, v.build)
							}
							age := clock() - v.at
							if !found && !unwritten[id] && age < retention || found && age > 2*retention {
								t.Errorf("%s: after %v found %v", id, age, found)
							}
						}
					}
				}
				if calls < 900 {
					t.Errorf("%d calls", calls)
				}
			})
		})
	}
}

// TestArchiveIsShared checks how many hosts write, how often, and that each keeps to its share of the store, with the latest
// origins in it.
func TestArchiveIsShared(t *testing.T) {
	is := is.New(t)
	memory := fpmemory.New()
	g := New(Settings{Host: "h1"}.WithDefaults(), Dependencies{Store: fpmemory.Direct{Store: memory}, Clock: func() time.Duration { return time.Second }, Log: fplog.NewQueue(&bytes.Buffer{})})
	const zones = 32
	s := &snapshot{catalog: fpcatalog.New(fpcatalog.Document{}), hostCount: 880, zoneCount: zones, zoneHosts: make([]string, 27)}
	is.Equal(g.archiveWriters(s), zones)
	is.Equal(archiveIntervalOf(zones), zones*archiveIntervalPerWriter)
	is.Equal(archiveIntervalOf(3), archiveInterval)
	a := &originArchiver{gateway: g, name: originKeyPrefix + "h1/a"}
	const share, parts, size = maxArchivedOrigins / zones, 12, maxArchivedOrigins / zones / 5
	for part := range parts {
		g.mu.Lock()
		for n := range size {
			g.enqueueUnarchived(fporigin.Entry{Origin: fporigin.Origin{Service: "s", Build: "v1"}, ID: fmt.Sprint(part, "-", n)})
		}
		g.mu.Unlock()
		is.NoErr(a.write(t.Context(), s, g.takeUnarchived))
	}
	is.Equal(len(g.unarchived), 0)
	stored := fporigin.Archive{Retention: time.Hour, MaxOrigins: maxArchivedOrigins}
	for _, i := range memory.Range(originKeyPrefix, "", time.Time{}).Items {
		segment, err := fporigin.UnmarshalSegment(i.Value)
		is.NoErr(err)
		stored.Add(segment, 0)
	}
	is.Equal(stored.Len(), share/size*size)
	for part := range parts {
		_, _, found := stored.Find("s", fmt.Sprint(part, "-0"), 0)
		is.Equal(found, part >= parts-share/size) // the latest
	}
}

// TestForeignSegment checks that entries of another writer under the keys of segments make no origin and end nothing.
func TestForeignSegment(t *testing.T) {
	is := is.New(t)
	g := New(Settings{Host: "h1"}.WithDefaults(), Dependencies{Clock: func() time.Duration { return 0 }, Log: fplog.NewQueue(&bytes.Buffer{})})
	for _, value := range []string{"", "{}", "null", `[{"Service":3}]`, `[{"Service":"s","Build":"v1","Digests":"AAAA"}]`} {
		g.applySegment(fpstore.Item{Key: originKeyPrefix + "x", Value: []byte(value)}, 0)
	}
	g.applySegment(fpstore.Item{Key: originKeyPrefix + "x", Deleted: true}, 0)
	is.Equal(g.archive.Len(), 0)
}

// TestZoneArchivesOnce checks which origins of other hosts a host has written: those of its zone's streams.
func TestZoneArchivesOnce(t *testing.T) {
	tests := map[string]struct {
		notice fpnotice.StreamOrigins
		host   string
		want   int
	}{
		"of the zone":             {notice: fpnotice.StreamOrigins{Service: "s", Build: "v1", IDs: []string{"a", "b"}}, host: "h2", want: 2},
		"of another zone":         {notice: fpnotice.StreamOrigins{Service: "s", Build: "v1", IDs: []string{"a"}}, host: "far"},
		"relayed from there":      {notice: fpnotice.StreamOrigins{Service: "s", Build: "v1", IDs: []string{"a"}, Relayed: true}, host: "h2"},
		"unknown version":         {notice: fpnotice.StreamOrigins{Service: "s", Build: unknownBuild, IDs: []string{"a"}}, host: "h2"},
		"inferred from a replica": {notice: fpnotice.StreamOrigins{Service: "s", Build: unknownBuild, IDs: []string{"a"}, Inferred: &fpnotice.InferredBuild{Build: "v1", Replica: "r"}}, host: "h2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := New(Settings{Host: "h1"}.WithDefaults(), Dependencies{Clock: func() time.Duration { return time.Second }, Log: fplog.NewQueue(&bytes.Buffer{})})
			g.snapshot.Store(&snapshot{zoneHosts: []string{"h1", "h2"}})
			g.handleOriginsNotice(&tt.notice, tt.host)
			is.Equal(len(g.unarchived), tt.want)
		})
	}
}

// TestOverdueOrigins checks what a host writes whose zone's origins another one should write: those of its own streams
// that the store has not told in time. It guards against a reader of the store of an earlier build.
func TestOverdueOrigins(t *testing.T) {
	is := is.New(t)
	now := time.Second
	g := New(Settings{Host: "h1"}.WithDefaults(), Dependencies{Clock: func() time.Duration { return now }, Log: fplog.NewQueue(&bytes.Buffer{})})
	entry := func(id, host string) fporigin.Entry {
		return fporigin.Entry{Origin: fporigin.Origin{Service: "s", Build: "v1"}, ID: id, Host: host}
	}
	g.enqueueUnarchived(entry("own", "h1"), entry("told", "h1"), entry("other's", "h2"))
	is.Equal(len(g.takeOverdue()), 0)
	g.archive.Add(fporigin.NewSegment([]fporigin.Entry{entry("told", "h1")}), now)
	now += archiveHandover
	g.enqueueUnarchived(entry("later", "h1"))
	is.Equal(g.takeOverdue(), []fporigin.Entry{entry("own", "h1")})
	is.Equal(g.takeOverdue(), nil)
	is.Equal(len(g.unarchived), 1)
}
