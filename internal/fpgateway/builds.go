package fpgateway

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

type (
	// buildSet holds the software versions in service: those of registered replicas, and those of
	// replicas that left so recently that streams which they began may be taken up.
	buildSet struct {
		registeredAt map[fporigin.Origin]time.Duration
	}
)

func newBuildSet() *buildSet {
	return &buildSet{registeredAt: make(map[fporigin.Origin]time.Duration)}
}

// updateBuilds returns the software versions in service by service, sorted.
func (c *controlState) updateBuilds(registered []fpfleet.Replica, now time.Duration) map[string][]string {
	b := c.builds
	for _, r := range registered {
		o := fporigin.Origin{Service: r.Service, Build: r.Build}
		if _, known := b.registeredAt[o]; !known {
			c.gateway.log("software version in service", "Service", o.Service, "Build", o.Build)
		}
		b.registeredAt[o] = now
	}
	out := make(map[string][]string)
	for o, at := range b.registeredAt {
		if now-at >= buildRetention(c.catalog) {
			delete(b.registeredAt, o)
			c.gateway.log("software version no longer in service", "Service", o.Service, "Build", o.Build)
			continue
		}
		out[o.Service] = append(out[o.Service], o.Build)
	}
	for service, list := range out {
		slices.Sort(list)
		if len(list) > 1 && len(c.gateway.snapshot.Load().builds[service]) <= 1 {
			c.gateway.sendOriginsOf(service)
		}
	}
	return out
}
