package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// systemPart, templatePart and poisonPart are parts of prompts: what all share, what comes after a document in all,
	// and the document that crashes replicas.
	systemPart   = "5c1e07a2"
	templatePart = "91bd3f06"
	poisonPart   = "0badd0c5"
	documents    = 40
	// generation is how long an answer takes; the route's timeout is 20 s.
	generation = 12 * time.Second
	// soundPerSecond and poisonPerSecond are the requests of all clients together.
	soundPerSecond  = 4
	poisonPerSecond = 2
	usualTime       = 12 * time.Second
	poisonTime      = 40 * time.Second
)

type promptTry struct {
	id   string
	sent time.Time
}

// playParts plays: a part in the middle of prompts crashes each replica that begins to write an answer on it. The parts
// before and after it are shared by sound requests.
func playParts() bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 6}
	c := &crashes{}
	c.begin = func(r *replica) { r.generation = generation }
	c.crashesWith = func(_, prefix string) bool { return strings.Contains(prefix, poisonPart) }
	for i := range 12 {
		c.start(s, d.zones[i%3])
	}
	config := limitedConfig()
	config["routes"] = []any{map[string]any{"name": "chat", "host": "ops.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 800,
		"priority": 1, "service": "ops", "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300}}
	s.Put("op/config", config)
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	say("%d hosts are ready", len(hosts))
	time.Sleep(5 * time.Second)

	var running sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	var sound []promptTry
	send := func(kind string, n int, document string) {
		running.Go(func() {
			// The last part is the request's own.
			last := 0x10000000 + n
			if kind == "poisonous" {
				last = 0x20000000 + n
			}
			prefix := fmt.Sprintf("%s:800,%s:400,%s:300,%08x:60", systemPart, document, templatePart, last)
			sent := time.Now()
			a := newClient(hosts[n%len(hosts)]).send("POST", "ops.example", fmt.Sprintf("/chat/%d", n), []byte(prefix), 20*time.Second,
				map[string]string{"Prompt-Prefix": prefix})
			mu.Lock()
			defer mu.Unlock()
			if kind == "sound" {
				sound = append(sound, promptTry{a.id, sent})
			}
			counts[fmt.Sprintf("%s %d", kind, a.status)]++
		})
	}
	begun := time.Now()
	poisonFrom := begun.Add(usualTime)
	end := poisonFrom.Add(poisonTime)
	nextSound, nextPoison := begun, poisonFrom
	for n, p := 0, 0; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(nextSound) {
			send("sound", n, fmt.Sprintf("%08x", 0x40000000+n%documents))
			n++
			nextSound = nextSound.Add(time.Second / soundPerSecond)
		}
		if time.Now().After(nextPoison) {
			if p == 0 {
				say("requests with the part %s come from now on: %v", poisonPart, trouble)
			}
			if trouble {
				send("poisonous", p, poisonPart)
			}
			p++
			nextPoison = nextPoison.Add(time.Second / poisonPerSecond)
		}
	}
	running.Wait()
	say("answers by kind and status: %v", counts)
	c.mu.Lock()
	defer c.mu.Unlock()
	from := poisonFrom.Add(2 * contact)
	if n := min(len(c.at), 5); n > 0 {
		from = c.at[n-1].Add(2 * contact)
		say("%d crashes; the %dth was at %.3f s", len(c.at), n, c.at[n-1].Sub(record.start).Seconds())
	}
	ran := func(id string) bool {
		for _, r := range c.replicas {
			if r.hasRun(id) {
				return true
			}
		}
		return false
	}
	var usual, usualRan, later, laterRan int
	for _, t := range sound {
		switch {
		case t.sent.Before(poisonFrom):
			usual++
			if ran(t.id) {
				usualRan++
			}
		case t.sent.After(from):
			later++
			if ran(t.id) {
				laterRan++
			}
		}
	}
	say("of the sound requests before, %d of %d began at the first attempt; of those sent later than 2 x contact_ms after that crash, %d of %d", usualRan, usual, laterRan, later)
	late := 0
	for _, at := range c.arrivals {
		if len(c.at) >= 5 && at.Sub(c.at[4]) > contact {
			late++
		}
	}
	say("%d requests with the part reached a replica later than contact_ms after the fifth crash (BUDGET allows %d)", late, allowedRetries)
	return usual >= 20 && later >= 20 && float64(laterRan)/float64(later) < float64(usualRan)/float64(usual)/2
}
