package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// namedLimit is the replica's Server-Limit in requests a second.
	namedLimit = 20.0
	// callsPerSecond is what the clients send at each machine.
	callsPerSecond = 24
	limitWindow    = 4 * time.Second
	contactTime    = 4 * time.Second
	// lostTime is for how long the store loses answers, lateBy how much later it carries out such a transaction.
	lostTime = 4500 * time.Millisecond
	lateBy   = 4 * time.Second
)

// playLimit starts three machines while the store loses the answers of some writes and carries them out late. LIMIT:
// from contact_ms after the replica first named its limit, it must not get in 4 s more than one and a half times what
// the limit allows, and 5 requests.
func playLimit(trouble bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"penang-a", "penang"}, {"johor-a", "johor"}}, 284)
	began := time.Now()
	lostOnce := map[string]bool{}
	if trouble {
		// The first transaction of each of two machines that writes a key with the machine's name.
		d.store.loseLate = func(t txn) time.Duration {
			for _, m := range d.machines[1:] {
				for _, p := range t.Puts {
					if time.Since(began) < lostTime && strings.Contains(p.Key, m.name) && !lostOnce[m.name] {
						lostOnce[m.name] = true
						return lateBy
					}
				}
			}
			return 0
		}
	}
	r := d.startPlain(101, "i-course1", "course-app", "klang-a", 15*time.Millisecond, namedLimit)
	d.store.put("op/config", map[string]any{
		"version": 7, "limits": limits, "services": []any{service("course-app")},
		"routes":  []any{route("roster", "/roster/", "idempotent", "course-app", map[string]any{"max_attempts": 2})},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	})
	d.startAll()
	time.Sleep(time.Until(began.Add(lostTime)))
	d.store.mu.Lock()
	writes, lost := d.store.writes, d.store.lost
	d.store.mu.Unlock()
	note("the store lost the answers of %d of %d writes", lost, writes)
	// Traffic starts 10 s after the machines.
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	for _, k := range d.store.keysUnder("fescuepoint/") {
		note("the store has %s", k)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(24 * time.Second)
	for _, m := range d.machines {
		for n := range callsPerSecond {
			clients.Go(func() {
				c := newClient()
				time.Sleep(time.Second * time.Duration(n) / callsPerSecond)
				for time.Now().Before(end) {
					next := time.Now().Add(time.Second)
					call(c, m, "GET", fmt.Sprintf("/roster/%d", n), "school-key", nil, 3000)
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	clients.Wait()
	list := r.arrivals()
	if len(list) == 0 {
		cannotRun("nothing arrived")
	}
	most, mostAt := mostIn(list)
	allowed := 1.5*namedLimit*limitWindow.Seconds() + 5
	verdict(float64(most) > allowed, "the replica got %d requests in %v from %.1f s on, %.0f are allowed; the store lost the answers of %d of %d writes at the start",
		most, limitWindow, mostAt.Seconds(), allowed, lost, writes)
}

// mostIn returns the most arrivals in one limitWindow, from contactTime after the first one, and when it began.
func mostIn(list []arrival) (int, time.Duration) {
	from := list[0].at.Add(contactTime)
	most, mostAt := 0, time.Duration(0)
	for i, a := range list {
		if a.at.Before(from) {
			continue
		}
		n := 0
		for _, b := range list[i:] {
			if b.at.Sub(a.at) > limitWindow {
				break
			}
			n++
		}
		if n > most {
			most, mostAt = n, a.at.Sub(started)
		}
	}
	return most, mostAt
}

const (
	// lowLimit is a limit of one request in 50 s, and lowLimitCalls what the clients send a second at each machine.
	lowLimit      = 0.02
	lowLimitCalls = 8
)

// playLowLimit lets a replica in need name a limit near 0 to nine machines. LIMIT, as in playLimit.
func playLowLimit(trouble bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"klang-a", "klang"}, {"klang-a", "klang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"penang-a", "penang"}, {"johor-a", "johor"}, {"johor-a", "johor"}}, 284)
	limit := 0.0
	if trouble {
		limit = lowLimit
	}
	r := d.startPlain(101, "i-course1", "course-app", "klang-a", 600*time.Millisecond, limit)
	d.store.put("op/config", map[string]any{
		"version": 7, "limits": limits, "services": []any{service("course-app")},
		"routes":  []any{route("roster", "/roster/", "idempotent", "course-app", map[string]any{"max_attempts": 2})},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	})
	d.startAll()
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	for _, m := range d.machines {
		for n := range lowLimitCalls {
			clients.Go(func() {
				c := newClient()
				time.Sleep(time.Second * time.Duration(n) / lowLimitCalls)
				for time.Now().Before(end) {
					next := time.Now().Add(time.Second)
					call(c, m, "GET", fmt.Sprintf("/roster/%d", n), "school-key", nil, 3000)
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	clients.Wait()
	most, mostAt := mostIn(r.arrivals())
	allowed := 1.5*lowLimit*limitWindow.Seconds() + 5
	verdict(trouble && float64(most) > allowed, "the replica got %d requests in %v from %.1f s on, %.1f are allowed with its limit of %v a second", most, limitWindow, mostAt.Seconds(), allowed, limit)
}
