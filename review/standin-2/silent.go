package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// darkTime is how long a crashed replica does not respond; after it a new instance is there.
	darkTime = 3 * time.Second
	// poisonPath is that of the request that crashes replicas; it comes again every poisonGap, at the machines in turn.
	poisonPath = "/roster/poison"
	poisonGap  = 1500 * time.Millisecond
	poisonTime = 40 * time.Second
)

type (
	// crashingReplica crashes as it begins to run the poisoned request.
	crashingReplica struct {
		store         *store
		name, address string
		poisoned      bool
		// resets says that a crash resets the replica's channels and refuses new ones, as that of a process does; without it
		// the replica does not respond, as a machine without power.
		resets bool
		mu     sync.Mutex
		starts int
		dark   chan struct{}
		server *http.Server
		fleet  *crashes
	}

	// crashes collects what happened at all replicas of a service.
	crashes struct {
		mu       sync.Mutex
		crashed  []time.Time
		arrivals []time.Time
		served   int
	}
)

func (r *crashingReplica) start() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		cannotRun("listen at %s: %v", r.address, err)
	}
	r.mu.Lock()
	r.starts++
	id, dark, born := fmt.Sprintf("i-%s-%d", r.name, r.starts), make(chan struct{}), time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.answer(w, q, id, born, dark) })}
	r.dark, r.server = dark, server
	r.mu.Unlock()
	r.store.put("servers/"+id, map[string]any{
		"service": "course-app", "address": r.address, "zone": "klang-a", "version": "v1", "slot_count": 6, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": born,
	})
	note("%s starts", id)
	go func() { _ = server.Serve(l) }()
}

// crash ends the instance. A new one is there after darkTime.
func (r *crashingReplica) crash(id string, dark chan struct{}) {
	r.mu.Lock()
	select {
	case <-dark:
		r.mu.Unlock()
		return
	default:
		close(dark)
	}
	server := r.server
	r.mu.Unlock()
	r.fleet.mu.Lock()
	r.fleet.crashed = append(r.fleet.crashed, time.Now())
	r.fleet.mu.Unlock()
	note("%s crashes", id)
	time.AfterFunc(silentTime, func() { r.store.remove("servers/" + id) })
	go func() {
		if r.resets {
			_ = server.Close()
			time.Sleep(darkTime)
			r.start()
			return
		}
		release := silence(server, r.address)
		time.Sleep(darkTime)
		release()
		_ = server.Close()
		r.start()
	}()
}

// silence makes an address leave new channels without a response: its queue is full. The open channels stay open and
// nothing comes on them.
func silence(server *http.Server, address string) func() {
	// Shutdown closes the listener at once and then waits for the open channels, on which nothing ends.
	go func() { _ = server.Shutdown(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	host, port, _ := net.SplitHostPort(address)
	var a syscall.SockaddrInet4
	copy(a.Addr[:], net.ParseIP(host).To4())
	_, _ = fmt.Sscan(port, &a.Port)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		err = syscall.Bind(fd, &a)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		cannotRun("silence %s: %v", address, err)
	}
	var fillers []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	return func() {
		for _, c := range fillers {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
	}
}

func (r *crashingReplica) answer(w http.ResponseWriter, q *http.Request, instance string, born int64, dark chan struct{}) {
	id := q.Header.Get("Attempt-Id")
	select {
	case <-dark:
		<-q.Context().Done()
		return
	default:
	}
	if q.URL.Path == "/report" {
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "inflight": 0, "born": born})
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", instance)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if q.URL.Path == poisonPath {
		r.fleet.mu.Lock()
		r.fleet.arrivals = append(r.fleet.arrivals, time.Now())
		r.fleet.mu.Unlock()
		note("%s begins to run %s, the poisoned request", instance, id)
		if r.poisoned {
			r.crash(instance, dark)
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	select {
	case <-time.After(15 * time.Millisecond):
	case <-dark:
		<-q.Context().Done()
		return
	}
	w.Header().Set("Replica-Signature", "sig."+instance)
	w.Header().Set("Replica-Load", "1,0,6")
	fmt.Fprintf(w, "answer to %s", id)
}

// playSilentCrashes lets a request come again and again that crashes each replica that begins to run it, beside sound
// requests; with otherQueries its query differs each time. BUDGET: it must not reach replicas more than three times later than contact_ms after its third crash.
func playSilentCrashes(trouble, resets, otherQueries bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"klang-a", "klang"}, {"penang-a", "penang"}}, 284)
	fleet := &crashes{}
	for i := range 4 {
		r := &crashingReplica{
			store: d.store, name: fmt.Sprintf("course%d", i+1), address: fmt.Sprintf("%s%d:8080", d.network, 101+i), poisoned: trouble, resets: resets,
			fleet: fleet,
		}
		r.start()
	}
	d.store.put("op/config", map[string]any{
		"version": 7, "limits": limits, "services": []any{service("course-app")},
		"routes":  []any{route("roster", "/roster/", "idempotent", "course-app", map[string]any{"timeout_ms": 1500, "max_attempts": 2})},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	})
	d.startAll()
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sound, served := 0, 0
	stop := time.Now().Add(poisonTime)
	for i, m := range d.machines {
		for n := range 6 {
			clients.Go(func() {
				c := newClient()
				time.Sleep(time.Duration(n)*50*time.Millisecond + time.Duration(i)*15*time.Millisecond)
				for k := 0; time.Now().Before(stop); k++ {
					next := time.Now().Add(300 * time.Millisecond)
					o := call(c, m, "GET", fmt.Sprintf("/roster/%d-%d-%d", i, n, k), "school-key", nil, 3000)
					mu.Lock()
					sound++
					if o.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for n := 0; time.Now().Before(stop); n++ {
		next := time.Now().Add(poisonGap)
		path := poisonPath
		if otherQueries {
			path = fmt.Sprintf("%s?at=%d", poisonPath, n)
		}
		clients.Go(func() { call(newClient(), d.machines[n%len(d.machines)], "GET", path, "school-key", nil, 3000) })
		time.Sleep(time.Until(next))
	}
	clients.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	late := 0
	if len(fleet.crashed) >= 3 {
		for _, at := range fleet.arrivals {
			if at.Sub(fleet.crashed[2]) > contactTime {
				late++
			}
		}
	}
	verdict(late > 3, "the request reached replicas %d times and crashed %d; %d times later than %v after the third crash, 3 are allowed; %d of %d sound requests were served",
		len(fleet.arrivals), len(fleet.crashed), late, contactTime, served, sound)
}
