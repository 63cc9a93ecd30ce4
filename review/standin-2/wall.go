package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// engine is a replica that keeps parts of prompts under the salt of the request, as PROTOCOL.md describes it.
	engine struct {
		id, address string
		born        int64
		mu          sync.Mutex
		// madeBy holds the tenant whose request made each part, by salt, part and all parts before it.
		madeBy map[string]string
		events []any
		uses   []use
	}

	// use is a part that a request of a tenant used and another tenant's request made.
	use struct {
		at              time.Time
		id, part        string
		tenant, madeBy  string
		salt            string
		sharedWithOther bool
	}
)

func (d *deployment) startEngine(n int, id, zone string) *engine {
	e := &engine{id: id, address: fmt.Sprintf("%s%d:8080", d.network, n), born: time.Now().UnixMilli(), madeBy: map[string]string{}}
	m := http.NewServeMux()
	m.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
			"queued": 0, "inflight": 0, "kv_used": 0, "kv_total": 238579, "kv_handles": 0, "born": e.born,
		})
	})
	m.HandleFunc("GET /kv-events", e.listEvents)
	m.HandleFunc("/", e.answer)
	serve(e.address, m)
	d.store.put("servers/"+id, map[string]any{
		"service": "tutor-llm", "address": e.address, "zone": zone, "version": "v1", "slot_count": 128, "state": "ready", "cold_left_ms": 0,
		"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "seq": 1, "born": e.born,
	})
	return e
}

func (e *engine) listEvents(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		list := e.events[min(since, len(e.events)):]
		next := len(e.events)
		e.mu.Unlock()
		if len(list) > 0 || time.Now().After(end) {
			reply(w, http.StatusOK, map[string]any{"boot_epoch": 1, "next": next, "has_gap": false, "events": append([]any{}, list...)})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (e *engine) answer(w http.ResponseWriter, q *http.Request) {
	id, salt, tenant := q.Header.Get("Attempt-Id"), q.Header.Get("Cache-Salt"), q.Header.Get("Tenant")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", e.id)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	key, cached := salt, true
	for _, p := range strings.Split(q.Header.Get("Prompt-Prefix"), ",") {
		part, tokens, _ := strings.Cut(p, ":")
		key += "|" + part
		maker, found := e.madeBy[key]
		if cached = cached && found; cached {
			e.uses = append(e.uses, use{at: time.Now(), id: id, part: part, tenant: tenant, madeBy: maker, salt: salt, sharedWithOther: maker != tenant})
			note("%s runs %s of %s, salt %q: part %s is kept, made by a request of %s", e.id, id, tenant, salt, part, maker)
			continue
		}
		e.madeBy[key] = tenant
		n, _ := strconv.Atoi(tokens)
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, n, "m0"})
		note("%s runs %s of %s, salt %q: part %s is read", e.id, id, tenant, salt, part)
	}
	e.mu.Unlock()
	w.Header().Set("Replica-Signature", "sig."+e.id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Replica-Load", "1,0,128")
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "id: 1\ndata: v1\n\n")
}

// prompt sends a request with the shared part "5c1e07a2" of a manual.
func prompt(m *machine, key string) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	q, err := http.NewRequest("POST", "http://"+m.front()+"/review/x", strings.NewReader("a question"))
	if err != nil {
		cannotRun("%v", err)
	}
	q.Host = "app.example"
	for k, v := range map[string]string{
		"Attempt-Id": o.id, "Deadline-Ms": "8000", "Model": "m0", "Token-Usage": "17000,20", "Authorization": "Token " + key,
		"Prompt-Prefix": "5c1e07a2:13300," + newID() + ":3700",
	} {
		q.Header.Set(k, v)
	}
	res, err := newClient().Do(q)
	if err != nil {
		o.err = err
		note("%s with %s: %v", o.id, key, err)
		return o
	}
	defer func() { _ = res.Body.Close() }()
	_, o.err = io.Copy(io.Discard, res.Body)
	o.status = res.StatusCode
	note("%s with %s at %s, sent %.3f: %d", o.id, key, m.name, o.sent.Sub(started).Seconds(), o.status)
	return o
}

// playWall makes a tenant dedicated whose requests have made parts. WALL: no request of another tenant may use them.
func playWall(trouble bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"penang-a", "penang"}}, 284)
	engines := []*engine{d.startEngine(101, "i-tutor1", "klang-a"), d.startEngine(102, "i-tutor2", "penang-a")}
	put := func(version int, dedicated bool) time.Time {
		d.store.put("op/config", map[string]any{
			"version": version, "limits": limits,
			"services": []any{map[string]any{
				"name": "tutor-llm", "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slot_count": 128, "kv_capacity_tokens": 238579, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true,
					"stride": 5, "max_concurrency": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0"}},
				},
			}},
			"routes": []any{route("review", "/review/", "streaming", "tutor-llm", map[string]any{
				"timeout_ms": 8000, "target_latency_ms": 800, "gap_target_ms": 300, "sticky": true,
			})},
			"tenants": []any{
				map[string]any{"name": "walled", "api_keys": []string{"walled-key"}, "priority": 1, "dedicated": dedicated},
				map[string]any{"name": "other", "api_keys": []string{"other-key"}, "priority": 1, "dedicated": false},
			},
		})
		note("version %d confirmed: tenant walled is dedicated: %v", version, dedicated)
		return time.Now()
	}
	put(7, false)
	d.startAll()
	time.Sleep(3 * time.Second)
	for range 3 {
		for _, m := range d.machines {
			prompt(m, "walled-key")
		}
		time.Sleep(500 * time.Millisecond)
	}
	confirmed := put(11, trouble)
	// Well beyond config_apply_ms.
	time.Sleep(6 * time.Second)
	served := 0
	for range 4 {
		for _, m := range d.machines {
			if prompt(m, "other-key").status == http.StatusOK {
				served++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	if served == 0 {
		cannotRun("no request of the other tenant was served")
	}
	foreign := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, u := range e.uses {
			if u.sharedWithOther && u.at.After(confirmed) {
				foreign++
			}
		}
		e.mu.Unlock()
	}
	verdict(trouble && foreign > 0, "%d of %d requests of another tenant used a part that a request of tenant walled made; walled is dedicated: %v", foreign, served, trouble)
}
