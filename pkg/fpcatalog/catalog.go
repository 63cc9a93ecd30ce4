package fpcatalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// routeRanks is the number of ranks within one team priority.
const routeRanks = 3

// New returns the catalog of a document.
func New(d Document) *Catalog {
	c := &Catalog{
		document: d,
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Team),
		services: make(map[string]*Service),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Teams {
		for _, k := range d.Teams[i].Keys {
			c.keys[k] = &d.Teams[i]
		}
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	return c
}

// Version returns the document's version.
func (c *Catalog) Version() uint64 { return c.document.Version }

// Limits returns the bounds on what callers may send.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// Services returns all services.
func (c *Catalog) Services() []Service { return c.document.Services }

// Route returns the route of a host with the longest prefix of path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (c *Catalog) Team(key string) *Team { return c.keys[key] }

// Keyed reports whether requests need a key, unless their route is public.
func (c *Catalog) Keyed() bool { return len(c.document.Teams) > 0 }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// CacheStores returns the services that keep KV cache.
func (c *Catalog) CacheStores() []*Service {
	var out []*Service
	for i := range c.document.Services {
		if c.document.Services[i].Cache != nil {
			out = append(out, &c.document.Services[i])
		}
	}
	return out
}

// Pick returns the service that a request goes to: the same for the same ID,
// in proportion to the targets' weights.
func (r *Route) Pick(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Rank returns the rank of a team's request, 0 first: the team's priority goes
// before the route's, which orders the requests of one team.
func (r *Route) Rank(t *Team) int { return teamRank(t) + min(r.Priority, routeRanks-1) }

// LongRank returns the rank of a team's request that keeps a replica busy for
// long: it goes behind short ones of the route and before those of the team's
// that matter less.
func (r *Route) LongRank(t *Team) int { return teamRank(t) + min(r.Priority+1, routeRanks-1) }

func teamRank(t *Team) int {
	if t == nil || t.Priority == nil {
		return 0
	}
	return *t.Priority * routeRanks
}
