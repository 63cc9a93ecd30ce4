package fpgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
)

type (
	// dedicatedTest is a cluster of two hosts with the teams "walled" and "other".
	dedicatedTest struct {
		*testCluster
		hosts   []*testCluster
		version int
	}
)

// setDedicated publishes a configuration in which "walled" is dedicated or not, and waits until both hosts use it.
func (d *dedicatedTest) setDedicated(dedicated bool) {
	d.t.Helper()
	d.version++
	d.store.Put("op/config", d.document(dedicated))
	for _, o := range d.hosts {
		d.waitFor(func() bool {
			return strings.Contains(o.linesWith("configuration in force"), fmt.Sprintf(`"ConfigVersion":%d,`, d.version))
		}, "in force")
	}
}

func (d *dedicatedTest) document(dedicated bool) map[string]any {
	c := configDocument(d.version)
	c["tenants"] = []any{
		map[string]any{"name": "walled", "api_keys": []string{"walled-key"}, "priority": 1, "dedicated": dedicated},
		map[string]any{"name": "other", "api_keys": []string{"other-key"}, "priority": 1, "dedicated": false},
	}
	return c
}

// sendAs sends requests of a team at all hosts on all routes to engines.
func (d *dedicatedTest) sendAs(team string) {
	d.t.Helper()
	for range 2 {
		for _, o := range d.hosts {
			for _, route := range []string{"chat", "hint"} {
				d.requestCount++
				r := o.sendNumberedRequest(route, d.requestCount, func(q *http.Request) { q.Header.Set("Authorization", "Token "+team+"-key") })
				is.New(d.t).Equal(r.status, http.StatusOK)
			}
		}
	}
}

// salts returns the cache namespaces in which a team's requests have run, but for the first runs.
func (d *dedicatedTest) salts(team string, skipped int) map[string]bool {
	out := make(map[string]bool)
	for _, r := range d.allRuns() {
		var number int
		_, err := fmt.Sscanf(r.ID, "id-%d", &number)
		if err == nil && number > skipped && r.Header.Get("Tenant") == team {
			out[r.Header.Get("Cache-Salt")] = true
		}
	}
	return out
}

// TestTeamBecomesDedicated makes a team dedicated that has made cached prompt parts, once or twice, with hosts that go on
// or restart. It guards against a namespace that another team goes on sharing with those parts.
func TestTeamBecomesDedicated(t *testing.T) {
	restart := func(d *dedicatedTest) {
		for _, o := range d.hosts {
			o.stopHost()
		}
		for _, o := range d.hosts {
			o.restartHost()
		}
	}
	tests := map[string]func(*dedicatedTest){
		"once":                           func(d *dedicatedTest) { d.setDedicated(true) },
		"hosts restart after the change": func(d *dedicatedTest) { d.setDedicated(true); restart(d) },
		"hosts restart at the change": func(d *dedicatedTest) {
			d.version++
			for _, o := range d.hosts {
				o.stopHost()
			}
			d.store.Put("op/config", d.document(true))
			for _, o := range d.hosts {
				o.restartHost()
			}
		},
		"twice": func(d *dedicatedTest) {
			d.setDedicated(true)
			d.sendAs("walled")
			d.sendAs("other")
			d.setDedicated(false)
			d.sendAs("walled")
			d.sendAs("other")
			d.setDedicated(true)
		},
		"twice, hosts restart between": func(d *dedicatedTest) {
			d.setDedicated(true)
			d.sendAs("other")
			d.setDedicated(false)
			restart(d)
			d.sendAs("walled")
			d.setDedicated(true)
			restart(d)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := &dedicatedTest{testCluster: prepareTestCluster(t), version: 1}
			d.store.Put("op/config", d.document(false))
			other, _ := d.addHost(func(*fpgateway.Settings) {})
			d.hosts = []*testCluster{d.testCluster, other}
			d.sendAs("walled")
			d.sendAs("other")
			is.Equal(d.salts("walled", 0), d.salts("other", 0)) // teams share what they may
			change(d)
			before := d.requestCount
			d.sendAs("other")
			used := d.salts("other", before)
			is.Equal(len(used), 1)
			for salt := range d.salts("walled", 0) {
				is.True(!used[salt])
			}
		})
	}
}
