package fpgateway_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/platform/fpadapter"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
	"github.com/fescuepoint/fescuepoint/platform/fpsoak"
)

type (
	// world is a store, replicas and one host before them.
	world struct {
		t        *testing.T
		store    *fpfake.Store
		engines  []*fpfake.Replica
		services []*fpfake.Replica
		settings fpgateway.Settings
		logs     *lockedBuffer
		stop     context.CancelFunc
		ended    chan error
		serial   int
	}

	lockedBuffer struct {
		mu sync.Mutex
		b  bytes.Buffer
	}

	reply struct {
		status int
		body   string
		header http.Header
		err    error
	}
)

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// document is a configuration of three routes: chat and hint to the engines, call and read to the service.
func document(version int) map[string]any {
	route := func(name, kind, service string, attempts int, resumable, sticky bool) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": attempts,
			"public": false, "sticky": sticky, "resumable": resumable, "gap_target_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "streaming", "llm", 1, false, true),
			route("hint", "streaming", "llm", 2, true, true),
			route("call", "non_idempotent", "app", 1, false, false),
			route("read", "idempotent", "app", 2, false, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
				"slot_count": 8, "kv_capacity_tokens": 200000, "kv_token_bytes": 18432, "link_mbps": 370000.0,
				"max_concurrency": 12, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 4096, "max_body_bytes": 10000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api_keys": []string{"key"}, "priority": 1, "dedicated": true}},
	}
}

// newWorld starts two engines, two replicas of a service and a host that is ready.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := prepareWorld(t)
	w.store.Put("op/config", document(1))
	w.start()
	w.await(func() bool { return w.ready() }, "ready")
	return w
}

// prepareWorld starts all but the host, and writes no configuration.
func prepareWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: fpfake.NewStore(), logs: &lockedBuffer{}}
	t.Cleanup(w.store.Close)
	for _, id := range []string{"e1", "e2"} {
		w.engines = append(w.engines, fpfake.NewReplica(id, "llm", "z1", "m"))
	}
	for _, id := range []string{"s1", "s2"} {
		w.services = append(w.services, fpfake.NewReplica(id, "app", "z1", ""))
	}
	for _, r := range append(append([]*fpfake.Replica{}, w.engines...), w.services...) {
		w.store.Put("servers/"+r.ID, r.Entry("ready"))
		t.Cleanup(r.Close)
	}
	w.settings = fpgateway.Settings{
		Host: "h1", Place: fpbalance.Location{Zone: "z1", Region: "r1"}, Zones: map[string]string{"z1": "r1"},
		Callers: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t), Store: w.store.Address(),
		Fresh: fpfresh.Bounds{Revoke: 5 * time.Second, Apply: 3 * time.Second},
		Retry: fplimit.RetryRule{Ratio: 0.2, Slack: 60, Window: 10 * time.Second},
		Grace: 8 * time.Second, Notice: 50 * time.Millisecond, OldWeights: 15 * time.Second,
	}.WithDefaults()
	return w
}

func (w *world) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g := fpgateway.New(w.settings, fpgateway.Parts{
		Store: fpadapter.NewStore(w.settings.Store), Dialect: fpadapter.Dialect{}, Clock: fpclock.Boot, Log: fplog.NewQueue(w.logs),
	})
	w.ended = make(chan error, 1)
	w.stop = cancel
	go func() { w.ended <- g.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		select {
		case err := <-w.ended:
			w.ended <- err
		case <-time.After(10 * time.Second):
			w.t.Error("the host did not stop")
		}
	})
}

// beside starts one more host of the same zone; both reach the store through
// proxies of their own.
func (w *world) beside(change func(*fpgateway.Settings)) (*world, map[*world]*fpsoak.Proxy) {
	w.t.Helper()
	other := &world{t: w.t, store: w.store, engines: w.engines, services: w.services, settings: w.settings, logs: &lockedBuffer{}}
	other.settings.Host = "h2"
	proxies := make(map[*world]*fpsoak.Proxy)
	for _, o := range []*world{w, other} {
		p, err := fpsoak.NewProxy(w.store.Address())
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(p.Close)
		proxies[o] = p
		o.settings.Store = p.Address()
		o.settings.Callers, o.settings.Ready, o.settings.Metrics = freeAddress(w.t), freeAddress(w.t), freeAddress(w.t)
		o.settings.PeerPort = int(netip.MustParseAddrPort(freeAddress(w.t)).Port())
		change(&o.settings)
		o.start()
		w.await(o.ready, "ready")
	}
	return other, proxies
}

// await waits for a condition, 5 s at most.
func (w *world) await(ok func() bool, what string) {
	w.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		fpclock.Sleep(context.Background(), 10*time.Millisecond)
	}
	w.t.Fatalf("not in time: %s\n%s", what, w.logs)
}

func (w *world) ready() bool {
	res, err := http.Get("http://" + w.settings.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// ask sends a request of a route with changes to it, and reads the answer.
func (w *world) ask(route string, change func(*http.Request)) reply {
	w.t.Helper()
	w.serial++
	method, body := http.MethodPost, "body"
	if route == "read" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+w.settings.Callers+"/"+route+"/x?q=a%2Fb", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Attempt-Id", "id-"+strconv.Itoa(w.serial))
	req.Header.Set("Authorization", "Token key")
	req.Header.Set("Deadline-Ms", "2000")
	if route == "chat" || route == "hint" {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "1500,20")
		req.Header.Set("Prompt-Prefix", "aa:1200,bb:300")
	}
	if change != nil {
		change(req)
	}
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(data), header: res.Header, err: err}
}

// runs returns the requests that ran on all replicas.
func (w *world) runs() []fpfake.Run {
	var out []fpfake.Run
	for _, r := range append(append([]*fpfake.Replica{}, w.engines...), w.services...) {
		out = append(out, r.Runs()...)
	}
	return out
}

func (w *world) all(b ...fpfake.Behaviour) {
	for _, r := range append(append([]*fpfake.Replica{}, w.engines...), w.services...) {
		r.Next(b...)
	}
}

func noError(t *testing.T, r reply) {
	t.Helper()
	is.New(t).NoErr(r.err)
}
