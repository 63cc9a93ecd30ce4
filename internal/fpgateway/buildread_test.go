package fpgateway

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
)

// entryDialect decodes replica/ID items, whose value is the service, the software version and that of the weights.
type entryDialect struct{ Dialect }

func (entryDialect) DecodeItem(i fpstore.Item) (DecodedItem, error) {
	id, ok := strings.CutPrefix(i.Key, "replica/")
	switch {
	case !ok:
		return DecodedItem{}, nil
	case i.Deleted:
		return DecodedItem{RemovedReplica: id}, nil
	}
	f := append(strings.Split(string(i.Value), "/"), "0")
	weights, err := strconv.ParseInt(f[2], 10, 64)
	return DecodedItem{Replica: &fpfleet.Replica{ID: id, Service: f[0], Build: f[1], Weights: map[string]int64{"m": weights}}}, err
}

// TestBuildsRead changes the store after a host's last update. What the host reads must show every software version
// that may have begun a stream since, or fail.
func TestBuildsRead(t *testing.T) {
	const now = time.Minute
	put := func(key, value string) fpstore.Transaction {
		return fpstore.Transaction{Puts: []fpstore.Put{{Key: key, Value: []byte(value)}}}
	}
	remove := func(key string) fpstore.Transaction { return fpstore.Transaction{Deletes: []string{key}} }
	tests := map[string]struct {
		changes   []fpstore.Transaction
		restoredS int
		restore   bool
		away      bool
		want      []string
		err       error
	}{
		"no change":                       {want: []string{"v1"}},
		"another replica":                 {changes: []fpstore.Transaction{put("replica/b", "s/v1")}, want: []string{"v1"}},
		"another service":                 {changes: []fpstore.Transaction{put("replica/b", "other/v2")}, want: []string{"v1"}},
		"a second version":                {changes: []fpstore.Transaction{put("replica/b", "s/v2")}, want: []string{"v1", "v2"}},
		"a second version, gone again":    {changes: []fpstore.Transaction{put("replica/b", "s/v2"), remove("replica/b")}, want: []string{"v1", "v2"}},
		"a known replica left":            {changes: []fpstore.Transaction{remove("replica/a")}, want: []string{"v1"}},
		"a known replica restarted as v2": {changes: []fpstore.Transaction{put("replica/a", "s/v2")}, want: []string{"v1", "v2"}},
		"an entry of a second version":    {changes: []fpstore.Transaction{put(buildKeyPrefix+"s/v2", `{"Service":"s","Build":"v2"}`)}, want: []string{"v1", "v2"}},
		"restored of late":                {restoredS: 58, err: errRegistrationsDue},
		"restored some time ago":          {restoredS: 50, want: []string{"v1"}},
		"restored and not listed yet":     {restore: true, err: fpstore.ErrRestored},
		"the store is away":               {away: true, err: errStoreUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := fpmemory.New()
			p, err := memory.Commit(put("replica/a", "s/v1"), time.Now())
			is.NoErr(err)
			g := New(Settings{Host: "h"}.WithDefaults(), Dependencies{
				Store: fpmemory.Direct{Store: memory}, Dialect: entryDialect{}, Clock: func() time.Duration { return now }, Log: fplog.NewQueue(&bytes.Buffer{}),
			})
			g.snapshot.Store(&snapshot{
				proof: fpfresh.Proof{}.WithAnswer(now - time.Second), position: p, storeUnreachable: tt.away,
				restoredAt: time.Duration(tt.restoredS) * time.Second,
				builds:     map[string][]string{"s": {"v1"}}, registered: []fpfleet.Replica{{ID: "a", Service: "s", Build: "v1"}},
			})
			for _, c := range tt.changes {
				_, err := memory.Commit(c, time.Now())
				is.NoErr(err)
			}
			if tt.restore {
				memory.Restore(memory.Snapshot(), time.Now())
			}
			got, err := g.readBuilds()
			is.True(errors.Is(err, tt.err))
			is.Equal(got["s"], tt.want)
		})
	}
}

// TestBuildsReadUnknownReplica checks that a replica of which only the end is known makes the versions unknown.
func TestBuildsReadUnknownReplica(t *testing.T) {
	_, err := (&snapshot{}).buildsAfter([]fpstore.Item{{Key: "replica/b", Deleted: true}}, entryDialect{})
	is.New(t).True(errors.Is(err, errUnknownReplica))
}
