package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// routesAdded is how many routes a configuration grows by at a time, and growths how often.
	routesAdded = 1400
	growths     = 2
	// stormGap and stormTime space the versions in quick succession.
	stormGap  = 80 * time.Millisecond
	stormTime = 2 * time.Second
	applyTime = 3 * time.Second
	outerTime = 6 * time.Second
	watchTime = 28 * time.Second
)

// configuration returns a version whose last one moves both routes to the new service.
func configuration(version, added int, service1 string, timeoutMs int) map[string]any {
	routes := []any{
		route("open", "/open/", "idempotent", service1, map[string]any{"public": true, "max_attempts": 2, "timeout_ms": timeoutMs}),
		route("keyed", "/keyed/", "idempotent", service1, map[string]any{"max_attempts": 2, "timeout_ms": timeoutMs}),
	}
	for i := range added {
		routes = append(routes, route(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/added%06d/a/", i), "idempotent", "old-app", nil))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{service("old-app"), service("new-app")}, "limits": limits,
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	}
}

// playConfigurations lets the configuration grow, and then puts versions in quick succession. CONFIG: what is sent
// later than config_apply_ms after the last one's confirmation must not run at the old service.
func playConfigurations(trouble bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"penang-a", "penang"}, {"johor-a", "johor"}}, 284)
	old := d.startPlain(101, "i-old", "old-app", "klang-a", 10*time.Millisecond, 0)
	d.startPlain(102, "i-new", "new-app", "klang-a", 10*time.Millisecond, 0)
	version := 7
	d.store.put("op/config", configuration(version, 0, "old-app", 3000))
	d.startAll()
	var outcomes []outcome
	var mu sync.Mutex
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range d.machines {
		for path, key := range map[string]string{"/open/x": "", "/keyed/x": "school-key"} {
			clients.Go(func() {
				c := newClient()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					o := call(c, m, "GET", path, key, nil, 3000)
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	added := 0
	for range growths {
		added += routesAdded
		version += 3
		d.store.put("op/config", configuration(version, added, "old-app", 3000))
		note("version %d confirmed, with %d routes more", version, added)
		time.Sleep(4 * time.Second)
	}
	if trouble {
		for n := range int(stormTime / stormGap) {
			version += 2
			d.store.put("op/config", configuration(version, added, "old-app", 3000+n%2*100))
			note("version %d confirmed", version)
			time.Sleep(stormGap)
		}
	}
	version += 2
	d.store.put("op/config", configuration(version, added, "new-app", 3000))
	confirmed := time.Now()
	note("version %d confirmed: all requests go to the new service", version)
	time.Sleep(watchTime)
	close(stop)
	clients.Wait()
	late, refused, sentLate := 0, 0, 0
	lastLate := time.Duration(0)
	ranOld := map[string]bool{}
	for _, a := range old.arrivals() {
		ranOld[a.id] = true
	}
	for _, o := range outcomes {
		after := o.sent.Sub(confirmed)
		if after <= applyTime {
			continue
		}
		sentLate++
		switch {
		case ranOld[o.id]:
			late++
			lastLate = max(lastLate, after)
		case o.status == 503:
			refused++
		}
	}
	verdict(late > 0, "%d of %d requests that were sent later than %v after the confirmation ran at the old service, the last one %.1f s after it; %d others got 503",
		late, sentLate, applyTime, lastLate.Seconds(), refused)
}
