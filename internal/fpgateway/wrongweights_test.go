package fpgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestReplicaLeftOnReplacedWeights lets a replica carry out the order of a host that has died, for a version that was
// replaced meanwhile, and reject requests for the version before. The next host with the order lease must order the
// newest version to it, whatever it was taken to have.
func TestReplicaLeftOnReplacedWeights(t *testing.T) {
	tests := map[string]struct {
		namesWeights bool
		// registers says that the replica's entry shows the weights too.
		registers bool
	}{
		"the rejection names the weights": {namesWeights: true},
		"the rejection names none":        {},
		"the entry shows them":            {registers: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			stuck := tc.engines[0]
			for _, e := range tc.engines {
				e.NamesWeights = tt.namesWeights
			}
			tc.store.Put("op/config", configDocument(1))
			tc.store.Put("fescuepoint/orders", "another host")
			tc.startHost()
			tc.waitFor(tc.isReady, "ready")
			tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 3})
			tc.waitFor(func() bool { return strings.Contains(tc.logs.String(), "weights published") }, "weights known")
			stuck.SetWeights(2)
			rejected := func() bool { return strings.Contains(tc.logs.String(), stuck.ID+" 421 not run") }
			for n := 0; n < 24 && !rejected(); n++ {
				r := tc.sendRequest("hint", func(q *http.Request) { q.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:1200,b%d:300", n, n)) })
				is.Equal(r.status, http.StatusOK)
			}
			tc.waitFor(rejected, "a rejection by the replica that was left")
			if tt.registers {
				tc.store.Put("servers/"+stuck.ID, stuck.Registration("ready"))
			}
			tc.store.Delete("fescuepoint/orders")
			tc.waitFor(func() bool { return tc.engines[1].WeightsVersion() == 3 }, "the newest weights at the other replica")
			tc.waitFor(func() bool { return stuck.WeightsVersion() == 3 }, "the newest weights at the replica that was left")
			tc.waitFor(func() bool { return tc.servedBy(stuck) }, "served at it")
		})
	}
}

// servedBy sends requests and reports whether the replica has run one of them.
func (tc *testCluster) servedBy(r *fpfake.Replica) bool {
	before := len(r.ExecutedRequests())
	for n := range 4 {
		tc.sendRequest("hint", func(q *http.Request) {
			q.Header.Set("Prompt-Prefix", fmt.Sprintf("c%d%d:1200,d%d:300", tc.requestCount, n, n))
		})
	}
	return len(r.ExecutedRequests()) > before
}
