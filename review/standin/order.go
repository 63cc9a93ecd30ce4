package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["order"] = orderAcrossRestart }

// orderAcrossRestart crashes replicas one after the other. Each is back under its ID with the next software
// version after two seconds, and crashes once more a second later.
func orderAcrossRestart(e *environment) bool {
	s := newStore()
	s.put("op/config", configuration(1, route("hint", "streaming", "llm", 8000, 2, true, true)))
	zones := []string{"delta-a", "sandmtn-a", "ngeorgia-a"}
	var replicas []*replica
	for n := range 9 {
		r := &replica{id: fmt.Sprintf("i-%d", n+1), service: "llm", zone: zones[n%3], model: "m0", events: 25, eventDelay: 100 * time.Millisecond, store: s, record: e.record}
		r.start("v1")
		replicas = append(replicas, r)
	}
	e.startHosts(s, "delta-a", "delta-a", "sandmtn-a", "sandmtn-a", "ngeorgia-a", "ngeorgia-a")
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	joined := 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(8 * time.Millisecond):
			}
			clients.Go(func() {
				c := streamCall(e.hosts[n%len(e.hosts)], n, 8*time.Second)
				var versions []string
				c.onEvent = func(_ int, data string) {
					if f := strings.Fields(data); len(f) > 1 && (len(versions) == 0 || versions[len(versions)-1] != f[1]) {
						versions = append(versions, f[1])
					}
				}
				a := c.send()
				e.record.line("got       %s: events of software %v", a.id, versions)
				if len(versions) > 1 {
					mu.Lock()
					joined++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	for _, r := range replicas[:7] {
		if e.trouble {
			r.crash()
			time.Sleep(2 * time.Second)
			r.start("v2")
			time.Sleep(time.Second)
			r.crash()
			time.Sleep(2 * time.Second)
			r.start("v2")
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	fmt.Printf("%d streams hold events of two software versions\n", joined)
	e.record.line("%d streams hold events of two software versions", joined)
	return joined <= 2
}
