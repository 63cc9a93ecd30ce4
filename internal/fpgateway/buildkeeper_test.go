package fpgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

// TestStoredBuildEndsEarly keeps software versions in a store that fails at times and is restored, through
// holders of the order lease that follow each other, while versions come and go. Each must stay in the store
// for the retention after its last replica has left, and then end.
func TestStoredBuildEndsEarly(t *testing.T) {
	const (
		holder    = "h1"
		settled   = 15 * time.Second // a version registered for so long is in the store
		retention = minBuildRetention
	)
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
				g := New(Settings{Host: holder}.WithDefaults(), Dependencies{Store: store, Clock: clock, Log: fplog.NewQueue(&bytes.Buffer{})})
				k := &buildKeeper{gateway: g}
				since, leftAt := make(map[fporigin.Origin]time.Duration), make(map[fporigin.Origin]time.Duration)
				ttl := g.buildLeaseTTL(&snapshot{})
				for clock() < 10*time.Minute {
					time.Sleep(storeBuildsInterval)
					o := fporigin.Origin{Service: "s", Build: fmt.Sprint("v", random.IntN(4))}
					if _, registered := since[o]; random.IntN(80) == 0 {
						if registered {
							if clock()-since[o] > settled {
								leftAt[o] = clock()
							}
							delete(since, o)
						} else {
							since[o] = clock()
							delete(leftAt, o)
						}
					}
					if random.IntN(200) == 0 {
						k = &buildKeeper{gateway: g} // another host holds the order lease
					}
					if random.IntN(1000) == 0 {
						// What the store lost the hosts remember themselves.
						memory.Restore(fpmemory.New(), time.Now())
						for o := range since {
							since[o] = clock()
						}
						clear(leftAt)
					}
					s := &snapshot{catalog: fpcatalog.New(fpcatalog.Document{}), orderLeaseHolder: holder, registeredBuilds: make(map[fporigin.Origin]bool)}
					s.incarnation = memory.Incarnation()
					for o := range since {
						s.registeredBuilds[o] = true
					}
					s.storedBuilds = storedBuilds(t, memory)
					if err := k.keep(t.Context(), s); err != nil {
						time.Sleep(hostLeaseRetryPause)
					}
					stored := storedBuilds(t, memory)
					for o, at := range since {
						if _, ok := stored[buildKey(o)]; !ok && clock()-at > settled {
							t.Fatalf("at %s: %v is registered since %s, but not stored", clock(), o, at)
						}
					}
					for o, at := range leftAt {
						_, ok := stored[buildKey(o)]
						if !ok && clock()-at < retention {
							t.Fatalf("at %s: %v left at %s, but is not stored", clock(), o, at)
						}
						if ok && clock()-at > ttl+settled {
							t.Fatalf("at %s: %v left at %s, but is still stored", clock(), o, at)
						}
					}
				}
			})
		})
	}
}

func storedBuilds(t *testing.T, m *fpmemory.Store) map[string]fporigin.Origin {
	t.Helper()
	out := make(map[string]fporigin.Origin)
	for _, i := range m.Range(buildKeyPrefix, "", time.Now()).Items {
		var o fporigin.Origin
		if err := json.Unmarshal(i.Value, &o); err != nil {
			t.Fatal(err)
		}
		out[i.Key] = o
	}
	return out
}

func TestBuildKey(t *testing.T) {
	is := is.New(t)
	is.Equal(buildKey(fporigin.Origin{Service: "s", Build: "v1"}), "fescuepoint/builds/s/v1")
	is.Equal(buildKey(fporigin.Origin{Service: "a/b", Build: ""}), "fescuepoint/builds/a%2Fb/")
	long := buildKey(fporigin.Origin{Service: "s", Build: strings.Repeat("ü", 100)})
	is.True(len(long) <= maxKeyBytes)
	is.True(long != buildKey(fporigin.Origin{Service: "s", Build: strings.Repeat("ü", 101)}))
}

// TestBuildsInService checks which software versions count as in service.
func TestBuildsInService(t *testing.T) {
	const retention = minBuildRetention
	v1 := fporigin.Origin{Service: "s", Build: "v1"}
	registered := []fpfleet.Replica{{ID: "r1", Service: "s", Build: "v1", Draining: true}}
	entry := fpstore.Item{Key: buildKey(v1), Value: []byte(`{"Service":"s","Build":"v1"}`)}
	tests := map[string]struct {
		steps func(*controlState)
		at    time.Duration
		want  int
	}{
		"draining":      {func(c *controlState) { c.builds.update(registered, retention, time.Second) }, time.Second, 1},
		"left of late":  {func(c *controlState) { c.builds.update(registered, retention, 0) }, retention - 1, 1},
		"left long ago": {func(c *controlState) { c.builds.update(registered, retention, 0) }, retention, 0},
		"stored":        {func(c *controlState) { c.applyBuildEntry(entry) }, time.Hour, 1},
		"deleted": {func(c *controlState) {
			c.applyBuildEntry(entry)
			c.applyBuildEntry(fpstore.Item{Key: entry.Key, Deleted: true})
		}, 0, 0},
		"not listed":         {func(c *controlState) { c.applyBuildEntry(entry); c.clearBuilds(false, 0) }, 0, 0},
		"lost in a restore":  {func(c *controlState) { c.applyBuildEntry(entry); c.clearBuilds(true, 0) }, retention - 1, 1},
		"lost, long ago":     {func(c *controlState) { c.applyBuildEntry(entry); c.clearBuilds(true, 0) }, retention, 0},
		"another's entry":    {func(c *controlState) { c.applyBuildEntry(fpstore.Item{Key: entry.Key, Value: []byte("x")}) }, 0, 0},
		"nothing registered": {func(*controlState) {}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := func() time.Duration { return 0 }
			c := newControlState(New(Settings{}.WithDefaults(), Dependencies{Clock: clock, Log: fplog.NewQueue(&bytes.Buffer{})}))
			tt.steps(c)
			c.builds.update(nil, retention, tt.at)
			is.New(t).Equal(len(c.builds.buildsByService()["s"]), tt.want)
		})
	}
}
