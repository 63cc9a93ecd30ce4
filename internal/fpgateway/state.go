package fpgateway

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
)

const (
	// hostsPrefix holds a key for each living host, bound to its lease.
	hostsPrefix = "fescuepoint/hosts/"
	// orderKey is held under a lease by the host that gives orders.
	orderKey = "fescuepoint/orders"
)

type (
	// control is the control goroutine's state: what the store said.
	control struct {
		gateway *Gateway
		catalog *fpcatalog.Catalog
		fleet   *fpfleet.Fleet
		born    map[string]int64
		weights map[string][]namedWeights
		hosts   map[string]hostEntry
		// learnt holds versions that replicas told of themselves, by replica.
		learnt map[string]int64
		// loading holds until when a replica is believed to change its weights.
		loading map[string]time.Duration
		away    bool
		// proof is the age of what the store said, in step with it.
		proof fpfresh.Proof
		// orderHolder is the host that gives orders, as the store last said.
		orderHolder string
	}

	// hostEntry is another host; the address is nil when it takes no notices.
	hostEntry struct {
		region  string
		zone    string
		address *net.UDPAddr
	}

	namedWeights struct {
		version int64
		since   time.Duration
	}

	// snapshot is an immutable picture of control for traffic.
	snapshot struct {
		catalog *fpcatalog.Catalog
		// proof is that of catalog: a newer proof never goes with an older catalog.
		proof    fpfresh.Proof
		services map[string][]fpbalance.Replica
		members  []fpfleet.Replica
		weights  map[string][]namedWeights
		stores   []fpbalance.CacheStore
		hosts    int
		// names are the hosts, and regions those of each region, sorted.
		names   []string
		regions map[string][]string
		// zone holds the hosts of this host's availability zone, sorted.
		zone      []string
		addresses map[string]*net.UDPAddr
		// all and near are the hosts that are told of weights and of requests.
		all      []*net.UDPAddr
		near     []*net.UDPAddr
		draining bool
		// orderHolder is the host that gives orders; away says that the store can't be reached.
		orderHolder string
		away        bool
	}
)

func newControl(g *Gateway) *control {
	return &control{
		gateway: g,
		fleet:   fpfleet.New(),
		born:    make(map[string]int64),
		weights: make(map[string][]namedWeights),
		hosts:   make(map[string]hostEntry),
		learnt:  make(map[string]int64),
		loading: make(map[string]time.Duration),
	}
}

// update takes in news of the store.
func (c *control) update(u fpstore.Update, now time.Duration) {
	if errors.Is(u.Err, fpstore.ErrCompacted) {
		// The store is there; the list is read anew next.
		c.gateway.log("history forgotten", "ProofAge", c.gateway.proofAge(now))
		return
	}
	if u.Err != nil {
		c.lost(u.Err, now)
		return
	}
	c.found(now)
	var listed []fpfleet.Replica
	if u.Complete {
		clear(c.hosts)
		c.orderHolder = ""
	}
	for _, i := range u.Items {
		c.item(i, now, u.Complete, &listed)
	}
	if u.Complete {
		c.fleet.ReplaceAll(listed, now)
	}
	c.proof = c.proof.WithAnswer(u.Sent)
}

func (c *control) lost(err error, now time.Duration) {
	if !c.away {
		c.away = true
		c.fleet.MarkStoreUnreachable()
		c.gateway.log("store lost", "Error", err.Error(), "ProofAge", c.gateway.proofAge(now))
	}
}

func (c *control) found(now time.Duration) {
	if c.away {
		c.away = false
		c.fleet.MarkStoreReachable(now)
		c.gateway.log("store regained", "ProofAge", c.gateway.proofAge(now))
	}
}

