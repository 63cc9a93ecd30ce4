package fpgateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestSilentReplicasConvictNoRequest lets replicas fall silent by themselves again and again while one request, always the
// same, runs at all of them. It guards against silence that is taken for proof: the request must go on being served.
func TestSilentReplicasConvictNoRequest(t *testing.T) {
	const rounds, interval = 8, 700 * time.Millisecond
	tests := map[string]struct {
		route, service, model string
		// fail makes a replica fall silent, for good or for a time.
		fail func(*crashingFleet, *fpfake.Replica)
	}{
		"idempotent calls, replicas crash":    {route: "read", service: "app", fail: func(_ *crashingFleet, r *fpfake.Replica) { r.Crash() }},
		"calls that run once, replicas crash": {route: "call", service: "app", fail: func(_ *crashingFleet, r *fpfake.Replica) { r.Crash() }},
		"streams, replicas crash":             {route: "hint", service: "llm", model: "m", fail: func(_ *crashingFleet, r *fpfake.Replica) { r.Crash() }},
		"idempotent calls, replicas pause": {route: "read", service: "app", fail: func(_ *crashingFleet, r *fpfake.Replica) {
			r.SetSilent(true)
			time.AfterFunc(time.Second, func() { r.SetSilent(false) })
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tc := prepareTestCluster(t)
			for _, r := range tc.replicasOf(tt.route) {
				tc.store.Delete("servers/" + r.ID)
			}
			f := newCrashingFleet(tc, tt.service, tt.model, 6, func(r *fpfake.Replica) { r.CrashesSilently = true })
			f.setDowntime(silentDowntime)
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			hosts := []*testCluster{tc, other}
			var wg sync.WaitGroup
			var mu sync.Mutex
			sent, served := 0, 0
			stop := make(chan struct{})
			sendEvery(&wg, stop, harmlessInterval, func(i int) {
				r := hosts[i%len(hosts)].sendNumberedRequest(tt.route, 1_000_000+i)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if r.err == nil && r.status == http.StatusOK {
					served++
				}
			})
			for i := range rounds {
				fpclock.Sleep(context.Background(), interval)
				f.mu.Lock()
				r := f.engines[i%len(f.engines)]
				f.mu.Unlock()
				tt.fail(f, r)
			}
			fpclock.Sleep(context.Background(), silentDowntime+time.Second) // until the last crashes are proved
			close(stop)
			wg.Wait()
			t.Logf("%d of %d served", served, sent)
			is.True(float64(served) >= minServedShare*float64(sent))
			for _, o := range hosts {
				is.Equal(o.linesWith("added to quarantine"), "")
			}
		})
	}
}

// TestEntryGoesOfReplicaThatServes deletes the entries of replicas that serve on, without a word, while requests run there.
// It guards against taking that for a crash under these requests.
func TestEntryGoesOfReplicaThatServes(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for _, e := range tc.engines {
		e.StreamEvents = 1
		e.SetEventDelay(1200 * time.Millisecond)
	}
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { is.Equal(tc.sendNumberedRequest("chat", 100+i).status, http.StatusOK) })
	}
	tc.waitFor(func() bool { return len(tc.allRuns()) == 6 }, "running")
	for _, e := range tc.engines {
		tc.store.Delete("servers/" + e.ID)
	}
	tc.waitFor(func() bool { return countLines(tc.linesWith("replica entry deleted")) == len(tc.engines) }, "entries deleted")
	clients.Wait()
	is.Equal(tc.linesWith("replica crashed"), "")
}
