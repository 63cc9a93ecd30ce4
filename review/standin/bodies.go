package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB = 134
	// A body of the longest that the limits of the configuration allow, and how many come to a host.
	longBodyBytes = 4 << 20
	longBodies    = 50
)

func init() { scenarios["bodies"] = longBodiesAtOnce }

// longBodiesAtOnce has some clients send long bodies at the same time beside calls on kept channels. A host that has
// more memory than its limit is killed and started again, as the platform does.
func longBodiesAtOnce(e *environment) bool {
	s := newStore()
	s.put("op/config", configuration(1, route("hint", "streaming", "llm", 8000, 2, true, true), route("call", "non_idempotent", "old", 3000, 1, false, false)))
	zones := []string{"delta-a", "sandmtn-a", "ngeorgia-a"}
	for n := range 9 {
		r := &replica{id: fmt.Sprintf("i-%d", n+1), service: "llm", zone: zones[n%3], model: "m0", events: 20, eventDelay: 100 * time.Millisecond, store: s, record: e.record}
		r.start("v1")
	}
	for n := range 3 {
		r := &replica{id: fmt.Sprintf("j-%d", n+1), service: "old", zone: zones[n], work: 200 * time.Millisecond, store: s, record: e.record}
		r.start("v1")
	}
	e.startHosts(s, "delta-a", "sandmtn-a", "ngeorgia-a")
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	most, kills, lost, calls := 0.0, 0, 0, 0
	stop := make(chan struct{})
	var watch, clients sync.WaitGroup
	for _, h := range e.hosts {
		watch.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				mb := h.rssMB()
				mu.Lock()
				most = max(most, mb)
				mu.Unlock()
				if mb > memoryMB {
					e.record.line("host %s has %.1f MB of %d and is killed", h.name, mb, memoryMB)
					mu.Lock()
					kills++
					mu.Unlock()
					h.signal(syscall.SIGKILL)
					<-h.exited
					time.Sleep(300 * time.Millisecond)
					h.start()
				}
			}
		})
	}
	// Calls on kept channels, each of which is used once more every 300 ms.
	for n := range 30 {
		clients.Go(func() {
			h := e.hosts[n%len(e.hosts)]
			var channel net.Conn
			defer func() {
				if channel != nil {
					_ = channel.Close()
				}
			}()
			kept := false
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if channel == nil {
					var err error
					if channel, err = net.DialTimeout("tcp", h.front, time.Second); err != nil {
						channel = nil
						continue
					}
					kept = false
				}
				c := call{
					host: h, channel: channel, method: "POST", domain: "a.example", path: fmt.Sprintf("/call/%d", n), body: "page the grower", deadline: 3 * time.Second,
					header: map[string]string{"Authorization": "Token key-of-the-team", "Attempt-Id": newAttemptID()},
				}
				a := c.send()
				mu.Lock()
				calls++
				if a.err != nil && a.status == 0 && kept && e.record.ran(a.id) {
					lost++
					e.record.line("lost      %s on a kept channel to %s ran and got no answer: %v", a.id, h.name, a.err)
				}
				mu.Unlock()
				kept = true
				if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
					_ = channel.Close()
					channel = nil
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	body := strings.Repeat("a history of the shed; ", longBodyBytes/23-8)
	e.record.line("%d bodies of %d bytes for each host, at once: %v", longBodies, len(body), e.trouble)
	var long sync.WaitGroup
	for n := range longBodies * len(e.hosts) {
		send := func() {
			c := streamCall(e.hosts[n%len(e.hosts)], n, 8*time.Second)
			c.body, c.pieceDelay = fmt.Sprint(n)+body, 40*time.Millisecond
			c.header["Token-Usage"], c.header["Prompt-Prefix"] = "200000,40", fmt.Sprintf("%08x:200000", 0x20000+n)
			c.onEvent = func(int, string) {}
			c.send()
		}
		if e.trouble {
			long.Go(send)
			time.Sleep(15 * time.Millisecond)
		} else {
			long.Go(send)
			time.Sleep(330 * time.Millisecond)
		}
	}
	long.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	watch.Wait()
	summary := fmt.Sprintf("most memory %.1f MB, %d hosts killed for it, %d of %d calls on kept channels ran and got no answer", most, kills, lost, calls)
	e.record.line("%s", summary)
	fmt.Println(summary)
	return lost <= 3 && kills == 0
}

// ran reports whether a replica ran a request.
func (r *record) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			return true
		}
	}
	return false
}
