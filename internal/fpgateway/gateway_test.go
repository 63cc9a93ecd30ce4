package fpgateway_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n"
)

// TestRelaysEachRouteKind sends a request of each kind of route and checks the header that its
// replica got.
func TestRelaysEachRouteKind(t *testing.T) {
	tc := newTestCluster(t)
	for _, route := range []string{"chat", "hint", "call", "read"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			before := len(tc.allRuns())
			r := tc.sendRequest(route, func(q *http.Request) {
				q.Header.Set("Tenant", "somebody-else")
				q.Header.Set("Kv-Hold", "1")
				q.Header.Set("Kv-From", "1")
				q.Header.Set("Pin-Ms", "1")
				q.Header.Set("Cache-Salt", "mine")
				q.Header.Set("Expect-Replica", "x")
				q.Header.Set("Expect-Version", "9")
				q.Header.Set("X-Other", "kept")
			})
			requireNoError(t, r)
			is.Equal(r.status, http.StatusOK)
			is.True(r.header.Get("Replica-Signature") != "")
			runs := tc.allRuns()
			is.Equal(len(runs), before+1)
			got := findRun(runs, r.header.Get("Attempt-Id"))
			is.True(got != nil)
			is.Equal(got.Target, "/"+route+"/x?q=a%2Fb")
			is.Equal(got.Header.Get("Tenant"), "team")
			is.Equal(got.Header.Get("X-Other"), "kept")
			is.Equal(got.Header.Get("Authorization"), "")
			for _, name := range []string{"Kv-Hold", "Kv-From", "Pin-Ms"} {
				is.Equal(got.Header.Get(name), "")
			}
			is.True(got.Header.Get("Cache-Salt") != "mine")
			if route == "chat" || route == "hint" {
				is.Equal(r.body, wholeStream)
				is.Equal(got.Header.Get("Expect-Version"), "1")
				is.Equal(got.Header.Get("Prompt-Prefix"), "aa:1200,bb:300")
			}
		})
	}
}