func (c *control) item(i fpstore.Item, now time.Duration, complete bool, listed *[]fpfleet.Replica) {
	if len(i.Key) > len(hostsPrefix) && i.Key[:len(hostsPrefix)] == hostsPrefix {
		c.host(i)
		return
	}
	if i.Key == orderKey {
		c.orderHolder = string(i.Value)
		c.gateway.log("holder of orders", "Holder", c.orderHolder, "Revision", i.Revision)
		return
	}
	news, err := c.gateway.dialect.News(i)
	switch {
	case err != nil:
		c.gateway.log("entry ignored", "Key", i.Key, "Revision", i.Revision, "Error", err.Error())
	case news.Catalog != nil:
		c.configured(news.Catalog, i.Revision)
	case news.Replica != nil && complete:
		*listed = append(*listed, *news.Replica)
		c.replica(news.Replica)
	case news.Replica != nil:
		c.replica(news.Replica)
		c.fleet.Put(*news.Replica)
	case news.Gone != "":
		c.gateway.log("replica gone", "Replica", news.Gone, "Revision", i.Revision, "StoreAway", c.away)
		c.fleet.Remove(news.Gone, i.Revision, now)
	case news.Weights != nil:
		c.named(*news.Weights, i.Revision, now)
	}
}

// host takes in another host's entry, or that it is gone.
func (c *control) host(i fpstore.Item) {
	name := i.Key[len(hostsPrefix):]
	if i.Deleted {
		delete(c.hosts, name)
		return
	}
	h, err := decodeHost(i.Value)
	if err != nil {
		c.gateway.log("host without an address for notices", "Peer", name, "Error", err.Error())
	}
	if _, known := c.hosts[name]; !known && h.address != nil && name != c.gateway.settings().Host {
		c.tellNamed(h.address)
	}
	c.hosts[name] = h
}

// tellNamed tells a host that has just started since when versions are named,
// which the store does not say.
func (c *control) tellNamed(to *net.UDPAddr) {
	now := c.gateway.clock()
	for model, list := range c.weights {
		for _, v := range list {
			age := (now - v.since).Milliseconds()
			c.gateway.tell([]*net.UDPAddr{to}, fpnotice.Notice{Named: &fpnotice.Named{Model: model, Version: v.version, AgeMs: age}})
		}
	}
}

// namedBefore takes in another host's word of when a version was named.
func (c *control) namedBefore(model string, version int64, since time.Duration) {
	list := slices.Clone(c.weights[model])
	i, found := slices.BinarySearchFunc(list, version, func(n namedWeights, v int64) int { return cmp.Compare(n.version, v) })
	switch {
	case !found:
		list = slices.Insert(list, i, namedWeights{version: version, since: since})
	case since < list[i].since:
		list[i].since = since
	default:
		return
	}
	c.weights[model] = list
	c.gateway.log("weights named earlier", "Model", model, "WeightsVersion", version, "Age", (c.gateway.clock() - since).String())
}

// configured puts a configuration in force, unless it is older than the one that is.
func (c *control) configured(n *fpcatalog.Catalog, revision int64) {
	if c.catalog != nil && n.Version() <= c.catalog.Version() {
		return
	}
	c.catalog = n
	c.gateway.log("configuration in force", "ConfigVersion", n.Version(), "Revision", revision)
}

// replica notes a new start of a replica under the ID of an earlier one.
func (c *control) replica(r *fpfleet.Replica) {
	if born, ok := c.born[r.ID]; ok && born != r.StartUnixMilli {
		delete(c.learnt, r.ID)
		delete(c.loading, r.ID)
		c.gateway.forget(*r)
		c.gateway.log("replica restarted", "Replica", r.ID, "Revision", r.Revision)
	} else if !ok {
		c.gateway.log("replica registered", "Replica", r.ID, "Service", r.Service, "Zone", r.Zone, "Revision", r.Revision)
	}
	if r.Draining {
		c.gateway.log("replica draining", "Replica", r.ID, "Revision", r.Revision)
	}
	c.born[r.ID] = r.StartUnixMilli
}

func (c *control) named(w NamedWeights, revision int64, now time.Duration) {
	list := c.weights[w.Model]
	if len(list) > 0 && w.Version <= list[len(list)-1].version {
		return
	}
	// A new slice: snapshots share the old one.
	c.weights[w.Model] = append(slices.Clip(list), namedWeights{version: w.Version, since: now})
	c.gateway.log("weights named", "Model", w.Model, "WeightsVersion", w.Version, "Revision", revision)
}

