package fpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	deadlyQuery = "deadly=1"
	// repeatedCrashes is the number of replicas after whose crash by one request reactionTime begins.
	repeatedCrashes = 3
	// repeatInterval is the time after which the deadly request comes again, and retryDelay that after
	// which its caller sends it once more when it gets no answer.
	repeatInterval = 800 * time.Millisecond
	retryDelay     = 60 * time.Millisecond
)

// TestRepeatedRequestEndsReplicaAfterReplica sends one request that crashes each replica that begins to run
// it again and again as it was, through all hosts, amid harmless ones, and checks that soon it reaches no
// replica, also through a host that starts later, and that the harmless ones are served. The silent ones guard against
// crashes that leave no broken connection to blame anything for.
func TestRepeatedRequestEndsReplicaAfterReplica(t *testing.T) {
	tests := map[string]struct {
		route, service, model string
		replicas              int
		// retried says that the caller sends the request once more after a broken answer.
		retried bool
		// silent says that the replicas fall silent as they crash, and patience is how long the callers of the deadly
		// request wait then.
		silent   bool
		patience time.Duration
	}{
		"idempotent call":          {route: "read", service: "app", replicas: 3, retried: true},
		"call that may run once":   {route: "call", service: "app", replicas: 3},
		"stream that may run once": {route: "chat", service: "llm", model: "m", replicas: 5},
		"resumable stream":         {route: "hint", service: "llm", model: "m", replicas: 5, retried: true},

		"silent, idempotent call":          {route: "read", service: "app", replicas: 6, silent: true, patience: time.Minute},
		"silent, call that may run once":   {route: "call", service: "app", replicas: 6, silent: true, patience: time.Minute},
		"silent, stream that may run once": {route: "chat", service: "llm", model: "m", replicas: 6, silent: true, patience: time.Minute},
		"silent, resumable stream":         {route: "hint", service: "llm", model: "m", replicas: 6, silent: true, patience: time.Minute},
		"silent, the caller leaves":        {route: "read", service: "app", replicas: 6, silent: true, patience: 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.silent {
				t.Parallel()
			}
			is := is.New(t)
			tc := prepareTestCluster(t)
			for _, r := range append(append([]*fpfake.Replica{}, tc.engines...), tc.serviceReplicas...) {
				if r.Service == tt.service {
					tc.store.Delete("servers/" + r.ID)
				}
			}
			f := newCrashingFleet(tc, tt.service, tt.model, tt.replicas, func(r *fpfake.Replica) {
				r.CrashQuery, r.CrashesSilently = deadlyQuery, tt.silent
			})
			if tt.silent {
				f.setDowntime(silentDowntime)
			}
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			hosts := []*testCluster{tc, other}

			deadly := func(q *http.Request) { q.URL.RawQuery = deadlyQuery }
			isDeadly := func(r fpfake.ExecutedRequest) bool { return strings.HasSuffix(r.Target, "?"+deadlyQuery) }
			var wg sync.WaitGroup
			stop := make(chan struct{})
			var mu sync.Mutex
			var lateFrom time.Time
			sent, served, refused := 0, 0, 0
			countLate := func(began time.Time, r response) {
				mu.Lock()
				defer mu.Unlock()
				if lateFrom.IsZero() || began.Before(lateFrom) {
					return
				}
				sent++
				if r.err == nil && r.status == http.StatusOK {
					served++
				}
			}
			sendEvery(&wg, stop, harmlessInterval, func(i int) {
				began := time.Now()
				r := hosts[i%len(hosts)].sendNumberedRequest(tt.route, 1_000_000+i, func(q *http.Request) {
					q.URL.RawQuery = url.Values{"harmless": {fmt.Sprint(i)}}.Encode()
				})
				countLate(began, r)
			})
			sendEvery(&wg, stop, repeatInterval, func(i int) {
				change := deadly
				if tt.silent {
					ctx, cancel := context.WithTimeout(context.Background(), tt.patience)
					defer cancel()
					change = func(q *http.Request) { deadly(q); *q = *q.WithContext(ctx) }
				}
				r := hosts[i%len(hosts)].sendNumberedRequest(tt.route, 2_000_000+2*i, change)
				if tt.retried && (r.err != nil || r.status == http.StatusBadGateway) {
					fpclock.Sleep(context.Background(), retryDelay)
					r = hosts[(i+1)%len(hosts)].sendNumberedRequest(tt.route, 2_000_000+2*i+1, deadly)
				}
				mu.Lock()
				defer mu.Unlock()
				if !lateFrom.IsZero() && r.err == nil && r.status == http.StatusServiceUnavailable {
					refused++
				}
			})
			tc.waitFor(func() bool { n, _ := f.crashCount(repeatedCrashes); return n >= repeatedCrashes }, "three crashes")
			_, third := f.crashCount(repeatedCrashes)
			late := third.Add(reactionTime)
			fpclock.Sleep(context.Background(), time.Until(late)) // the requests go on in real time
			mu.Lock()
			lateFrom = late
			mu.Unlock()
			fpclock.Sleep(context.Background(), afterReaction)

			crashes, _ := f.crashCount(repeatedCrashes)
			t.Logf("%d crashes, %d arrivals too late", crashes, f.arrivals(late, isDeadly))
			is.True(f.arrivals(late, isDeadly) <= maxLateArrivals)
			later := &testCluster{t: t, store: tc.store, hostSettings: tc.hostSettings, logs: &syncBuffer{}}
			later.hostSettings.Host = "h3"
			later.chooseAddresses()
			later.startHost()
			later.waitFor(later.isReady, "the later host is ready")
			for i := range 4 {
				r := later.sendNumberedRequest(tt.route, 3_000_000+i, deadly)
				requireNoError(t, r)
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.True(r.header.Get("Retry-After") != "")
			}
			close(stop)
			wg.Wait()
			is.True(f.arrivals(late, isDeadly) <= maxLateArrivals)
			is.True(sent > 0 && float64(served) >= minServedShare*float64(sent))
			is.True(refused > 0) // as not run
		})
	}
}