// TestRejectsInvalidRequests checks that invalid requests are rejected without running.
func TestRejectsInvalidRequests(t *testing.T) {
	tc := newTestCluster(t)
	tests := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"unknown key":                      {func(q *http.Request) { q.Header.Set("Authorization", "Token other") }, http.StatusUnauthorized},
		"no key":                           {func(q *http.Request) { q.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown path":                     {func(q *http.Request) { q.URL.Path = "/nowhere/" }, http.StatusNotFound},
		"unknown host":                     {func(q *http.Request) { q.Host = "b.example" }, http.StatusNotFound},
		"header over the configured limit": {func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 5000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"header over the server's limit":   {func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 100_000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"long body":                        {replaceBody(strings.Repeat("x", 10_001)), http.StatusRequestEntityTooLarge},
		"wrong deadline":                   {func(q *http.Request) { q.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
		"deadline too short":               {func(q *http.Request) { q.Header.Set("Deadline-Ms", "0.01") }, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := tc.sendRequest("call", tt.change)
			requireNoError(t, r)
			is.Equal(r.status, tt.status)
			is.Equal(len(tc.allRuns()), 0)
		})
	}
}

// TestNoConfiguration checks that a host without a configuration answers 503 with Retry-After
// and is not ready.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.startHost()
	tc.waitFor(func() bool { return tc.sendRequest("call", nil).err == nil }, "listening")
	r := tc.sendRequest("call", nil)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.True(!tc.isReady())
	tc.store.Put("op/config", configDocument(1))
	tc.waitFor(tc.isReady, "ready with the first configuration")
}

// TestMisbehavingReplicas checks the caller's answer and the number of runs when replicas
// misbehave.
func TestMisbehavingReplicas(t *testing.T) {
	tests := map[string]struct {
		route      string
		behaviours []fpfake.Behaviour
		status     int
		runs       int
		body       string
		streamCut  bool
	}{
		"call rejected everywhere is refused":            {route: "call", behaviours: []fpfake.Behaviour{fpfake.Reject}, status: 503},
		"call with its answer lost is unknown":           {route: "call", behaviours: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 1},
		"call reset before it ran is unknown":            {route: "call", behaviours: []fpfake.Behaviour{fpfake.ResetBeforeRun}, status: 502},
		"call truncated is unknown":                      {route: "call", behaviours: []fpfake.Behaviour{fpfake.Truncate}, status: 502, runs: 1},
		"call without signature is unknown":              {route: "call", behaviours: []fpfake.Behaviour{fpfake.Unsigned}, status: 502, runs: 1},
		"call left silent ends at the route's timeout":   {route: "call", behaviours: []fpfake.Behaviour{fpfake.Silent}, status: 504, runs: 1},
		"call after a stray answer gets its own":         {route: "call", behaviours: []fpfake.Behaviour{fpfake.StrayResponse}, status: 200, runs: 1, body: "answer to id-1"},
		"call without a length is whole":                 {route: "call", behaviours: []fpfake.Behaviour{fpfake.NoContentLength}, status: 200, runs: 1, body: "answer to id-1"},
		"call's own failure is forwarded":                {route: "call", behaviours: []fpfake.Behaviour{fpfake.ServerError}, status: 500, runs: 1, body: "failed"},
		"read with its answer lost runs again":           {route: "read", behaviours: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 2},
		"read that fails twice forwards the failure":     {route: "read", behaviours: []fpfake.Behaviour{fpfake.ServerError}, status: 500, runs: 2, body: "failed"},
		"chat that trickles ends at the route's timeout": {route: "chat", behaviours: []fpfake.Behaviour{fpfake.Trickle}, status: 504, runs: 1},
		"chat cut midway looks incomplete":               {route: "chat", behaviours: []fpfake.Behaviour{fpfake.Truncate}, status: 200, runs: 1, streamCut: true},
		"chat without a length is whole":                 {route: "chat", behaviours: []fpfake.Behaviour{fpfake.NoContentLength}, status: 200, runs: 1, body: wholeStream},
		"chat without a length cut inside an event":      {route: "chat", behaviours: []fpfake.Behaviour{fpfake.TruncateWithoutLength}, status: 200, runs: 1, streamCut: true},
		"chat with its answer lost is unknown":           {route: "chat", behaviours: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			tc.queueBehaviours(tt.behaviours...)
			r := tc.sendRequest(tt.route, nil)
			is.Equal(r.status, tt.status)
			is.Equal(r.err != nil, tt.streamCut)
			is.Equal(len(tc.allRuns()), tt.runs)
			if tt.body != "" {
				is.Equal(r.body, tt.body)
			}
			if tt.status == http.StatusServiceUnavailable {
				is.True(r.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestRetriesRequestNotRun checks that a request that one replica did not run is sent to
// another.
func TestRetriesRequestNotRun(t *testing.T) {
	for name, b := range map[string]fpfake.Behaviour{"rejected": fpfake.Reject} {
		for _, route := range []string{"chat", "call", "read"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				tc := newTestCluster(t)
				tc.engines[0].SetDefaultBehaviour(b)
				tc.serviceReplicas[0].SetDefaultBehaviour(b)
				for range 6 {
					r := tc.sendRequest(route, nil)
					requireNoError(t, r)
					is.Equal(r.status, http.StatusOK)
				}
				is.Equal(len(tc.allRuns()), 6)
			})
		}
	}
}

// TestResumesBrokenStream checks that a resumable stream that breaks off is resumed at another
// replica without a gap, under the first replica's signature.
func TestResumesBrokenStream(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.queueBehaviours(fpfake.Truncate)
	tc.engines[0].StreamEvents, tc.engines[1].StreamEvents = 6, 6
	r := tc.sendRequest("hint", nil)
	// The second replica breaks off too, and with two attempts the stream ends incomplete.
	is.True(r.err != nil)
	is.Equal(r.body, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n")
	r = tc.sendRequest("hint", nil)
	requireNoError(t, r)
	is.Equal(strings.Count(r.body, "data: token"), 6)
}

// TestRejectionOfAnotherRequest checks that a rejection without an ID proves nothing on a kept
// connection, where it may be the late answer to the request before: a request that must run at most
// once is not sent again, and is not refused as not run.
func TestRejectionOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for range 4 {
		is.Equal(tc.sendRequest("call", nil).status, http.StatusOK)
	}
	before := len(tc.allRuns())
	tc.queueBehaviours(fpfake.RejectWithoutID)
	r := tc.sendRequest("call", nil)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(len(tc.allRuns()), before)
}

// TestSilentReplicaKeepsRun checks that a replica whose entry disappears, as when it is silent or slow
// to report, keeps the stream that it runs: the stream ends whole and runs nowhere else.
func TestSilentReplicaKeepsRun(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for _, e := range tc.engines {
		e.StreamEvents, e.EventDelay = 10, 60*time.Millisecond
	}
	answers := make(chan response, 1)
	go func() { answers <- tc.sendRequest("hint", nil) }()
	tc.waitFor(func() bool { return len(tc.allRuns()) == 1 }, "stream running")
	tc.store.Delete("servers/e1")
	tc.store.Delete("servers/e2")
	tc.waitFor(func() bool { return strings.Count(tc.logs.String(), "replica entry deleted") == 2 }, "entries gone")
	r := <-answers
	requireNoError(t, r)
	is.Equal(strings.Count(r.body, "data: token"), 10)
	is.Equal(len(tc.allRuns()), 1)
}

// TestKeyRevokedWhileBodyArrives checks that a key is checked when the request is sent on, not only
// when it arrives: its body, or a pause of this process, may take longer than the key lasts.
func TestKeyRevokedWhileBodyArrives(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	body, bodyWriter := io.Pipe()
	answers := make(chan response, 1)
	go func() {
		answers <- tc.sendRequest("call", func(q *http.Request) { q.Body, q.ContentLength = body, 4 })
	}()
	_, err := io.WriteString(bodyWriter, "bo")
	is.NoErr(err)
	fpclock.Sleep(context.Background(), 100*time.Millisecond)
	d := configDocument(2)
	d["tenants"] = []any{map[string]any{"name": "team", "api_keys": []string{"new"}}}
	tc.store.Put("op/config", d)
	tc.waitFor(func() bool { return tc.sendNumberedRequest("read", 100).status == http.StatusUnauthorized }, "the key is refused")
	_, err = io.WriteString(bodyWriter, "dy")
	is.NoErr(err)
	is.NoErr(bodyWriter.Close())
	is.Equal((<-answers).status, http.StatusUnauthorized)
	is.True(findRun(tc.allRuns(), "id-1") == nil)
}

// TestDropsUnsolicitedAnswer checks that an answer that a replica sends unasked never reaches
// the next caller.
func TestDropsUnsolicitedAnswer(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.queueBehaviours(fpfake.DuplicateResponse, fpfake.DuplicateResponse, fpfake.DuplicateResponse)
	for range 8 {
		r := tc.sendRequest("read", nil)
		requireNoError(t, r)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, "answer to "+r.header.Get("Attempt-Id"))
	}
}

// TestCallerDisconnectEndsRun checks that a run ends soon after its caller disconnects.
func TestCallerDisconnectEndsRun(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for _, e := range tc.engines {
		e.StreamEvents, e.EventDelay = 100, 50*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r := tc.sendRequest("chat", func(q *http.Request) { *q = *q.WithContext(ctx) })
	is.True(r.err != nil)
	disconnected := fpclock.SinceBoot()
	tc.waitFor(func() bool { return tc.engines[0].AbandonedStreams()+tc.engines[1].AbandonedStreams() == 1 }, "the run's end")
	is.True(fpclock.SinceBoot()-disconnected < 500*time.Millisecond)
}

// TestRefusesRevokedKey checks that a revoked key is refused, and that a host that can't reach
// the store stops accepting keys before the freshness bound.
func TestRefusesRevokedKey(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.hostSettings.Freshness.Revoke = 1500 * time.Millisecond
	tc.store.Put("op/config", configDocument(1))
	tc.startHost()
	tc.waitFor(tc.isReady, "ready")
	is.Equal(tc.sendRequest("call", nil).status, http.StatusOK)
	tc.store.SetFault(fpfake.StoreFault{Silent: true})
	cutOff := fpclock.SinceBoot()
	tc.waitFor(func() bool { return tc.sendRequest("read", nil).status == http.StatusServiceUnavailable }, "refused without a fresh proof")
	is.True(fpclock.SinceBoot()-cutOff < 1700*time.Millisecond)
	is.True(!tc.isReady())
	d := configDocument(2)
	d["tenants"] = []any{map[string]any{"name": "team", "api_keys": []string{"new"}}}
	tc.store.Put("op/config", d)
	tc.store.SetFault(fpfake.StoreFault{})
	tc.waitFor(tc.isReady, "ready again")
	tc.waitFor(func() bool { return tc.sendRequest("call", nil).status == http.StatusUnauthorized }, "the key is refused")
}

// TestIgnoresOlderConfiguration checks that a configuration older than the one in force is not
// applied.
func TestIgnoresOlderConfiguration(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	d := configDocument(7)
	d["routes"] = d["routes"].([]any)[:3]
	tc.store.Put("op/config", d)
	tc.waitFor(func() bool { return tc.sendRequest("read", nil).status == http.StatusNotFound }, "version 7 in force")
	tc.store.Put("op/config", configDocument(6))
	tc.store.Compact()
	fpclock.Sleep(context.Background(), 300*time.Millisecond)
	is.Equal(tc.sendRequest("read", nil).status, http.StatusNotFound)
}

// TestDrainingReplicaGetsNoWork checks that draining and deregistered replicas get no new work,
// and that invalid entries are ignored.
func TestDrainingReplicaGetsNoWork(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.store.Put("servers/s1", tc.serviceReplicas[0].Registration("draining"))
	tc.store.Put("servers/x1", []byte(`{"service":"app","address":7}`))
	tc.store.Put("servers/x2", []byte(`not JSON`))
	tc.store.Put("servers/x3", map[string]any{"service": "app", "address": "127.0.0.1:1", "zone": "z1", "state": "asleep"})
	tc.waitFor(func() bool { return strings.Count(tc.logs.String(), "entry ignored") >= 3 }, "entries ignored")
	before := len(tc.serviceReplicas[0].ExecutedRequests())
	for range 10 {
		is.Equal(tc.sendRequest("call", nil).status, http.StatusOK)
	}
	is.Equal(len(tc.serviceReplicas[0].ExecutedRequests()), before)
	tc.store.Delete("servers/s2")
	tc.waitFor(func() bool { return tc.sendRequest("call", nil).status == http.StatusServiceUnavailable }, "no replica left")
}

// TestRolloutReachesNewestWeights checks that all engines load the newest published weights,
// under one lease holder.
func TestRolloutReachesNewestWeights(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 4})
	tc.waitFor(func() bool { return tc.engines[0].WeightsVersion() == 4 && tc.engines[1].WeightsVersion() == 4 }, "weights in place")
	tc.waitFor(func() bool { return tc.sendRequest("chat", nil).status == http.StatusOK }, "served on the new weights")
	holder, ok := tc.store.GetString("fescuepoint/orders")
	is.True(ok)
	is.Equal(holder, "h1")
}

// TestRolloutFollowsLoadTime checks that the rollout is as fast as the loads, whatever they take:
// twice the least time for two at once, and a second to begin.
func TestRolloutFollowsLoadTime(t *testing.T) {
	const engineCount, atOnce = 10, 2
	for name, load := range map[string]time.Duration{"short loads": 50 * time.Millisecond, "long loads": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			for i := len(tc.engines); i < engineCount; i++ {
				r := fpfake.NewReplica("e"+strconv.Itoa(i+1), "llm", "z1", "m")
				t.Cleanup(r.Close)
				tc.engines = append(tc.engines, r)
				tc.store.Put("servers/"+r.ID, r.Registration("ready"))
			}
			for _, e := range tc.engines {
				e.WeightsLoadTime = load
			}
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			tc.startHost()
			tc.waitFor(tc.isReady, "ready")
			tc.waitFor(func() bool { _, ok := tc.store.GetString("fescuepoint/orders"); return ok }, "lease held")
			named := fpclock.SinceBoot()
			tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
			tc.waitFor(func() bool {
				return !slices.ContainsFunc(tc.engines, func(e *fpfake.Replica) bool { return e.WeightsVersion() != 2 })
			}, "weights in place")
			is.True(fpclock.SinceBoot()-named < time.Second+2*load*engineCount/atOnce)
		})
	}
}

// TestReplacedWeightsEndInTime checks a rollout that does not come about: requests are served on the
// replaced weights at first; none that has not begun stays at a replica when the limit less the margin
// for late news has passed, and none is sent there from then on.
func TestReplacedWeightsEndInTime(t *testing.T) {
	const limit, margin = 3 * time.Second, time.Second
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.hostSettings.OldWeightsLimit = limit
	for _, e := range tc.engines {
		e.WeightsLoadTime, e.EventDelay, e.StreamEvents = time.Hour, 100*time.Millisecond, 1
	}
	d := configDocument(1)
	for _, r := range d["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = 20_000
	}
	tc.store.Put("op/config", d)
	tc.startHost()
	tc.waitFor(tc.isReady, "ready")
	patient := func(q *http.Request) { q.Header.Set("Deadline-Ms", "20000") }
	is.Equal(tc.sendRequest("chat", patient).status, http.StatusOK)
	tc.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	named := fpclock.SinceBoot()
	tc.waitFor(func() bool { return strings.Contains(tc.logs.String(), "weights published") }, "weights known")
	is.Equal(tc.sendRequest("chat", patient).status, http.StatusOK)
	for _, e := range tc.engines {
		e.SetEventDelay(30 * time.Second)
	}
	before := len(tc.allRuns())
	r := tc.sendRequest("chat", patient)
	is.Equal(len(tc.allRuns()), before+1)
	is.Equal(r.status, http.StatusBadGateway)
	tc.waitFor(func() bool { return tc.engines[0].AbandonedStreams()+tc.engines[1].AbandonedStreams() == 1 }, "the attempt's end")
	is.True(fpclock.SinceBoot()-named < limit-margin+700*time.Millisecond)
	before = len(tc.allRuns())
	is.Equal(tc.sendRequest("chat", patient).status, http.StatusServiceUnavailable)
	is.Equal(len(tc.allRuns()), before)
}

// TestGracefulStop checks that a planned stop lets running requests end, reports the host as not
// ready, and gives up the order lease.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for _, e := range tc.engines {
		e.StreamEvents, e.EventDelay = 8, 50*time.Millisecond
	}
	tc.waitFor(func() bool { _, ok := tc.store.GetString("fescuepoint/orders"); return ok }, "lease held")
	answers := make(chan response, 1)
	go func() { answers <- tc.sendRequest("chat", nil) }()
	tc.waitFor(func() bool { return len(tc.allRuns()) == 1 }, "request running")
	tc.cancel()
	tc.waitFor(func() bool { return !tc.isReady() }, "not ready")
	r := <-answers
	requireNoError(t, r)
	is.Equal(strings.Count(r.body, "data: token"), 8)
	err := <-tc.runResult
	is.NoErr(err)
	tc.runResult <- err
	_, held := tc.store.GetString("fescuepoint/orders")
	is.True(!held)
}

