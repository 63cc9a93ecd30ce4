package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// rejections is what the replicas name in Server-Brittle.
	rejections = 2
	// brittleSlots are a replica's slots, as those of course-app at tsg-fleet, usualWaiting and brittleWaiting how many
	// more requests it lets wait, and brittleReplicas the replicas of the service.
	brittleSlots    = 6
	usualWaiting    = 24
	brittleWaiting  = 0
	brittleReplicas = 3
)

// falls are the replicas that fell over.
type falls struct {
	mu       sync.Mutex
	number   int
	starts   int
	brittle  bool
	waiting  int
	replicas []*replica
}

// start starts a replica that falls over when it has to reject too many requests in a second.
func (f *falls) start(s *store, zone string) {
	f.mu.Lock()
	f.starts++
	r := newReplica(fmt.Sprintf("i-%d", f.starts), "ops", zone, brittleSlots, 100*time.Millisecond)
	f.replicas = append(f.replicas, r)
	r.room = brittleSlots + f.waiting
	if f.brittle {
		r.brittle = fmt.Sprint(rejections)
	}
	f.mu.Unlock()
	fallen := false
	r.onReject = func(in int) {
		f.mu.Lock()
		if in <= rejections || !f.brittle || f.waiting != brittleWaiting || fallen {
			f.mu.Unlock()
			return
		}
		fallen = true
		f.number++
		n := f.number
		f.mu.Unlock()
		say("%s has rejected %d requests within a second and falls over: fall %d", r.id, in, n)
		go func() { _ = r.server.Close() }()
		time.AfterFunc(entryTimeout, func() { s.Remove("servers/" + r.id) })
		time.AfterFunc(backAfter, func() { f.start(s, zone) })
	}
	s.Put("servers/"+r.id, r.entry("ready"))
}

// set sets what all replicas say and let wait.
func (f *falls) set(brittle bool, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle, f.waiting = brittle, waiting
	for _, r := range f.replicas {
		r.mu.Lock()
		r.room, r.brittle = brittleSlots+waiting, ""
		if brittle {
			r.brittle = fmt.Sprint(rejections)
		}
		r.mu.Unlock()
	}
}

// playBrittle plays: replicas with fewer slots than there are hosts are brittle for a time, and let fewer requests wait.
func playBrittle() bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 9}
	f := &falls{waiting: usualWaiting}
	for i := range brittleReplicas {
		f.start(s, d.zones[i%3])
	}
	s.Put("op/config", limitedConfig())
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	say("%d hosts are ready", len(hosts))
	time.Sleep(5 * time.Second)
	l := pressLimited(hosts, nil, 30)
	time.Sleep(5 * time.Second)
	if trouble {
		say("the replicas say that they are brittle: more than %d rejections in a second", rejections)
		f.set(true, usualWaiting)
	}
	time.Sleep(contact + time.Second)
	if trouble {
		say("they let %d wait instead of %d", brittleWaiting, usualWaiting)
		f.set(true, brittleWaiting)
	}
	time.Sleep(15 * time.Second)
	f.set(false, usualWaiting)
	l.judge()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := 2 + brittleReplicas/10
	say("%d falls, allowed are %d", f.number, allowed)
	return f.number > allowed
}
