package fpcatalog

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ranksPerTeamPriority is the number of request ranks that each team priority spans.
	ranksPerTeamPriority = 3
	// namespaceHashBytes is the length of the hash of the dedicated teams in a cache namespace.
	namespaceHashBytes = 8
)

// New builds the catalog of a document and its indices.
func New(d Document) *Catalog {
	c := &Catalog{
		document:       d,
		routesByHost:   make(map[string][]*Route),
		teamsByKey:     make(map[string]*Team),
		servicesByName: make(map[string]*Service),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Teams {
		for _, k := range d.Teams[i].Keys {
			c.teamsByKey[k] = &d.Teams[i]
		}
	}
	for i := range d.Services {
		c.servicesByName[d.Services[i].Name] = &d.Services[i]
	}
	c.sharedNamespace = sharedNamespace(d.Teams)
	return c
}

// sharedNamespace returns the cache namespace of all teams that are not dedicated.
func sharedNamespace(teams []Team) string {
	var dedicated []string
	for _, t := range teams {
		if t.Dedicated {
			dedicated = append(dedicated, url.PathEscape(t.Name))
		}
	}
	if len(dedicated) == 0 {
		return ""
	}
	slices.Sort(dedicated)
	sum := sha256.Sum256([]byte(strings.Join(slices.Compact(dedicated), "/")))
	return "/" + hex.EncodeToString(sum[:namespaceHashBytes])
}

// CacheNamespace returns the namespace of the cached prompt parts of a team's requests, nil for requests without a team:
// a dedicated team's own, or the one that all others share. The shared one has another name for each set of
// dedicated teams, so that it never holds parts of a team that has become dedicated.
func (c *Catalog) CacheNamespace(t *Team) string {
	switch {
	case t == nil || !t.Dedicated:
		return c.sharedNamespace
	case t.Name == "":
		return "/"
	default:
		return url.PathEscape(t.Name)
	}
}

// Version returns the document's version.
func (c *Catalog) Version() uint64 { return c.document.Version }

// Limits returns the size and time limits on callers' requests.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// Services returns all services.
func (c *Catalog) Services() []Service { return c.document.Services }

// LongestTimeout returns the longest timeout of all routes.
func (c *Catalog) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, r := range c.document.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// Route returns the host's route with the longest prefix that matches path, or nil if none matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that an API key belongs to, or nil.
func (c *Catalog) Team(key string) *Team { return c.teamsByKey[key] }

// RequiresKey reports whether requests to routes that aren't public need an API key.
func (c *Catalog) RequiresKey() bool { return len(c.document.Teams) > 0 }

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.servicesByName[name] }

// CacheStores returns the services that store KV cache entries for engines.
func (c *Catalog) CacheStores() []*Service {
	var out []*Service
	for i := range c.document.Services {
		if c.document.Services[i].Cache != nil {
			out = append(out, &c.document.Services[i])
		}
	}
	return out
}

// PickService returns the service that serves the request with the given ID. It hashes the ID, so
// that repeats of a request get the same service, and splits IDs in proportion to the targets'
// weights.
func (r *Route) PickService(id string) string {
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
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Repeatable reports whether a request may run again when an earlier attempt may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Rank returns the rank of a team's request; 0 goes first. The team's priority decides, and
// the route's priority orders the requests of one team.
func (r *Route) Rank(t *Team) int { return teamRank(t) + min(r.Priority, ranksPerTeamPriority-1) }

// LongRank returns the rank of a team's request that keeps a replica busy for long: behind the
// short requests of its route, but not behind those of the team's routes of lower priority.
func (r *Route) LongRank(t *Team) int { return teamRank(t) + min(r.Priority+1, ranksPerTeamPriority-1) }

func teamRank(t *Team) int {
	if t == nil || t.Priority == nil {
		return 0
	}
	return *t.Priority * ranksPerTeamPriority
}
