package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// One of spoiltEvery answers of six of ten replicas is spoilt, for spoiltFor.
	spoiltEvery = 33
	spoiltFor   = 5 * time.Second
)

// spoilt are bytes that are no answer of the replica: neither the request's ID nor the signature stands in them.
const spoilt = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\x01\x02\x03\x04\x05\x06\x07"

// playSpoilt plays: replicas name a limit, and some of them spoil a few of their answers.
func playSpoilt() bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 6}
	var replicas []*replica
	for i := range 10 {
		r := newReplica(fmt.Sprintf("i-%d", i+1), "ops", d.zones[i%3], 6, 200*time.Millisecond)
		replicas = append(replicas, r)
		s.Put("servers/"+r.id, r.entry("ready"))
	}
	s.Put("op/config", limitedConfig())
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	say("%d hosts are ready", len(hosts))
	time.Sleep(5 * time.Second)
	l := pressLimited(hosts, replicas, 40)
	time.Sleep(3 * time.Second)
	l.name(4)
	time.Sleep(10 * time.Second)
	var answers atomic.Int64
	var spoils sync.Mutex
	if trouble {
		say("six of ten replicas spoil one of %d answers, for %v", spoiltEvery, spoiltFor)
		for _, r := range replicas[:6] {
			r.setSpoil(func() bool {
				spoils.Lock()
				defer spoils.Unlock()
				return answers.Add(1)%spoiltEvery == 0
			})
		}
	}
	time.Sleep(spoiltFor)
	for _, r := range replicas {
		r.setSpoil(nil)
	}
	say("no answer is spoilt any more; there were %d of %d", answers.Load()/spoiltEvery, answers.Load())
	time.Sleep(5 * time.Second)
	return l.judge()
}
