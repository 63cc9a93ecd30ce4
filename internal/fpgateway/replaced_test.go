package fpgateway_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/platform/fpadapter"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
	"github.com/fescuepoint/fescuepoint/platform/fpsoak"
)

// killHost ends a host that can no longer reach the store, so that its leases run out.
func (tc *testCluster) killHost(p *fpsoak.Proxy) {
	tc.t.Helper()
	p.SetMode(fpsoak.Reset)
	tc.stopHost()
	p.SetMode(fpsoak.Forward)
}

func (tc *testCluster) stopHost() {
	tc.t.Helper()
	tc.cancel()
	err := <-tc.runResult
	tc.runResult <- err
	if err != nil {
		tc.t.Fatal(err)
	}
}

// restartHost starts the host again with nothing of before, and waits until it is ready.
func (tc *testCluster) restartHost() {
	tc.t.Helper()
	tc.logs = &syncBuffer{}
	tc.startHost()
	tc.waitFor(tc.isReady, "ready again")
}

// TestRestartedHostExtendsReplacedWeights publishes weights that the engines never load. However hosts
// stop, start again or lose the store since, requests begin on the replaced weights until the limit at most,
// counted from the publication.
func TestRestartedHostExtendsReplacedWeights(t *testing.T) {
	type hosts struct {
		all     []*testCluster
		proxies map[*testCluster]*fpsoak.Proxy
		publish func()
	}
	kill := func(h hosts, o *testCluster) { o.killHost(h.proxies[o]) }
	tests := map[string]struct {
		limit time.Duration
		// leaseTTL is the time to live of the order lease, which outlives a short outage of all hosts.
		leaseTTL time.Duration
		// disturb publishes the weights and stops hosts or cuts them off, and recover brings them back; wait
		// is the time from the publication on until then.
		disturb func(h hosts)
		recover func(h hosts)
		wait    time.Duration
		served  bool
	}{
		"all killed, back after the limit": {
			limit: 5 * time.Second, wait: 5 * time.Second,
			disturb: func(h hosts) { h.publish(); kill(h, h.all[0]); kill(h, h.all[1]) },
			recover: func(h hosts) { h.all[0].restartHost(); h.all[1].restartHost() },
		},
		"one killed, back after the limit": {
			limit: 5 * time.Second, wait: 5 * time.Second,
			disturb: func(h hosts) { h.publish(); kill(h, h.all[0]) },
			recover: func(h hosts) { h.all[0].restartHost() },
		},
		"all stopped, back after the limit": {
			limit: 5 * time.Second, wait: 5 * time.Second,
			disturb: func(h hosts) { h.publish(); h.all[0].stopHost(); h.all[1].stopHost() },
			recover: func(h hosts) { h.all[0].restartHost(); h.all[1].restartHost() },
		},
		"published while all were down": {
			limit: 5 * time.Second, wait: 5 * time.Second,
			disturb: func(h hosts) { kill(h, h.all[0]); kill(h, h.all[1]); h.publish() },
			recover: func(h hosts) { h.all[0].restartHost(); h.all[1].restartHost() },
		},
		"published while one was cut off from the store": {
			limit: 5 * time.Second, wait: 5 * time.Second,
			disturb: func(h hosts) {
				h.proxies[h.all[0]].SetMode(fpsoak.Reset)
				h.proxies[h.all[1]].SetMode(fpsoak.Reset)
				h.publish()
			},
			recover: func(h hosts) {
				h.proxies[h.all[0]].SetMode(fpsoak.Forward)
				h.all[0].waitFor(h.all[0].isReady, "ready again")
			},
		},
		"all killed, back long before the limit": {
			limit: 30 * time.Second, served: true,
			disturb: func(h hosts) {
				h.publish()
				h.all[0].waitFor(func() bool {
					return strings.Contains(h.all[0].logs.String()+h.all[1].logs.String(), "weights recorded")
				}, "recorded")
				kill(h, h.all[0])
				kill(h, h.all[1])
			},
			recover: func(h hosts) { h.all[0].restartHost() },
		},
		"all killed at the publication, back at once": {
			limit: 30 * time.Second, leaseTTL: 3 * time.Second, served: true,
			disturb: func(h hosts) { kill(h, h.all[0]); kill(h, h.all[1]); h.publish() },
			recover: func(h hosts) { h.all[0].restartHost() },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.hostSettings.OldWeightsLimit, tc.hostSettings.OrderLeaseTTL = tt.limit, max(tt.leaseTTL, 600*time.Millisecond)
			for _, e := range tc.engines {
				e.WeightsLoadTime = time.Hour
			}
			tc.store.Put("op/config", configDocument(1))
			tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 1})
			other, proxies := tc.addHost(func(*fpgateway.Settings) {})
			h := hosts{all: []*testCluster{tc, other}, proxies: proxies}
			tc.waitFor(func() bool { _, ok := tc.store.GetString("fescuepoint/orders"); return ok }, "lease held")
			is.Equal(tc.sendRequest("chat", nil).status, http.StatusOK)
			var published time.Duration
			h.publish = func() {
				tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
				published = fpclock.SinceBoot()
			}
			tt.disturb(h)
			fpclock.Sleep(context.Background(), published+tt.wait-fpclock.SinceBoot())
			tt.recover(h)
			before := len(tc.allRuns())
			kinds := map[string]func(*http.Request){
				"chat":    nil,
				"hint":    nil,
				"take-up": func(q *http.Request) { q.Header.Set("Last-Event-Id", "1") },
			}
			for kind, change := range kinds {
				route := kind
				if kind == "take-up" {
					route = "hint"
				}
				want := http.StatusServiceUnavailable
				if tt.served {
					want = http.StatusOK
				}
				if got := h.all[0].sendRequest(route, change); got.status != want {
					t.Errorf("%s: status %d, not %d, %v after the publication", kind, got.status, want, fpclock.SinceBoot()-published)
				}
			}
			if !tt.served {
				is.Equal(len(tc.allRuns()), before)
			}
		})
	}
}

