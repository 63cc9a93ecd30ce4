package fpgateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpsoak"
)

// TestNewsOfZone has one of two hosts learn of the store through the other:
// cut off from the store itself it goes on serving and hears of a key that was
// taken away; cut off from the other one it turns to the store in time.
func TestNewsOfZone(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second
	w := prepareWorld(t)
	w.store.Put("op/config", document(1))
	other, proxies := w.beside(func(s *fpgateway.Settings) { s.Fresh.Revoke, s.Fresh.Apply = bound, bound })
	reads := func(o *world) bool { return strings.Contains(o.logs.String(), "store read through a host") }
	w.await(func() bool { return reads(w) || reads(other) }, "one reads through the other")
	asker, asked := w, other
	if reads(other) {
		asker, asked = other, w
	}

	proxies[asker].Set(fpsoak.Silent)
	fpclock.Sleep(context.Background(), bound)
	is.True(asker.ready())
	is.Equal(asker.ask("call", nil).status, http.StatusOK)
	d := document(2)
	d["tenants"] = []any{map[string]any{"name": "team", "api_keys": []string{"new"}}}
	taken := fpclock.Boot()
	w.store.Put("op/config", d)
	w.await(func() bool { return asker.ask("call", nil).status == http.StatusUnauthorized }, "the key is refused")
	is.True(fpclock.Boot()-taken < bound)

	proxies[asker].Set(fpsoak.Pass)
	proxies[asked].Set(fpsoak.Silent)
	cut := fpclock.Boot()
	w.store.Put("op/config", document(3))
	w.await(func() bool { return asker.ask("call", nil).status == http.StatusOK }, "the key is taken again")
	is.True(fpclock.Boot()-cut < bound)
}

// TestShortBounds checks that a host asks no other where the users' bounds
// leave no time for it.
func TestShortBounds(t *testing.T) {
	w := prepareWorld(t)
	w.store.Put("op/config", document(1))
	other, _ := w.beside(func(s *fpgateway.Settings) { s.Fresh.Revoke = 2 * time.Second })
	fpclock.Sleep(context.Background(), time.Second)
	for _, o := range []*world{w, other} {
		if strings.Contains(o.logs.String(), "store read through a host") {
			t.Error("a host asked another one")
		}
	}
}

// TestGoneIsTold has two replicas start anew under other IDs: the first host
// that meets one of them tells the other, whose requests then go elsewhere.
func TestGoneIsTold(t *testing.T) {
	is := is.New(t)
	w := prepareWorld(t)
	w.store.Put("op/config", document(1))
	other, _ := w.beside(func(*fpgateway.Settings) {})
	reborn := w.services[0]
	w.store.Put("servers/s0", map[string]any{
		"service": "app", "address": reborn.Address(), "zone": "z1", "version": "1", "slot_count": 4,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
	})
	for _, o := range []*world{w, other} {
		w.await(func() bool { return strings.Contains(o.logs.String(), `"Replica":"s0"`) }, "s0 registered")
	}
	fpclock.Sleep(context.Background(), time.Second)
	w.await(func() bool {
		is.Equal(w.ask("call", nil).status, http.StatusOK)
		return strings.Contains(w.logs.String(), "address has another replica")
	}, "one host meets the other replica")
	fpclock.Sleep(context.Background(), 100*time.Millisecond)
	for range 12 {
		is.Equal(other.ask("call", nil).status, http.StatusOK)
	}
	is.True(!strings.Contains(other.logs.String(), "421 not run"))
}