// saw takes in the version of weights that a replica told of itself.
func (c *control) saw(id string, version int64, loading time.Duration) {
	c.learnt[id] = max(c.learnt[id], version)
	if loading == 0 {
		delete(c.loading, id)
		return
	}
	c.loading[id] = loading
}

// newest returns the newest version named for a model, 0 for none.
func (s *snapshot) newest(model string) namedWeights {
	list := s.weights[model]
	if len(list) == 0 {
		return namedWeights{}
	}
	return list[len(list)-1]
}

// oldest returns the oldest version of a model that may still be used: the
// newest of those named longer than limit ago, 0 when none is.
func (s *snapshot) oldest(model string, limit, now time.Duration) int64 {
	oldest := int64(0)
	for _, n := range s.weights[model] {
		if limit > 0 && now-n.since >= limit {
			oldest = n.version
		}
	}
	return oldest
}

// snapshot returns the present picture.
func (c *control) snapshot(now time.Duration, draining bool) *snapshot {
	c.fleet.DropExpired(now)
	s := &snapshot{
		catalog:  c.catalog,
		proof:    c.proof,
		services: make(map[string][]fpbalance.Replica),
		members:  c.fleet.Replicas(),
		weights:  maps.Clone(c.weights),
		draining: draining,

		orderHolder: c.orderHolder,
		away:        c.away,
	}
	s.stores = c.stores()
	s.hosts = len(c.hosts)
	s.regions = make(map[string][]string)
	s.addresses = make(map[string]*net.UDPAddr, len(c.hosts))
	s.names = slices.Sorted(maps.Keys(c.hosts))
	for _, name := range s.names {
		h := c.hosts[name]
		s.regions[h.region] = append(s.regions[h.region], name)
		s.addresses[name] = h.address
		if h.zone == c.gateway.settings().Place.Zone {
			s.zone = append(s.zone, name)
		}
		if name == c.gateway.settings().Host || h.address == nil {
			continue
		}
		s.all = append(s.all, h.address)
		if len(c.hosts) <= maxToldHosts || h.region == c.gateway.settings().Place.Region {
			s.near = append(s.near, h.address)
		}
	}
	c.prune(s.members)
	for _, r := range s.members {
		if !r.Draining {
			s.services[r.Service] = append(s.services[r.Service], c.member(r, now))
		}
	}
	return s
}

// prune drops what is known of replicas that are gone.
func (c *control) prune(members []fpfleet.Replica) {
	if len(c.born) <= len(members) {
		return
	}
	listed := make(map[string]bool, len(members))
	for _, r := range members {
		listed[r.ID] = true
	}
	for id := range c.born {
		if !listed[id] {
			delete(c.born, id)
			delete(c.learnt, id)
			delete(c.loading, id)
			c.gateway.forgetID(id)
		}
	}
}

// stores returns the stores of KV cache that the configuration names.
func (c *control) stores() []fpbalance.CacheStore {
	if c.catalog == nil {
		return nil
	}
	var out []fpbalance.CacheStore
	for _, s := range c.catalog.CacheStores() {
		out = append(out, fpbalance.CacheStore{
			ID: s.Name, Address: s.Cache.Address, Zone: s.Cache.Zone,
			Region: c.gateway.settings().Zones[s.Cache.Zone], MegabitsPerSecond: s.Cache.LinkMegabitsPerSecond,
		})
	}
	return out
}

func (c *control) member(r fpfleet.Replica, now time.Duration) fpbalance.Replica {
	m := fpbalance.Replica{
		ID:      r.ID,
		Service: r.Service,
		Address: r.Address,
		Zone:    r.Zone,
		Region:  c.gateway.settings().Zones[r.Zone],
		Slots:   r.Slots,
		Loading: now < c.loading[r.ID],
	}
	for _, v := range r.Weights {
		m.Engine = true
		m.Version = max(m.Version, v)
	}
	if m.Engine {
		m.Version = max(m.Version, c.learnt[r.ID])
	}
	return m
}
