package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// poisonBody is the body of the request that crashes each replica that begins to run it.
	poisonBody = "the request that crashes replicas"
	// backAfter is how long a crashed replica is away; its entry goes after three heartbeats.
	backAfter    = 4 * time.Second
	entryTimeout = 3600 * time.Millisecond
	poisonEvery  = 1500 * time.Millisecond
	soundEvery   = 2 * time.Second
	// usualEvery is the interval of sound requests in usual traffic.
	usualEvery = 50 * time.Millisecond
	// allowedRetries is the rule's.
	allowedRetries = 3
)

// crashes are the crashes of replicas under the poisonous request, and the arrivals of that request.
type crashes struct {
	mu       sync.Mutex
	at       []time.Time
	arrivals []time.Time
	starts   int
	replicas []*replica
	// begin prepares a replica, and crashesWith reports whether a request crashes it, by its body and its Prompt-Prefix.
	begin       func(*replica)
	crashesWith func(body, prefix string) bool
}

// start starts a replica that crashes under the poisonous request and is back some seconds later, with a new ID.
func (c *crashes) start(s *store, zone string) {
	c.mu.Lock()
	c.starts++
	r := newReplica(fmt.Sprintf("i-%d", c.starts), "ops", zone, 8, 100*time.Millisecond)
	c.replicas = append(c.replicas, r)
	c.mu.Unlock()
	if c.begin != nil {
		c.begin(r)
	}
	r.crashes = func(id, body, prefix string) bool {
		if !c.crashesWith(body, prefix) {
			return false
		}
		c.mu.Lock()
		c.arrivals, c.at = append(c.arrivals, time.Now()), append(c.at, time.Now())
		n := len(c.at)
		c.mu.Unlock()
		say("%s begins to run the request as %s and crashes: crash %d", r.id, id, n)
		time.AfterFunc(entryTimeout, func() { s.Remove("servers/" + r.id) })
		time.AfterFunc(backAfter, func() { c.start(s, zone) })
		return true
	}
	s.Put("servers/"+r.id, r.entry("ready"))
}

// playPoison plays: few requests come, and one of them crashes each replica that begins to run it.
func playPoison() bool { return playCrashing(soundEvery, func(int) string { return "/status/x" }) }

// playQuery plays: many requests come, and one of them, with another query each time, crashes each replica that begins to run
// it. With SAME set, the query is the same each time.
func playQuery() bool {
	return playCrashing(usualEvery, func(n int) string {
		if os.Getenv("SAME") != "" {
			n = 0
		}
		return fmt.Sprintf("/status/x?t=%d", n)
	})
}

// playCrashing plays sound requests at an interval, and a poisonous one whose target may depend on how often it came before.
func playCrashing(soundEvery time.Duration, target func(int) string) bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 6}
	c := &crashes{crashesWith: func(body, _ string) bool { return body == poisonBody }}
	for i := range 9 {
		c.start(s, d.zones[i%3])
	}
	config := limitedConfig()
	config["routes"] = []any{route("status", "ops.example", "/status/", "ops", 3000, false)}
	s.Put("op/config", config)
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	say("%d hosts are ready", len(hosts))
	time.Sleep(5 * time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	send := func(kind string, n int, path, body string) {
		clients.Go(func() {
			a := newClient(hosts[n%len(hosts)]).send("POST", "ops.example", path, []byte(body), 3*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%s %d", kind, a.status)]++
		})
	}
	end := time.Now().Add(60 * time.Second)
	nextSound, nextPoison := time.Now(), time.Now().Add(time.Second)
	for sound, poison := 0, 0; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(nextSound) {
			send("sound", sound, fmt.Sprintf("/status/%d", sound), "a sound request")
			sound++
			nextSound = nextSound.Add(soundEvery)
		}
		if trouble && time.Now().After(nextPoison) {
			send("poisonous", poison, target(poison), poisonBody)
			poison++
			nextPoison = nextPoison.Add(poisonEvery)
		}
	}
	clients.Wait()
	say("answers by kind and status: %v", counts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		say("%d crashes", len(c.at))
		return false
	}
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(c.at[2]) > contact {
			late++
		}
	}
	say("%d crashes; %d of the requests reached a replica later than %v after the third crash, allowed are %d", len(c.at), late, contact, allowedRetries)
	return late > allowedRetries
}
