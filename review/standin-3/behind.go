package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// addedRoutes is the largest dose of big_config on the users' pages, stormChanges and stormGap that of
	// config_storm (4 s), rejection that of a store that turns single machines away.
	addedRoutes  = 1400
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	rejection    = 9 * time.Second
	// applyBound and skewBound are config_apply_ms and max_skew_ms of the settings.
	applyBound = 3 * time.Second
	skewBound  = 6 * time.Second
)

func route(name, domain, prefix, service string, timeoutMs int, public bool) map[string]any {
	return map[string]any{"name": name, "host": domain, "prefix": prefix, "kind": "idempotent", "timeout_ms": timeoutMs, "target_latency_ms": 300,
		"priority": 1, "service": service, "max_attempts": 2, "public": public, "sticky": false, "resumable": false}
}

// largeConfig returns a version of a configuration with many routes; the public route goes to the service given.
func largeConfig(version, routes int, service string) []byte {
	list := []any{route("status", "ops.example", "/status/", service, 3000+version, true)}
	for i := range routes {
		list = append(list, route(fmt.Sprintf("r-%04d", i), "shop.example", fmt.Sprintf("/added-%04d/", i), "ops-a", 3000, false))
	}
	services := []any{}
	for _, s := range []string{"ops-a", "ops-b"} {
		services = append(services, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "grower", "api_keys": []string{"key-of-the-grower-1"}, "priority": 1, "dedicated": false}},
	})
	if err != nil {
		fail(err)
	}
	return data
}

// playBehind plays: the store turns two hosts of a zone away for some seconds, in which the large configuration
// changes some times; the last change moves a route to another service.
func playBehind() bool {
	s := newStore()
	d := deployment{zones: []string{"delta-a", "sandmtn-a", "ngeorgia-a"}, hosts: 6}
	var replicas []*replica
	for _, service := range []string{"ops-a", "ops-b"} {
		for _, z := range d.zones {
			r := newReplica(service+"-"+z, service, z, 6, 10*time.Millisecond)
			replicas = append(replicas, r)
			s.Put("servers/"+r.id, r.entry("ready"))
		}
	}
	s.Put("op/config", largeConfig(3, 0, "ops-a"))
	var hosts []*host
	for i := range d.hosts {
		hosts = append(hosts, newHost(s, d, i, scratch))
	}
	startAll(hosts)
	// The hosts of one zone are turned away, a third of all.
	var away []string
	for _, h := range hosts {
		if h.zone == d.zones[0] {
			away = append(away, h.storeName)
		}
	}
	say("%d hosts are ready", len(hosts))
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var answers []answer
	asked := map[string]string{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range hosts {
		c := newClient(h)
		clients.Go(func() {
			t := time.NewTicker(100 * time.Millisecond)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				clients.Go(func() {
					a := c.send("GET", "ops.example", "/status/x", nil, 3*time.Second, nil)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
					asked[a.id] = h.name
				})
			}
		})
	}
	time.Sleep(time.Second)
	version := 7
	config := largeConfig(version, addedRoutes, "ops-a")
	s.Put("op/config", config)
	say("configuration %d: %d routes more, %d bytes", version, addedRoutes, len(config))
	time.Sleep(6 * time.Second)

	rejectedAt := time.Now()
	if trouble {
		s.SetFault(busy, away...)
		say("the store turns %v away (503) for %v", away, rejection)
	}
	time.Sleep(3 * time.Second)
	for i := range stormChanges {
		service := "ops-a"
		if i == stormChanges-1 {
			service = "ops-b"
		}
		version += 2
		s.Put("op/config", largeConfig(version, addedRoutes, service))
		say("configuration %d is confirmed: the route goes to %s", version, service)
		time.Sleep(stormGap)
	}
	confirmed := time.Now().Add(-stormGap)
	time.Sleep(time.Until(rejectedAt.Add(rejection)))
	s.SetFault(sound)
	ended := time.Now()
	if trouble {
		say("the store serves all hosts again")
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()

	// The machines that were turned away are in touch again from contact_ms after that; the bound is the longest
	// that the rule has, though the store was never down for the others.
	from := ended.Add(contact)
	if t := confirmed.Add(applyBound + skewBound); t.After(from) {
		from = t
	}
	say("requests sent from %.3f s on must be run by ops-b", from.Sub(record.start).Seconds())
	mu.Lock()
	defer mu.Unlock()
	type tally struct{ newService, oldService, other int }
	counts, last := map[string]*tally{}, map[string]time.Time{}
	old := 0
	for _, a := range answers {
		h := asked[a.id]
		if counts[h] == nil {
			counts[h] = &tally{}
		}
		ranOld := slices.ContainsFunc(replicas, func(r *replica) bool { return r.service == "ops-a" && r.hasRun(a.id) })
		if ranOld && a.sent.After(last[h]) {
			last[h] = a.sent
		}
		switch {
		case a.sent.Before(from):
		case ranOld:
			counts[h].oldService++
			old++
		case a.status == 200 && strings.Contains(a.body, "ops-b"):
			counts[h].newService++
		default:
			counts[h].other++
		}
	}
	for _, h := range slices.Sorted(maps.Keys(counts)) {
		say("%s: from then on %d run by ops-b, %d by ops-a, %d answered otherwise; the last one run by ops-a was sent at %.3f s",
			h, counts[h].newService, counts[h].oldService, counts[h].other, last[h].Sub(record.start).Seconds())
	}
	return old > 0
}
