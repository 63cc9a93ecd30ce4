package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// brittleSlots is the room of a replica, and usualQueue how many may wait until contactTime after it first said
	// that it is brittle; then none may.
	brittleSlots = 6
	usualQueue   = 24
	// brittleN is what the replicas name in Server-Brittle: one that turns more away in a second falls over.
	brittleN    = 2
	brittleWork = 180 * time.Millisecond
	// downTime is how long a replica is down that fell over, and silentTime after how long its entry goes.
	downTime   = 3 * time.Second
	silentTime = 3600 * time.Millisecond
	// calmRate are the requests a second at each machine, burstRate those in a burst of 1.7 times as many, which takes
	// burstLength and comes bursts times.
	calmRate    = 10
	burstRate   = 17
	burstLength = 3 * time.Second
	bursts      = 8
)

type (
	// brittleReplica is a replica that falls over when it has to turn many requests away.
	brittleReplica struct {
		store         *store
		name, address string
		// brittle says that the replica is brittle and says so.
		brittle    bool
		mu         sync.Mutex
		starts     int
		id         string
		born       int64
		server     *http.Server
		firstSaid  time.Time
		running    int
		slots      chan struct{}
		rejectedAt []time.Time
		rejections int
		falls      []time.Time
	}
)

func (d *deployment) startBrittle(n int, name, zone string, brittle bool) *brittleReplica {
	r := &brittleReplica{store: d.store, name: name, brittle: brittle, address: fmt.Sprintf("%s%d:8080", d.network, n)}
	r.start(zone)
	return r
}

// start starts the replica as a new instance with a new id.
func (r *brittleReplica) start(zone string) {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		cannotRun("listen at %s: %v", r.address, err)
	}
	r.mu.Lock()
	r.starts++
	r.id, r.born, r.running, r.rejectedAt = fmt.Sprintf("i-%s-%d", r.name, r.starts), time.Now().UnixMilli(), 0, nil
	r.slots = make(chan struct{}, brittleSlots)
	id, slots := r.id, r.slots
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.answer(w, q, zone, id, slots) })}
	server := r.server
	r.store.put("servers/"+r.id, map[string]any{
		"service": "course-app", "address": r.address, "zone": zone, "version": "v1", "slot_count": brittleSlots, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": r.born,
	})
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// fall ends the instance; another one starts after downTime. The mutex must be held.
func (r *brittleReplica) fall(zone string) {
	note("%s falls over: it had to turn more than %d requests away in a second", r.id, brittleN)
	r.falls = append(r.falls, time.Now())
	old, server := r.id, r.server
	r.rejectedAt = nil
	go func() {
		_ = server.Close()
		time.AfterFunc(silentTime, func() { r.store.remove("servers/" + old) })
		time.Sleep(downTime)
		r.start(zone)
	}()
}

func (r *brittleReplica) answer(w http.ResponseWriter, q *http.Request, zone, instance string, slots chan struct{}) {
	id := q.Header.Get("Attempt-Id")
	if r.brittle {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleN))
	}
	if q.URL.Path == "/report" {
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "inflight": 0, "born": r.born})
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", instance)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	now := time.Now()
	r.mu.Lock()
	if r.firstSaid.IsZero() {
		r.firstSaid = now
	}
	room := brittleSlots
	if !r.brittle || now.Sub(r.firstSaid) < contactTime {
		room += usualQueue
	}
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,%d,%d", min(r.running, brittleSlots), max(r.running-brittleSlots, 0), brittleSlots))
	if r.running >= room {
		r.rejections++
		kept := []time.Time{now}
		for _, t := range r.rejectedAt {
			if now.Sub(t) < time.Second {
				kept = append(kept, t)
			}
		}
		r.rejectedAt = kept
		note("%s turns %s away: %d are running", instance, id, r.running)
		if r.brittle && len(kept) > brittleN && r.id == instance {
			r.fall(zone)
		}
		r.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running++
	r.mu.Unlock()
	slots <- struct{}{}
	time.Sleep(brittleWork)
	<-slots
	r.mu.Lock()
	if r.id == instance {
		r.running--
	}
	r.mu.Unlock()
	w.Header().Set("Replica-Signature", "sig."+instance)
	fmt.Fprintf(w, "answer to %s", id)
}

// playBrittle sends requests through nine machines to replicas that are brittle; without trouble they are not. LIMIT: in one time in which a
// service's replicas say that they are brittle, they must not fall over more often than twice and a tenth of their number.
func playBrittle(trouble bool) {
	places := []place{{"klang-a", "klang"}, {"klang-a", "klang"}, {"klang-a", "klang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"johor-a", "johor"}, {"johor-a", "johor"}}
	d := newDeployment(places, 284)
	var replicas []*brittleReplica
	for i, zone := range []string{"klang-a", "penang-a", "johor-a"} {
		replicas = append(replicas, d.startBrittle(101+i, fmt.Sprintf("course%d", i+1), zone, trouble))
	}
	d.store.put("op/config", map[string]any{
		"version": 7, "limits": limits, "services": []any{service("course-app")},
		"routes":  []any{route("cert", "/cert/", "non_idempotent", "course-app", map[string]any{"timeout_ms": 1500})},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	})
	d.startAll()
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	send := func(rate int, span time.Duration) {
		end := time.Now().Add(span)
		for _, m := range d.machines {
			for n := range rate {
				clients.Go(func() {
					c := newClient()
					time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
					for time.Now().Before(end) {
						next := time.Now().Add(time.Second)
						o := call(c, m, "POST", fmt.Sprintf("/cert/%d", n), "school-key", nil, 3000)
						mu.Lock()
						statuses[o.status]++
						mu.Unlock()
						time.Sleep(time.Until(next))
					}
				})
			}
		}
		clients.Wait()
	}
	send(calmRate, 6*time.Second)
	for range bursts {
		note("%d requests a second at each machine", burstRate)
		send(burstRate, burstLength)
		note("%d requests a second at each machine", calmRate)
		send(calmRate, burstLength)
	}
	falls, rejections := 0, 0
	for _, r := range replicas {
		r.mu.Lock()
		falls += len(r.falls)
		rejections += r.rejections
		r.mu.Unlock()
	}
	allowed := 2 + 0.1*float64(len(replicas))
	verdict(float64(falls) > allowed, "%d replicas fell over %d times, %.1f are allowed; they turned %d requests away; statuses %v", len(replicas), falls, allowed, rejections, statuses)
}
