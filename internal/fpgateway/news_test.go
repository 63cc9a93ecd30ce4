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
