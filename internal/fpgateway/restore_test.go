package fpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// restoreStore takes the store away, restores it from a copy, applies changes and brings it back.
func (tc *testCluster) restoreStore(c *fpmemory.Store, change func()) {
	tc.store.SetFault(fpfake.StoreFault{Status: http.StatusServiceUnavailable})
	fpclock.Sleep(context.Background(), 200*time.Millisecond) // watches of before the fault end
	tc.store.Restore(c, nil)
	change()
	tc.store.SetFault(fpfake.StoreFault{})
}

// addRoute returns a configuration with one route more.
func addRoute(version int, name string) map[string]any {
	d := configDocument(version)
	added := make(map[string]any)
	for k, v := range d["routes"].([]any)[3].(map[string]any) {
		added[k] = v
	}
	added["name"], added["prefix"] = name, "/"+name+"/"
	d["routes"] = append(d["routes"].([]any), added)
	return d
}

// TestRestoredStoreHidesNewRoute restores the store from a copy and adds a route under a revision that the
// hosts saw before. All hosts must serve the route in time, whether they read the store themselves or
// through another host, and whether the revision is assigned again before or after they ask.
func TestRestoredStoreHidesNewRoute(t *testing.T) {
	const bound = 3 * time.Second
	tests := map[string]struct{ later bool }{
		"revision assigned again before the hosts ask": {},
		"revision assigned again after the hosts ask":  {later: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			hosts := []*testCluster{tc, other}
			tc.waitFor(func() bool {
				return strings.Contains(tc.logs.String()+other.logs.String(), "store read through a host")
			}, "one reads through the other")
			c := tc.store.Copy()
			for v := 2; v <= 6; v++ {
				tc.store.Put("op/config", configDocument(v))
			}
			for _, o := range hosts {
				tc.waitFor(func() bool { return strings.Contains(o.linesWith("configuration in force"), `"ConfigVersion":6`) }, "version 6")
			}
			addedAt := fpclock.SinceBoot()
			tc.restoreStore(c, func() {
				tc.store.Put("op/config", configDocument(6))
				if tt.later {
					return
				}
				tc.store.Put("op/config", addRoute(7, "added"))
				for i := range 5 {
					tc.store.Put(fmt.Sprint("op/other/", i), "other")
				}
			})
			if tt.later {
				fpclock.Sleep(context.Background(), bound) // until all hosts have asked the store or each other
				addedAt = fpclock.SinceBoot()
				tc.store.Put("op/config", addRoute(7, "added"))
			}
			for _, o := range hosts {
				tc.waitFor(func() bool { return o.sendRequest("added", nil).status == http.StatusOK }, "the route is served")
				is.True(fpclock.SinceBoot()-addedAt < bound)
			}
		})
	}
}

// TestRestoredStoreReissuesFencingToken restores the store from a copy that lacks the order lease. The next
// holder's fencing tokens must be higher than those of before, and it must not order before the former
// holder's lease has ended at every host.
func TestRestoredStoreReissuesFencingToken(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	c := tc.store.Copy()
	for i := range 100 {
		tc.store.Put(fmt.Sprint("op/other/", i), "other")
	}
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	orders := func(version int64) []fpfake.AcceptedOrder {
		var out []fpfake.AcceptedOrder
		for _, e := range tc.engines {
			for _, o := range e.AcceptedOrders() {
				if o.Version == version {
					out = append(out, o)
				}
			}
		}
		return out
	}
	loaded := func(version int64) func() bool {
		return func() bool { return len(orders(version)) == len(tc.engines) }
	}
	tc.waitFor(func() bool { return strings.Contains(tc.logs.String()+other.logs.String(), "order lease acquired") }, "the order lease")
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	tc.waitFor(loaded(2), "version 2 loaded")
	var restored time.Time
	tc.restoreStore(c, func() {
		restored = time.Now()
		tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 3})
	})
	tc.waitFor(func() bool { return len(orders(3)) > 0 }, "an order for version 3")
	is.True(time.Since(restored) >= tc.hostSettings.OrderLeaseTTL)
	tc.waitFor(loaded(3), "version 3 loaded")
	for _, former := range orders(2) {
		for _, o := range orders(3) {
			is.True(o.FencingToken > former.FencingToken)
		}
	}
}

// TestRestoredStoreReissuesLease restores the store from a copy that lacks the hosts' leases, whose numbers
// are then assigned again. Each host must register anew.
func TestRestoredStoreReissuesLease(t *testing.T) {
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	c := tc.store.Copy()
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	registered := func() bool {
		_, ok := tc.store.GetString("fescuepoint/hosts/h1")
		_, otherOK := tc.store.GetString("fescuepoint/hosts/h2")
		return ok && otherOK
	}
	tc.waitFor(registered, "both hosts registered")
	tc.restoreStore(c, func() {
		for range 8 {
			tc.store.GrantLease(time.Minute) // somebody else's
		}
	})
	tc.waitFor(registered, "both hosts registered anew")
	for _, o := range []*testCluster{tc, other} {
		if o.linesWith("lease not revoked") != "" {
			t.Error("a host revoked a lease that is not its own")
		}
	}
}

// TestRestoredStoreReleasesQuarantine restores the store from a copy without the entry of a part in
// quarantine. The part must stay there, and its entry must be back for hosts that start later.
func TestRestoredStoreReleasesQuarantine(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	c := tc.store.Copy()
	tc.store.Put("fescuepoint/quarantine/dead", "by hand")
	status := func() int { return tc.sendRequest("chat", withPrompt("aa:1200,dead:40,own:20")).status }
	tc.waitFor(func() bool { return status() == http.StatusServiceUnavailable }, "refused")
	tc.restoreStore(c, func() {})
	tc.waitFor(func() bool { return tc.linesWith("store restored from a copy") != "" }, "the restore is known")
	tc.waitFor(func() bool {
		is.Equal(status(), http.StatusServiceUnavailable)
		_, ok := tc.store.GetString("fescuepoint/quarantine/dead")
		return ok
	}, "stored again")
}
