package fpgateway_test

import (
	"context"
	"io"
	"net/http"
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

// TestServes sends a request of each kind and checks what its replica was told.
func TestServes(t *testing.T) {
	w := newWorld(t)
	for _, route := range []string{"chat", "hint", "call", "read"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			before := len(w.runs())
			r := w.ask(route, func(q *http.Request) {
				q.Header.Set("Tenant", "somebody-else")
				q.Header.Set("Kv-Hold", "1")
				q.Header.Set("Kv-From", "1")
				q.Header.Set("Pin-Ms", "1")
				q.Header.Set("Cache-Salt", "mine")
				q.Header.Set("Expect-Replica", "x")
				q.Header.Set("Expect-Version", "9")
				q.Header.Set("X-Other", "kept")
			})
			noError(t, r)
			is.Equal(r.status, http.StatusOK)
			is.True(r.header.Get("Replica-Signature") != "")
			runs := w.runs()
			is.Equal(len(runs), before+1)
			got := find(runs, r.header.Get("Attempt-Id"))
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

// TestBadInput checks what callers must not send; nothing of it may run.
func TestBadInput(t *testing.T) {
	w := newWorld(t)
	tests := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"unknown key":     {func(q *http.Request) { q.Header.Set("Authorization", "Token other") }, http.StatusUnauthorized},
		"no key":          {func(q *http.Request) { q.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown path":    {func(q *http.Request) { q.URL.Path = "/nowhere/" }, http.StatusNotFound},
		"unknown host":    {func(q *http.Request) { q.Host = "b.example" }, http.StatusNotFound},
		"long header":     {func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 5000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"very long":       {func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 100_000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"long body":       {withBody(strings.Repeat("x", 10_001)), http.StatusRequestEntityTooLarge},
		"wrong deadline":  {func(q *http.Request) { q.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
		"deadline is now": {func(q *http.Request) { q.Header.Set("Deadline-Ms", "0.01") }, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := w.ask("call", tt.change)
			noError(t, r)
			is.Equal(r.status, tt.status)
			is.Equal(len(w.runs()), 0)
		})
	}
}

// TestNoConfiguration checks that a host that knows nothing refuses for now and is not ready.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	w := prepareWorld(t)
	w.start()
	w.await(func() bool { return w.ask("call", nil).err == nil }, "listening")
	r := w.ask("call", nil)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.True(!w.ready())
	w.store.Put("op/config", document(1))
	w.await(w.ready, "ready with the first configuration")
}

// TestOutcomes checks what callers see, and how often a request runs, when replicas misbehave.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		route  string
		treat  []fpfake.Behaviour
		status int
		runs   int
		body   string
		cut    bool
	}{
		"call shed everywhere is refused":              {route: "call", treat: []fpfake.Behaviour{fpfake.Shed}, status: 503},
		"call with its answer lost is unknown":         {route: "call", treat: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 1},
		"call reset before it ran is unknown":          {route: "call", treat: []fpfake.Behaviour{fpfake.ResetBefore}, status: 502},
		"call truncated is unknown":                    {route: "call", treat: []fpfake.Behaviour{fpfake.Truncate}, status: 502, runs: 1},
		"call without signature is unknown":            {route: "call", treat: []fpfake.Behaviour{fpfake.Unsigned}, status: 502, runs: 1},
		"call left silent ends at the route's timeout": {route: "call", treat: []fpfake.Behaviour{fpfake.Silent}, status: 504, runs: 1},
		"call after a stray answer gets its own":       {route: "call", treat: []fpfake.Behaviour{fpfake.Stray}, status: 200, runs: 1, body: "answer to id-1"},
		"call without a length is whole":               {route: "call", treat: []fpfake.Behaviour{fpfake.Unframed}, status: 200, runs: 1, body: "answer to id-1"},
		"call's own failure is handed on":              {route: "call", treat: []fpfake.Behaviour{fpfake.Fail}, status: 500, runs: 1, body: "failed"},
		"read with its answer lost runs again":         {route: "read", treat: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 2},
		"read that fails twice hands the failure on":   {route: "read", treat: []fpfake.Behaviour{fpfake.Fail}, status: 500, runs: 2, body: "failed"},
		"chat cut midway looks incomplete":             {route: "chat", treat: []fpfake.Behaviour{fpfake.Truncate}, status: 200, runs: 1, cut: true},
		"chat with its answer lost is unknown":         {route: "chat", treat: []fpfake.Behaviour{fpfake.RunAndReset}, status: 502, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.all(tt.treat...)
			r := w.ask(tt.route, nil)
			is.Equal(r.status, tt.status)
			is.Equal(r.err != nil, tt.cut)
			is.Equal(len(w.runs()), tt.runs)
			if tt.body != "" {
				is.Equal(r.body, tt.body)
			}
			if tt.status == http.StatusServiceUnavailable {
				is.True(r.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestTriesAnother checks that what one replica did not run another does.
func TestTriesAnother(t *testing.T) {
	for name, b := range map[string]fpfake.Behaviour{"shed": fpfake.Shed} {
		for _, route := range []string{"chat", "call", "read"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				w.engines[0].Always(b)
				w.services[0].Always(b)
				for range 6 {
					r := w.ask(route, nil)
					noError(t, r)
					is.Equal(r.status, http.StatusOK)
				}
				is.Equal(len(w.runs()), 6)
			})
		}
	}
}

// TestResumes checks that a resumable stream that breaks goes on at another replica, whole and under the first one's signature.
func TestResumes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.all(fpfake.Truncate)
	w.engines[0].Events, w.engines[1].Events = 6, 6
	r := w.ask("hint", nil)
	// The second replica breaks off too; with two attempts the stream ends incomplete.
	is.True(r.err != nil)
	is.Equal(r.body, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n")
	r = w.ask("hint", nil)
	noError(t, r)
	is.Equal(strings.Count(r.body, "data: token"), 6)
}

// TestTwiceLeavesNoTrace checks that an answer nobody asked for never reaches the next caller.
func TestTwiceLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.all(fpfake.Twice, fpfake.Twice, fpfake.Twice)
	for range 8 {
		r := w.ask("read", nil)
		noError(t, r)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, "answer to "+r.header.Get("Attempt-Id"))
	}
}

// TestCallerLeaves checks that a run ends soon after its caller has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for _, e := range w.engines {
		e.Events, e.Pause = 100, 50*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r := w.ask("chat", func(q *http.Request) { *q = *q.WithContext(ctx) })
	is.True(r.err != nil)
	left := fpclock.Boot()
	w.await(func() bool { return w.engines[0].Abandoned()+w.engines[1].Abandoned() == 1 }, "the run's end")
	is.True(fpclock.Boot()-left < 500*time.Millisecond)
}

// TestKeyTakenAway checks that a key is refused once it is taken away, and that
// a host that can't ask the store stops accepting keys before the bound.
func TestKeyTakenAway(t *testing.T) {
	is := is.New(t)
	w := prepareWorld(t)
	w.settings.Fresh.Revoke = 1500 * time.Millisecond
	w.store.Put("op/config", document(1))
	w.start()
	w.await(w.ready, "ready")
	is.Equal(w.ask("call", nil).status, http.StatusOK)
	w.store.SetFault(fpfake.StoreFault{Silent: true})
	silent := fpclock.Boot()
	w.await(func() bool { return w.ask("read", nil).status == http.StatusServiceUnavailable }, "refusal without proof")
	is.True(fpclock.Boot()-silent < 1700*time.Millisecond)
	is.True(!w.ready())
	d := document(2)
	d["tenants"] = []any{map[string]any{"name": "team", "api_keys": []string{"new"}}}
	w.store.Put("op/config", d)
	w.store.SetFault(fpfake.StoreFault{})
	w.await(w.ready, "ready again")
	w.await(func() bool { return w.ask("call", nil).status == http.StatusUnauthorized }, "the key is refused")
}

// TestNeverBack checks that an older configuration is not put in force.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	d := document(7)
	d["routes"] = d["routes"].([]any)[:3]
	w.store.Put("op/config", d)
	w.await(func() bool { return w.ask("read", nil).status == http.StatusNotFound }, "version 7")
	w.store.Put("op/config", document(6))
	w.store.Compact()
	fpclock.Sleep(context.Background(), 300*time.Millisecond)
	is.Equal(w.ask("read", nil).status, http.StatusNotFound)
}

// TestLeaving checks that a draining replica and one that is gone get no new
// work, and that an entry that can't be read names no replica.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.store.Put("servers/s1", w.services[0].Entry("draining"))
	w.store.Put("servers/x1", []byte(`{"service":"app","address":7}`))
	w.store.Put("servers/x2", []byte(`not JSON`))
	w.store.Put("servers/x3", map[string]any{"service": "app", "address": "127.0.0.1:1", "zone": "z1", "state": "asleep"})
	w.await(func() bool { return strings.Count(w.logs.String(), "entry ignored") >= 3 }, "entries ignored")
	before := len(w.services[0].Runs())
	for range 10 {
		is.Equal(w.ask("call", nil).status, http.StatusOK)
	}
	is.Equal(len(w.services[0].Runs()), before)
	w.store.Delete("servers/s2")
	w.await(func() bool { return w.ask("call", nil).status == http.StatusServiceUnavailable }, "nobody left")
}

// TestRollout checks that all engines come to the newest weights that are named, under one holder.
func TestRollout(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	w.store.Put("op/version/m", map[string]any{"model": "m", "version": 4})
	w.await(func() bool { return w.engines[0].Version() == 4 && w.engines[1].Version() == 4 }, "weights in place")
	w.await(func() bool { return w.ask("chat", nil).status == http.StatusOK }, "served on the new weights")
	holder, ok := w.store.Value("fescuepoint/orders")
	is.True(ok)
	is.Equal(holder, "h1")
}

// TestStop checks that a planned stop cuts no request, says that the host is
// not ready, and gives up what it holds.
func TestStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for _, e := range w.engines {
		e.Events, e.Pause = 8, 50*time.Millisecond
	}
	w.await(func() bool { _, ok := w.store.Value("fescuepoint/orders"); return ok }, "lease held")
	answers := make(chan reply, 1)
	go func() { answers <- w.ask("chat", nil) }()
	w.await(func() bool { return len(w.runs()) == 1 }, "running")
	w.stop()
	w.await(func() bool { return !w.ready() }, "not ready")
	r := <-answers
	noError(t, r)
	is.Equal(strings.Count(r.body, "data: token"), 8)
	err := <-w.ended
	is.NoErr(err)
	w.ended <- err
	_, held := w.store.Value("fescuepoint/orders")
	is.True(!held)
}

// TestExplains checks that a request's line tells its ID, what decided and how it ended.
func TestExplains(t *testing.T) {
	w := newWorld(t)
	w.all(fpfake.RunAndReset)
	w.ask("call", nil)
	w.await(func() bool {
		for line := range strings.Lines(w.logs.String()) {
			if strings.Contains(line, `"RequestID":"id-1"`) && strings.Contains(line, `"request failed"`) &&
				strings.Contains(line, `"ConfigVersion":1`) && strings.Contains(line, "ProofAge") && strings.Contains(line, "broken") {
				return true
			}
		}
		return false
	}, "the request's line")
}

// TestMetrics checks that counters and latency histograms of a team and route are served.
func TestMetrics(t *testing.T) {
	w := newWorld(t)
	w.ask("call", nil)
	w.await(func() bool {
		res, err := http.Get("http://" + w.settings.Metrics + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		text, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(text), `fescuepoint_request_seconds_bucket{team="team",class="call"`) &&
			strings.Contains(string(text), `fescuepoint_requests_total{team="team",class="call",outcome="answered"`)
	}, "metrics")
}

func find(runs []fpfake.Run, id string) *fpfake.Run {
	for i := range runs {
		if runs[i].ID == id {
			return &runs[i]
		}
	}
	return nil
}

func withBody(text string) func(*http.Request) {
	return func(q *http.Request) {
		n, err := http.NewRequest(q.Method, q.URL.String(), strings.NewReader(text))
		if err != nil {
			panic(err)
		}
		n.Header, n.Host = q.Header, q.Host
		*q = *n
	}
}