// TestLateOrdersHoldUpRollout publishes weights while orders get no answer and are carried out late. All
// engines must have the weights when one and a half times the limit on replaced weights have passed.
func TestLateOrdersHoldUpRollout(t *testing.T) {
	t.Parallel()
	const engineCount, limit = 10, 8 * time.Second
	tc := prepareTestCluster(t)
	for i := len(tc.engines); i < engineCount; i++ {
		r := fpfake.NewReplica("e"+strconv.Itoa(i+1), "llm", "z1", "m")
		t.Cleanup(r.Close)
		tc.engines = append(tc.engines, r)
		tc.store.Put("servers/"+r.ID, r.Registration("ready"))
	}
	for _, e := range tc.engines {
		e.OrderDelay = 2500 * time.Millisecond
	}
	tc.hostSettings.OldWeightsLimit = limit
	tc.chooseAddresses()
	tc.store.Put("op/config", configDocument(1))
	tc.startHost()
	tc.waitFor(func() bool { _, ok := tc.store.GetString("fescuepoint/orders"); return ok }, "lease held")
	published := fpclock.SinceBoot()
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	outdated := func() bool {
		return slices.ContainsFunc(tc.engines, func(e *fpfake.Replica) bool { return e.WeightsVersion() != 2 })
	}
	for outdated() && fpclock.SinceBoot()-published < 3*limit/2 {
		fpclock.Sleep(context.Background(), 20*time.Millisecond)
	}
	if outdated() {
		t.Fatalf("engines have outdated weights %v after the publication\n%s", fpclock.SinceBoot()-published, tc.linesWith("weights loaded"))
	}
}

// TestCallThatNamesModel checks that weights of unknown age don't bind requests to plain services.
func TestCallThatNamesModel(t *testing.T) {
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 1})
	tc.startHost()
	tc.waitFor(tc.isReady, "ready")
	for _, route := range []string{"call", "read"} {
		r := tc.sendRequest(route, func(q *http.Request) { q.Header.Set("Model", "m") })
		is.New(t).Equal(r.status, http.StatusOK)
	}
}

// hangingNotes is a store in which notes of published weights get no answer.
type hangingNotes struct{ fpstore.Store }

func (s hangingNotes) Commit(ctx context.Context, t fpstore.Transaction) (fpstore.Position, error) {
	if len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Key, "fescuepoint/weights/") {
		<-ctx.Done()
		return fpstore.Position{}, fpstore.ErrOutcomeUnknown
	}
	return s.Store.Commit(ctx, t)
}

// TestHangingNotesHoldUpOrders publishes weights of three models while notes of them get no answer.
func TestHangingNotesHoldUpOrders(t *testing.T) {
	t.Parallel()
	tc := prepareTestCluster(t)
	tc.store.Put("op/config", configDocument(1))
	ctx, cancel := context.WithCancel(context.Background())
	g := fpgateway.New(tc.hostSettings, fpgateway.Dependencies{
		Store: hangingNotes{fpadapter.NewStore(tc.hostSettings.StoreAddress)}, Dialect: fpadapter.Dialect{}, Clock: fpclock.SinceBoot, Log: fplog.NewQueue(tc.logs),
	})
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	tc.waitFor(func() bool { _, ok := tc.store.GetString("fescuepoint/orders"); return ok }, "lease held")
	for _, m := range []string{"n", "o", "m"} {
		tc.store.Put("op/version/"+m, map[string]any{"model": m, "version": 2})
	}
	tc.waitFor(func() bool { return tc.engines[0].WeightsVersion() == 2 && tc.engines[1].WeightsVersion() == 2 }, "weights in place")
}
