package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestRestoredRegistrationIsOld restores the store from a copy with an earlier registration of a replica. It must not
// take the place of what the replica stated since, unless the replica leaves it so.
func TestRestoredRegistrationIsOld(t *testing.T) {
	is := is.New(t)
	c := newControlState(New(Settings{}.WithDefaults(), Dependencies{Dialect: entryDialect{}, Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})}))
	apply := func(at time.Duration, incarnation int64, weights string) {
		u := fpstore.Update{Complete: weights != "", SentAt: at, Position: fpstore.Position{Incarnation: incarnation}}
		if u.Complete {
			u.Items = []fpstore.Item{{Key: "replica/a", Value: []byte("s/v1/" + weights)}}
		}
		c.applyUpdate(u, at)
	}
	version := func(at time.Duration) int64 { return c.buildSnapshot(at, false).replicasByService["s"][0].Version }
	apply(time.Second, 0, "3")
	is.Equal(version(time.Second), int64(3))
	apply(20*time.Second, 1, "2")
	is.Equal(version(20*time.Second), int64(3))
	apply(25*time.Second, 1, "")
	is.Equal(version(25*time.Second), int64(3))
	apply(30*time.Second, 1, "")
	is.Equal(version(30*time.Second), int64(2))
}
