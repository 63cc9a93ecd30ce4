package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	contact     = 4 * time.Second
	limitWindow = 4 * time.Second
	// limitFactor and limitExtra are the rule's.
	limitFactor = 1.5
	limitExtra  = 5
)

func route(name, domain, prefix, service string, timeoutMs int, public bool) map[string]any {
	return map[string]any{"name": name, "host": domain, "prefix": prefix, "kind": "idempotent", "timeout_ms": timeoutMs, "target_latency_ms": 300,
		"priority": 1, "service": service, "max_attempts": 2, "public": public, "sticky": false, "resumable": false}
}

// limitedConfig returns a configuration with one route.
func limitedConfig() map[string]any {
	return map[string]any{
		"version":  3,
		"routes":   []any{route("status", "ops.example", "/status/", "ops", 3000, false)},
		"services": []any{map[string]any{"name": "ops", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// limitedLoad is what clients ask of hosts before replicas that name a limit.
type limitedLoad struct {
	replicas  []*replica
	stop      chan struct{}
	clients   sync.WaitGroup
	limit     float64
	limitedAt time.Time

	mu     sync.Mutex
	counts map[int]int
	// named holds when each host first passed on an answer of a replica that names a limit.
	named map[string]time.Time
}

// pressLimited has clients ask each host at a rate, until the load is judged.
func pressLimited(hosts []*host, replicas []*replica, perSecond int) *limitedLoad {
	l := &limitedLoad{replicas: replicas, stop: make(chan struct{}), counts: map[int]int{}, named: map[string]time.Time{}}
	for _, h := range hosts {
		c := newClient(h)
		l.clients.Go(func() {
			t := time.NewTicker(time.Second / time.Duration(perSecond))
			defer t.Stop()
			for {
				select {
				case <-l.stop:
					return
				case <-t.C:
				}
				l.clients.Go(func() {
					a := c.send("GET", "ops.example", "/status/x", nil, 3*time.Second, nil)
					l.mu.Lock()
					defer l.mu.Unlock()
					l.counts[a.status]++
					for _, r := range replicas {
						key := h.name + "/" + r.id
						if _, ok := l.named[key]; !ok && a.header.Get("Server-Limit") != "" && a.header.Get("Replica-Signature") == "sig."+r.id+"."+a.id {
							l.named[key] = a.answered
						}
					}
				})
			}
		})
	}
	return l
}

// name has the replicas name a limit from now on.
func (l *limitedLoad) name(limit float64) {
	l.limit, l.limitedAt = limit, time.Now()
	say("each of %d replicas names a limit of %v requests a second from now on", len(l.replicas), limit)
	for _, r := range l.replicas {
		r.setLimit(fmt.Sprint(limit))
	}
}

// judge ends the load and reports whether a replica got more than its limit allows.
func (l *limitedLoad) judge() bool {
	close(l.stop)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	say("answers by status: %v", l.counts)
	isBroken := false
	for _, r := range l.replicas {
		isBroken = l.judgeLimit(r) || isBroken
	}
	return isBroken
}

// judgeLimit counts the requests that reached a replica as the rule does.
func (l *limitedLoad) judgeLimit(r *replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := int(limitFactor*l.limit*limitWindow.Seconds()) + limitExtra
	var counted []time.Time
	perSecond := map[int]int{}
	for _, a := range r.arrivals {
		var name string
		for i := range a.id {
			if a.id[i] == '.' {
				name = a.id[:i]
			}
		}
		at, ok := l.named[name+"/"+r.id]
		perSecond[int(a.at.Sub(record.start).Seconds())]++
		if ok && a.at.Sub(at) >= 500*time.Millisecond && a.at.Sub(l.limitedAt) >= contact {
			counted = append(counted, a.at)
		}
	}
	sort.Slice(counted, func(i, j int) bool { return counted[i].Before(counted[j]) })
	most, at, first := 0, time.Time{}, 0
	for i, t := range counted {
		for t.Sub(counted[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, t
		}
	}
	say("%s: at most %d requests in 4 s (to %.3f s), allowed are %d", r.id, most, at.Sub(record.start).Seconds(), allowed)
	for s := range int(time.Since(record.start).Seconds()) {
		say("%s: second %d: %d requests", r.id, s, perSecond[s])
	}
	return most > allowed
}
