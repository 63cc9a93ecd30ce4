package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streams is how many streams run as the hosts are killed, and how many begin anew later.
	streams    = 36
	longStream = 40 * time.Second
	// hostsAway is how long the hosts are away.
	hostsAway   = 2 * time.Second
	takeUpTries = 4
)

// streamTry is one try of a client to read a stream.
type streamTry struct {
	id      string
	status  int
	version string
	first   int
	last    int
}

// readStream sends a request for a stream and reads it until it ends, the context ends or an event comes if firstOnly is set.
func (c *client) readStream(ctx context.Context, path string, header map[string]string, firstOnly bool) streamTry {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := streamTry{id: newID(c.host)}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.front+path, nil)
	if err != nil {
		fail(err)
	}
	q.Host = "ops.example"
	q.Header.Set("Attempt-Id", t.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(longStream.Milliseconds()))
	for k, v := range header {
		q.Header.Set(k, v)
	}
	r, err := c.http.Do(q)
	if err != nil {
		return t
	}
	defer func() { _ = r.Body.Close() }()
	t.status = r.StatusCode
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			n, _ := strconv.Atoi(value)
			if t.first == 0 {
				t.first = n
			}
			t.last = n
		case "data":
			t.version = value
			if firstOnly {
				return t
			}
		}
	}
	return t
}

// playTakeUp plays: streams run at replicas of two software versions as all hosts are killed. The clients take them up again
// when the hosts are back and have been so for contact_ms.
func playTakeUp() bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 6}
	var replicas []*replica
	for i := range 6 {
		r := newReplica(fmt.Sprintf("i-%d", i+1), "ops", d.zones[i%3], 32, 50*time.Millisecond)
		r.generation, r.version = longStream, fmt.Sprintf("v%d", i/3+1)
		replicas = append(replicas, r)
		s.Put("servers/"+r.id, r.entry("ready"))
	}
	config := limitedConfig()
	config["routes"] = []any{map[string]any{"name": "chat", "host": "ops.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": longStream.Milliseconds(), "target_latency_ms": 800,
		"priority": 1, "service": "ops", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300}}
	s.Put("op/config", config)
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	say("%d hosts are ready, %d replicas of two versions", len(hosts), len(replicas))
	time.Sleep(6 * time.Second)

	readers, stop := context.WithCancel(context.Background())
	defer stop()
	tries := make([]streamTry, streams)
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			tries[i] = newClient(hosts[i%len(hosts)]).readStream(readers, fmt.Sprintf("/chat/%d", i), nil, false)
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, h := range hosts {
			h.signal(syscall.SIGKILL)
		}
		say("all hosts are killed")
		for _, h := range hosts {
			<-h.exited
		}
		time.Sleep(hostsAway)
		startAll(hosts)
		say("all hosts are ready again")
	} else {
		stop()
		time.Sleep(hostsAway)
		say("the clients have left")
	}
	running.Wait()
	begun, byVersion := 0, map[string]int{}
	for _, t := range tries {
		if t.last > 0 {
			begun++
			byVersion[t.version]++
		}
	}
	say("%d streams had begun, by version %v", begun, byVersion)
	time.Sleep(contact + time.Second)

	var mu sync.Mutex
	wentOn, newBegun, refusals := 0, 0, map[int]int{}
	for i, t := range tries {
		if t.last == 0 {
			continue
		}
		running.Go(func() {
			for n := range takeUpTries {
				c := newClient(hosts[(i+1+n)%len(hosts)])
				a := c.readStream(context.Background(), fmt.Sprintf("/chat/%d", i), map[string]string{"Last-Event-Id": fmt.Sprint(t.last), "Resumes": t.id}, true)
				mu.Lock()
				if a.first == t.last+1 && a.version == t.version {
					wentOn++
					mu.Unlock()
					return
				}
				refusals[a.status]++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		})
		running.Go(func() {
			a := newClient(hosts[i%len(hosts)]).readStream(context.Background(), fmt.Sprintf("/chat/new-%d", i), nil, true)
			mu.Lock()
			defer mu.Unlock()
			if a.first == 1 {
				newBegun++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	running.Wait()
	say("of %d streams that clients took up again, %d went on (refusals by status: %v); of %d new streams, %d began", begun, wentOn, refusals, begun, newBegun)
	return begun >= 12 && float64(wentOn) < float64(newBegun)/2
}
