package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["outofstep"] = takeUpAtHostOutOfStep }

// takeUpAtHostOutOfStep cuts one host off from the store and from the other hosts as replicas of a second software
// version start. Another host is killed, and some of its clients take their streams up at the first.
func takeUpAtHostOutOfStep(e *environment) bool {
	s := newStore()
	s.put("op/config", configuration(1, route("hint", "streaming", "llm", 8000, 2, true, true)))
	zones := []string{"delta-a", "sandmtn-a", "ngeorgia-a"}
	start := func(n int, software string) {
		r := &replica{id: fmt.Sprintf("i-%d", n+1), service: "llm", zone: zones[n%3], model: "m0", events: 40, eventDelay: 100 * time.Millisecond, store: s, record: e.record}
		r.start(software)
	}
	for n := range 9 {
		start(n, "v1")
	}
	e.hosts = newHosts(e.dir, s, "delta-a", "sandmtn-a", "ngeorgia-a", "delta-a")
	killed, cutOff := e.hosts[0], e.hosts[1]
	peer := fmt.Sprintf("%s:%d", cutOff.settings["ip"], cutOff.settings["port_range"].([]int)[0])
	var link *proxy
	var notices string
	link = newProxy(s.serve(func(address string) string {
		if address == peer {
			return notices
		}
		return address
	}))
	notices = newDatagramProxy(peer, link)
	cutOff.settings["platform"].(map[string]any)["address"] = link.address
	for _, h := range e.hosts {
		h.start()
	}
	awaitReady(e.hosts)
	time.Sleep(6 * time.Second)
	if e.trouble {
		link.setSilent(true)
		e.record.line("host %s is cut off from the store and the other hosts", cutOff.name)
		time.AfterFunc(5500*time.Millisecond, func() { link.setSilent(false); e.record.line("the cut of host %s ends", cutOff.name) })
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 4 {
		start(9+n, "v2")
	}
	time.Sleep(800 * time.Millisecond)
	var mu sync.Mutex
	joined, takenUp := 0, 0
	var clients sync.WaitGroup
	for n := range 180 {
		clients.Go(func() {
			until := time.Now().Add(8 * time.Second)
			var versions []string
			last := 0
			onEvent := func(id int, data string) {
				last = id
				if f := strings.Fields(data); len(f) > 1 && (len(versions) == 0 || versions[len(versions)-1] != f[1]) {
					versions = append(versions, f[1])
				}
			}
			c := streamCall(killed, n, 8*time.Second)
			c.onEvent = onEvent
			first := c.header["Attempt-Id"]
			a := c.send()
			for try := 0; !a.complete && last > 0 && try < 2 && time.Until(until) > 300*time.Millisecond; try++ {
				time.Sleep(50 * time.Millisecond)
				c = streamCall(e.hosts[1+(n+try)%3], n, time.Until(until))
				c.header["Last-Event-Id"], c.header["Resumes"] = strconv.Itoa(last), first
				c.onEvent = onEvent
				e.record.line("taken up  %s as %s at %s after event %d of %v", first, c.header["Attempt-Id"], c.host.name, last, versions)
				a = c.send()
				mu.Lock()
				takenUp++
				mu.Unlock()
			}
			if len(versions) > 1 {
				e.record.line("joined    %s holds events of software %v", first, versions)
				mu.Lock()
				joined++
				mu.Unlock()
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond)
	if e.trouble {
		e.record.line("host %s is killed", killed.name)
		killed.signal(syscall.SIGKILL)
	}
	clients.Wait()
	summary := fmt.Sprintf("%d take-ups; %d streams hold events of two software versions", takenUp, joined)
	e.record.line("%s", summary)
	fmt.Println(summary)
	return joined <= 2
}
