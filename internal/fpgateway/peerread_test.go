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

// TestSharedStoreReads has one of two hosts read the store's changes through the other. Cut off
// from the store it must go on serving and learn that a key was revoked; cut off from the other
// host it must read the store itself within the bound.
func TestSharedStoreReads(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	other, proxies := tc.addHost(func(s *fpgateway.Settings) { s.Freshness.Revoke, s.Freshness.Apply = bound, bound })
	readsThroughPeer := func(o *testCluster) bool { return strings.Contains(o.logs.String(), "store read through a host") }
	tc.waitFor(func() bool { return readsThroughPeer(tc) || readsThroughPeer(other) }, "one reads through the other")
	follower, reader := tc, other
	if readsThroughPeer(other) {
		follower, reader = other, tc
	}

	proxies[follower].SetMode(fpsoak.Blackhole)
	fpclock.Sleep(context.Background(), bound)
	is.True(follower.isReady())
	is.Equal(follower.sendRequest("call", nil).status, http.StatusOK)
	d := configDocument(2)
	d["tenants"] = []any{map[string]any{"name": "team", "api_keys": []string{"new"}}}
	revoked := fpclock.SinceBoot()
	tc.store.Put("op/config", d)
	tc.waitFor(func() bool { return follower.sendRequest("call", nil).status == http.StatusUnauthorized }, "the key is refused")
	is.True(fpclock.SinceBoot()-revoked < bound)

	proxies[follower].SetMode(fpsoak.Forward)
	proxies[reader].SetMode(fpsoak.Blackhole)
	cutOff := fpclock.SinceBoot()
	tc.store.Put("op/config", configDocument(3))
	tc.waitFor(func() bool { return follower.sendRequest("call", nil).status == http.StatusOK }, "the key is accepted again")
	is.True(fpclock.SinceBoot()-cutOff < bound)
}

// TestShortBoundsDisableSharedReads checks that a host doesn't read through another when the
// freshness bounds leave no time for it.
func TestShortBoundsDisableSharedReads(t *testing.T) {
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	other, _ := tc.addHost(func(s *fpgateway.Settings) { s.Freshness.Revoke = 2 * time.Second })
	fpclock.Sleep(context.Background(), time.Second)
	for _, o := range []*testCluster{tc, other} {
		if strings.Contains(o.logs.String(), "store read through a host") {
			t.Error("a host read the store through another")
		}
	}
}

// TestAnnouncesReplacedReplica has another replica answer at a replica's address: the host that
// finds out must notify the other host, whose requests then avoid the replaced replica.
func TestAnnouncesReplacedReplica(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	answering := tc.serviceReplicas[0]
	tc.store.Put("servers/s0", map[string]any{
		"service": "app", "address": answering.Address(), "zone": "z1", "version": "1", "slot_count": 4,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
	})
	for _, o := range []*testCluster{tc, other} {
		tc.waitFor(func() bool { return strings.Contains(o.logs.String(), `"Replica":"s0"`) }, "s0 registered")
	}
	fpclock.Sleep(context.Background(), time.Second)
	tc.waitFor(func() bool {
		is.Equal(tc.sendRequest("call", nil).status, http.StatusOK)
		return strings.Contains(tc.logs.String(), "address serves another replica")
	}, "one host finds the other replica")
	fpclock.Sleep(context.Background(), 100*time.Millisecond)
	for range 12 {
		is.Equal(other.sendRequest("call", nil).status, http.StatusOK)
	}
	is.True(!strings.Contains(other.logs.String(), "421 not run"))
}
