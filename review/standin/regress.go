package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	rollbackSlack = 250 * time.Millisecond
	cutFor        = 13 * time.Second
	changeGap     = 3500 * time.Millisecond
)

func init() { scenarios["regress"] = regressWhileCutOff }

// regressWhileCutOff cuts a host, which is its zone's only one, off from all replicas, while the operator moves a
// route from one service to another and back.
func regressWhileCutOff(e *environment) bool {
	s := newStore()
	services := []string{"old", "new"}
	put := func(version int) {
		s.put("op/config", configuration(version, route("read", "idempotent", services[version%2], 1500, 2, false, false)))
		e.record.line("confirmed version %d: route read to %s", version, services[version%2])
	}
	version := 2
	put(version)
	zones := []string{"delta-a", "sandmtn-a", "ngeorgia-a"}
	links := map[string]*proxy{}
	for n := range 6 {
		r := &replica{id: fmt.Sprintf("j-%d", n+1), service: services[n%2], zone: zones[n%3], work: 10 * time.Millisecond, store: s, record: e.record}
		r.start("v1")
		links[r.address] = newProxy(r.address)
	}
	e.hosts = newHosts(e.dir, s, "delta-a", "sandmtn-a", "sandmtn-a", "sandmtn-a")
	e.hosts[0].settings["platform"].(map[string]any)["address"] = s.serve(func(a string) string { return links[a].address })
	for _, h := range e.hosts {
		h.start()
	}
	awaitReady(e.hosts)
	time.Sleep(5 * time.Second)

	type seen struct {
		sent, answered time.Time
		service        string
	}
	var mu sync.Mutex
	var all []seen
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			clients.Go(func() {
				c := call{
					host: e.hosts[0], method: "GET", domain: "a.example", path: fmt.Sprintf("/read/%d", n), deadline: 1500 * time.Millisecond,
					header: map[string]string{"Authorization": "Token key-of-the-team"},
				}
				sent := time.Now()
				a := c.send()
				service := ""
				if a.status == 200 {
					_, _ = fmt.Sscan(a.body, &service)
				}
				if service != "" {
					mu.Lock()
					all = append(all, seen{sent, time.Now(), service})
					mu.Unlock()
				}
			})
		}
	})
	type change struct {
		at      time.Time
		service string
	}
	var changes []change
	for range 4 {
		if e.trouble {
			e.record.line("host %s is cut off from all replicas for %v", e.hosts[0].name, cutFor)
			for _, p := range links {
				p.cut()
			}
		}
		time.Sleep(2 * time.Second)
		for range 3 {
			version++
			changes = append(changes, change{time.Now(), services[version%2]})
			put(version)
			time.Sleep(changeGap)
		}
		if e.trouble {
			time.Sleep(cutFor - 2*time.Second - 3*changeGap)
			for _, p := range links {
				p.heal()
			}
			e.record.line("the links are whole again")
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	regressed := 0
	for n, ch := range changes {
		end := time.Now()
		if n+1 < len(changes) {
			end = changes[n+1].at
		}
		first := time.Time{}
		for _, x := range all {
			if x.service == ch.service && x.sent.After(ch.at) && x.answered.Before(end) && (first.IsZero() || x.answered.Before(first)) {
				first = x.answered
			}
		}
		for _, x := range all {
			if !first.IsZero() && x.service != ch.service && x.sent.After(first.Add(rollbackSlack)) && x.answered.Before(end) {
				regressed++
				e.record.line("regress   a request sent %v after version %d was seen to run at %s ran at %s", x.sent.Sub(first).Round(time.Millisecond), n+3, ch.service, x.service)
			}
		}
	}
	summary := fmt.Sprintf("%d requests of %d were handled as an older version allows, more than %v after a newer one was seen", regressed, len(all), rollbackSlack)
	e.record.line("%s", summary)
	fmt.Println(summary)
	return regressed == 0
}
