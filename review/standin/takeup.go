package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	frozenFor     = 3500 * time.Millisecond
	streamsAtHost = 30
)

func init() { scenarios["takeup"] = takeUpDuringRelease }

// streamCall is a client attempt of a stream that may be resumed.
func streamCall(h *host, n int, deadline time.Duration) call {
	return call{
		host: h, method: "POST", domain: "a.example", path: fmt.Sprintf("/hint/%d", n), body: fmt.Sprintf("question %d", n),
		deadline: deadline, patience: 2 * time.Second,
		header: map[string]string{
			"Authorization": "Token key-of-the-team", "Model": "m0", "Token-Usage": "60,40", "Prompt-Prefix": fmt.Sprintf("%08x:60", 0x10000+n),
			"Attempt-Id": newAttemptID(),
		},
	}
}

// takeUpDuringRelease freezes one host that carries streams; a second later the first replica of another software
// version starts. The clients of the frozen host take their streams up at the others.
func takeUpDuringRelease(e *environment) bool {
	s := newStore()
	s.put("op/config", configuration(1, route("hint", "streaming", "llm", 8000, 2, true, true)))
	zones := []string{"delta-a", "sandmtn-a", "ngeorgia-a"}
	var replicas []*replica
	for n := range 6 {
		r := &replica{id: fmt.Sprintf("i-%d", n+1), service: "llm", zone: zones[n%3], model: "m0", events: 50, eventDelay: 100 * time.Millisecond, store: s, record: e.record}
		r.start("v1")
		replicas = append(replicas, r)
	}
	e.startHosts(s, "delta-a", "delta-a", "sandmtn-a", "sandmtn-a", "ngeorgia-a", "ngeorgia-a")
	time.Sleep(6 * time.Second)
	others := e.hosts[1:]

	var mu sync.Mutex
	takenUp, wentOn, began, asked := 0, 0, 0, 0
	var clients sync.WaitGroup
	for n := range streamsAtHost {
		clients.Go(func() {
			until := time.Now().Add(8 * time.Second)
			c := streamCall(e.hosts[0], n, 8*time.Second)
			first, last := c.header["Attempt-Id"], 0
			c.onEvent = func(id int, _ string) { last = id }
			a := c.send()
			e.record.line("got       %s: %d events", a.id, last)
			if a.complete || last == 0 {
				return
			}
			mu.Lock()
			takenUp++
			mu.Unlock()
			for try := range 3 {
				left := time.Until(until)
				if left < 200*time.Millisecond {
					return
				}
				c = streamCall(others[(n+try)%len(others)], n, left)
				c.header["Last-Event-Id"], c.header["Resumes"] = strconv.Itoa(last), first
				more := 0
				c.onEvent = func(id int, _ string) { more, last = more+1, id }
				e.record.line("taken up  %s as %s at %s after event %d", first, c.header["Attempt-Id"], c.host.name, last)
				a = c.send()
				e.record.line("got       %s: %d events more, Retry-After %q", a.id, more, a.header.Get("Retry-After"))
				if more > 0 {
					mu.Lock()
					wentOn++
					mu.Unlock()
					return
				}
				wait := 100 * time.Millisecond
				if v, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
					wait = min(time.Duration(v*float64(time.Second)), left/3)
				}
				time.Sleep(wait)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		e.record.line("host %s is stopped for %v", e.hosts[0].name, frozenFor)
		e.hosts[0].signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() {
			e.hosts[0].signal(syscall.SIGCONT)
			e.record.line("host %s goes on", e.hosts[0].name)
		})
	}
	time.Sleep(time.Second)
	next := &replica{id: "i-7", service: "llm", zone: "delta-a", model: "m0", events: 50, eventDelay: 100 * time.Millisecond, store: s, record: e.record}
	next.start("v2")
	time.AfterFunc(time.Second, replicas[0].drain)
	for n := range 25 {
		clients.Go(func() {
			got := 0
			c := streamCall(others[n%len(others)], 1000+n, 8*time.Second)
			c.onEvent = func(int, string) { got++ }
			a := c.send()
			e.record.line("new       %s at %s: %d, %d events", a.id, c.host.name, a.status, got)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if got > 0 {
				began++
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	goneOn, begun := 1.0, float64(began)/float64(asked)
	if takenUp > 0 {
		goneOn = float64(wentOn) / float64(takenUp)
	}
	summary := fmt.Sprintf("taken up %d, went on %d (%.2f); new streams %d, began %d (%.2f)", takenUp, wentOn, goneOn, asked, began, begun)
	e.record.line("%s", summary)
	fmt.Println(summary)
	return takenUp < 12 || goneOn >= begun/2
}