// TestRequestLogLine checks that a request's log line has its ID, what decided its handling and
// how it ended.
func TestRequestLogLine(t *testing.T) {
	tc := newTestCluster(t)
	tc.queueBehaviours(fpfake.RunAndReset)
	tc.sendRequest("call", nil)
	tc.waitFor(func() bool {
		for line := range strings.Lines(tc.logs.String()) {
			if strings.Contains(line, `"RequestID":"id-1"`) && strings.Contains(line, `"request failed"`) &&
				strings.Contains(line, `"ConfigVersion":1`) && strings.Contains(line, "ProofAge") && strings.Contains(line, "broken") {
				return true
			}
		}
		return false
	}, "the request's log line")
}

// TestMetrics checks that counters and latency histograms by team and route are served.
func TestMetrics(t *testing.T) {
	tc := newTestCluster(t)
	tc.sendRequest("call", nil)
	tc.waitFor(func() bool {
		res, err := http.Get("http://" + tc.hostSettings.MetricsAddress + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		text, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(text), `fescuepoint_request_seconds_bucket{team="team",class="call"`) &&
			strings.Contains(string(text), `fescuepoint_requests_total{team="team",class="call",outcome="answered"`)
	}, "metrics")
}

func findRun(runs []fpfake.ExecutedRequest, id string) *fpfake.ExecutedRequest {
	for i := range runs {
		if runs[i].ID == id {
			return &runs[i]
		}
	}
	return nil
}

func replaceBody(text string) func(*http.Request) {
	return func(q *http.Request) {
		n, err := http.NewRequest(q.Method, q.URL.String(), strings.NewReader(text))
		if err != nil {
			panic(err)
		}
		n.Header, n.Host = q.Header, q.Host
		*q = *n
	}
}
