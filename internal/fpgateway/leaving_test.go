package fpgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	// leavingRequests is the number of requests in a row of which a leaving replica may get one.
	leavingRequests = 16
	// atOnce bounds the time in which a request that can't be served is rejected.
	atOnce = 200 * time.Millisecond
)

// replicasOf returns the replicas that serve a route.
func (tc *testCluster) replicasOf(route string) []*fpfake.Replica {
	if route == "chat" || route == "hint" {
		return tc.engines
	}
	return tc.serviceReplicas
}

// sendMany sends requests with different prompts one after the other and returns how many were answered
// with each status.
func (tc *testCluster) sendMany(route string, n int) map[int]int {
	tc.t.Helper()
	statuses := make(map[int]int)
	for range n {
		prompt := fmt.Sprintf("p%d:1200,own%d:20", tc.requestCount, tc.requestCount)
		r := tc.sendRequest(route, withPrompt(prompt))
		requireNoError(tc.t, r)
		statuses[r.status]++
	}
	return statuses
}

// TestReplicaThatLeavesGetsNoRequest checks that a replica whose answers say that it leaves, but not its
// entry in the store, gets no request after the first such answer, also once its entry is put again.
func TestReplicaThatLeavesGetsNoRequest(t *testing.T) {
	tests := map[string]struct {
		route     string
		behaviour fpfake.Behaviour
		status    int
	}{
		"stream":                     {route: "chat", status: http.StatusOK},
		"stream refused":             {route: "chat", behaviour: fpfake.Reject, status: http.StatusOK},
		"resumable stream":           {route: "hint", status: http.StatusOK},
		"resumable stream refused":   {route: "hint", behaviour: fpfake.Reject, status: http.StatusOK},
		"call":                       {route: "call", status: http.StatusOK},
		"call refused":               {route: "call", behaviour: fpfake.Reject, status: http.StatusOK},
		"call failed":                {route: "call", behaviour: fpfake.ServerError, status: http.StatusInternalServerError},
		"idempotent request":         {route: "read", status: http.StatusOK},
		"idempotent request refused": {route: "read", behaviour: fpfake.Reject, status: http.StatusOK},
		"idempotent request failed":  {route: "read", behaviour: fpfake.ServerError, status: http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			leaving := tc.replicasOf(tt.route)[0]
			leaving.SetDefaultBehaviour(tt.behaviour)
			leaving.SetLeaving("1")
			statuses := tc.sendMany(tt.route, leavingRequests)
			t.Logf("%d of %d requests reached the leaving replica; statuses %v", len(leaving.Arrivals()), leavingRequests, statuses)
			is.True(len(leaving.Arrivals()) <= 1)
			served := statuses[http.StatusOK]
			is.True(served >= leavingRequests-1)
			is.True(served == leavingRequests || served+statuses[tt.status] == leavingRequests)
			tc.waitFor(func() bool { return tc.linesWith("replica leaving") != "" }, "logged")

			tc.store.Put("servers/"+leaving.ID, leaving.Registration("ready"))
			is.Equal(tc.sendMany(tt.route, leavingRequests)[http.StatusOK], leavingRequests)
			is.True(len(leaving.Arrivals()) <= 1)
			is.Equal(countLines(tc.linesWith("replica leaving")), 1)
		})
	}
}

// TestReplicaThatLeavesReturnsWithNewStart checks that a replica that has said that it leaves gets no request
// after its entry was deleted and put again, until it has started anew.
func TestReplicaThatLeavesReturnsWithNewStart(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	leaving := tc.serviceReplicas[0]
	leaving.SetLeaving("1")
	tc.sendMany("read", leavingRequests)
	leaving.SetLeaving("")
	before := len(leaving.Arrivals())
	tc.store.Delete("servers/" + leaving.ID)
	tc.waitFor(func() bool { return tc.linesWith("replica entry deleted") != "" }, "entry deleted")
	tc.store.Put("servers/"+leaving.ID, leaving.Registration("ready"))
	tc.waitFor(func() bool { return countLines(tc.linesWith("replica registered")) == 5 }, "registered again")
	tc.sendMany("read", leavingRequests)
	is.Equal(len(leaving.Arrivals()), before)

	restarted := leaving.Registration("ready")
	restarted["born"] = 1700000000001
	tc.store.Put("servers/"+leaving.ID, restarted)
	tc.waitFor(func() bool {
		tc.sendMany("read", 1)
		return len(leaving.Arrivals()) > before
	}, "a request at the new start")
}

// TestAllReplicasLeave checks that a request is rejected at once as not run once all replicas of its service
// leave.
func TestAllReplicasLeave(t *testing.T) {
	for _, route := range []string{"chat", "call", "read"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			for _, r := range tc.replicasOf(route) {
				r.SetLeaving("1")
			}
			tc.sendMany(route, leavingRequests)
			runs := len(tc.allRuns())
			is.True(runs <= 2)
			began := time.Now()
			r := tc.sendRequest(route, nil)
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.True(r.header.Get("Retry-After") != "")
			is.True(time.Since(began) < atOnce)
			is.Equal(len(tc.allRuns()), runs)
		})
	}
}

// TestOtherValuesDoNotMarkLeaving checks that a replica goes on getting requests if its answers do not say
// that it leaves.
func TestOtherValuesDoNotMarkLeaving(t *testing.T) {
	for _, value := range []string{"0", "true", "2"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			tc.serviceReplicas[0].SetLeaving(value)
			is.Equal(tc.sendMany("call", leavingRequests)[http.StatusOK], leavingRequests)
			is.True(len(tc.serviceReplicas[0].Arrivals()) > 1)
			is.Equal(tc.linesWith("replica leaving"), "")
		})
	}
}

// TestOtherHostLearnsThatReplicaLeaves checks that a host sends no request to a replica whose leaving another
// host has heard of.
func TestOtherHostLearnsThatReplicaLeaves(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	tc.waitFor(func() bool {
		_, first := tc.store.GetString("fescuepoint/hosts/h1")
		_, second := tc.store.GetString("fescuepoint/hosts/h2")
		return first && second
	}, "both hosts registered")
	later := tc.serviceReplicas[1].Registration("ready")
	later["born"] = 1700000000001
	tc.store.Put("servers/s2", later)
	for _, o := range []*testCluster{tc, other} {
		tc.waitFor(func() bool { return o.linesWith("replica restarted") != "" }, "hosts known to each other")
	}
	leaving := tc.serviceReplicas[0]
	leaving.SetLeaving("1")
	tc.waitFor(func() bool {
		tc.sendMany("read", 1)
		return other.linesWith("replica leaving") != ""
	}, "the other host told")
	before := len(leaving.Arrivals())
	other.sendMany("read", leavingRequests)
	is.True(before <= 1)
	is.Equal(len(leaving.Arrivals()), before)
}