// TestRepeatedRequestWithoutOthers sends one request, or different ones with the same part, that crash each replica which
// begins to run them, beside no other requests or hardly any. It guards against a lack of answers that keeps the crashes
// from telling anything.
func TestRepeatedRequestWithoutOthers(t *testing.T) {
	tests := map[string]struct {
		route, service, model string
		// others is the interval of harmless requests, 0 for none.
		others time.Duration
		part   bool
		// allowed is the number of crashes after whose reaction time maxLateArrivals may reach replicas.
		allowed int
	}{
		"idempotent call":                          {route: "read", service: "app", allowed: repeatedCrashes},
		"call that may run once":                   {route: "call", service: "app", allowed: repeatedCrashes},
		"resumable stream":                         {route: "hint", service: "llm", model: "m", allowed: repeatedCrashes},
		"idempotent call, few others":              {route: "read", service: "app", others: 3 * time.Second, allowed: repeatedCrashes},
		"part of prompts":                          {route: "hint", service: "llm", model: "m", part: true, allowed: deadlyCrashes},
		"part of prompts, few that share the rest": {route: "hint", service: "llm", model: "m", part: true, others: time.Second, allowed: deadlyCrashes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tc := prepareTestCluster(t)
			for _, r := range tc.replicasOf(tt.route) {
				tc.store.Delete("servers/" + r.ID)
			}
			f := newCrashingFleet(tc, tt.service, tt.model, 6, func(r *fpfake.Replica) {
				r.CrashQuery, r.CrashParts = deadlyQuery, []string{deadlyPart}
			})
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			hosts := []*testCluster{tc, other}
			fpclock.Sleep(context.Background(), time.Second) // replicas live without a request

			var wg sync.WaitGroup
			stop := make(chan struct{})
			sendEvery(&wg, stop, repeatInterval, func(i int) {
				change := func(q *http.Request) { q.URL.RawQuery = deadlyQuery }
				if tt.part {
					change = withPrompt(fmt.Sprintf("aa:1200,%s:60,cc:40,own-d%d:20", deadlyPart, i))
				}
				hosts[i%len(hosts)].sendNumberedRequest(tt.route, 2_000_000+i, change)
			})
			var mu sync.Mutex
			sent, served := 0, 0
			if tt.others > 0 {
				sendEvery(&wg, stop, tt.others, func(i int) {
					change := func(q *http.Request) { q.URL.RawQuery = url.Values{"harmless": {fmt.Sprint(i)}}.Encode() }
					if tt.part {
						change = withPrompt(fmt.Sprintf("aa:1200,s%d:60,cc:40,own-h%d:20", i, i))
					}
					r := hosts[i%len(hosts)].sendNumberedRequest(tt.route, 1_000_000+i, change)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if r.err == nil && r.status == http.StatusOK {
						served++
					}
				})
			}
			tc.waitFor(func() bool { n, _ := f.crashCount(tt.allowed); return n >= tt.allowed }, "the crashes")
			_, last := f.crashCount(tt.allowed)
			late := last.Add(reactionTime)
			fpclock.Sleep(context.Background(), time.Until(late)+afterReaction+2*time.Second) // the requests go on in real time
			close(stop)
			wg.Wait()
			isDeadly := func(r fpfake.ExecutedRequest) bool {
				return r.HasPromptPart(deadlyPart) || strings.HasSuffix(r.Target, "?"+deadlyQuery)
			}
			crashes, _ := f.crashCount(tt.allowed)
			t.Logf("%d crashes, %d arrivals too late, %d of %d others served", crashes, f.arrivals(late, isDeadly), served, sent)
			is.True(f.arrivals(late, isDeadly) <= maxLateArrivals)
			is.True(float64(served) >= minServedShare*float64(sent))
		})
	}
}

// TestRequestAtReplicasThatCrash sends one request, always the same and nothing else, which runs for long, while replicas
// crash by themselves. It guards against blame for being there.
func TestRequestAtReplicasThatCrash(t *testing.T) {
	const rounds, interval = 12, 500 * time.Millisecond
	for name, duration := range map[string]time.Duration{"short answers": 50 * time.Millisecond, "long answers": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tc := prepareTestCluster(t)
			for _, r := range tc.replicasOf("hint") {
				tc.store.Delete("servers/" + r.ID)
			}
			f := newCrashingFleet(tc, "llm", "m", 8, func(r *fpfake.Replica) { r.EventDelay = duration / 3 })
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			hosts := []*testCluster{tc, other}
			var wg sync.WaitGroup
			var mu sync.Mutex
			sent, served := 0, 0
			stop := make(chan struct{})
			sendEvery(&wg, stop, 5*harmlessInterval, func(i int) {
				r := hosts[i%len(hosts)].sendNumberedRequest("hint", 1_000_000+i)
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
				r.Crash()
			}
			fpclock.Sleep(context.Background(), time.Second) // until the last crashes are known
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
