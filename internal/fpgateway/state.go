package fpgateway

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
	"github.com/fescuepoint/fescuepoint/pkg/fpweights"
)

const (
	// hostKeyPrefix is the prefix of the hosts' keys, each bound to the host's lease.
	hostKeyPrefix = "fescuepoint/hosts/"
	// orderLeaseKey is held under a lease by the host that gives orders.
	orderLeaseKey = "fescuepoint/orders"
	// buildKeyPrefix is the prefix of the software versions' keys, which outlast their replicas.
	buildKeyPrefix = "fescuepoint/builds/"
)

type (
	// controlState is the state of the control goroutine: what the store and other hosts
	// reported.
	controlState struct {
		gateway *Gateway
		catalog *fpcatalog.Catalog
		// storeBehind says that a restored store does not show the configuration in force yet.
		storeBehind bool
		fleet       *fpfleet.Fleet
		startTimes  map[string]int64
		published   publications
		hosts       map[string]hostEntry
		// unlistedUntil holds the time until which a host is kept that a restored store did not list.
		unlistedUntil map[string]time.Duration
		// weights holds what replicas stated of their weights.
		weights fpweights.Table
		// loadingUntil holds the time until which a replica is assumed to be loading weights.
		loadingUntil     map[string]time.Duration
		storeUnreachable bool
		// proof is the freshness proof of the state; both are updated together.
		proof fpfresh.Proof
		// orderLeaseHolder is the holder of the order lease according to the store, "" for none.
		orderLeaseHolder string
		// orderLeaseRevision is the revision at which that holder acquired the lease.
		orderLeaseRevision int64
		// incarnation is the store's, as of the last complete list, and incarnationSince when this host
		// learnt it.
		incarnation      int64
		incarnationSince time.Duration
		// restoredAt is when the store was seen to be restored from a copy, 0 for never.
		restoredAt time.Duration
		// position is that of the last update in the state.
		position fpstore.Position
		builds   *buildSet
	}

	// hostEntry is a host's entry in the store; the address is nil when the host receives no
	// notices.
	hostEntry struct {
		region  string
		zone    string
		address *net.UDPAddr
	}

	// snapshot is an immutable copy of controlState that requests are served from.
	snapshot struct {
		catalog *fpcatalog.Catalog
		// proof is the freshness proof of catalog: a newer proof must never go with an older
		// catalog.
		proof             fpfresh.Proof
		replicasByService map[string][]fpbalance.Replica
		// builds are the software versions in service by service, registeredBuilds those of registered
		// replicas, and storedBuilds those in the store by key.
		builds           map[string][]string
		registeredBuilds map[fporigin.Origin]bool
		storedBuilds     map[string]fporigin.Origin
		// registered holds the registrations, sorted by ID.
		registered  []fpfleet.Replica
		published   publications
		cacheStores []fpbalance.CacheStore
		hostCount   int
		// zoneCount is the number of zones with hosts.
		zoneCount int
		// hostNames are all hosts and hostsByRegion those of each region, both sorted.
		hostNames     []string
		hostsByRegion map[string][]string
		// zoneHosts are the hosts of this host's availability zone, sorted.
		zoneHosts     []string
		hostAddresses map[string]*net.UDPAddr
		// allPeers are notified of weights, nearPeers directly of requests and cache events: all in a
		// small fleet, those of the availability zone in a large one.
		allPeers  []*net.UDPAddr
		nearPeers []*net.UDPAddr
		// otherZones are the hosts of each other zone of this host's region in a large fleet.
		otherZones map[string][]string
		draining   bool
		// orderLeaseHolder is the holder of the order lease, "" for none.
		orderLeaseHolder string
		storeUnreachable bool
		// incarnation is the store's, which this host has known since incarnationSince.
		incarnation      int64
		incarnationSince time.Duration
		restoredAt       time.Duration
		position         fpstore.Position
	}
)

// registration returns the registration of a replica.
func (s *snapshot) registration(id string) (fpfleet.Replica, bool) {
	i, found := slices.BinarySearchFunc(s.registered, id, func(r fpfleet.Replica, id string) int { return strings.Compare(r.ID, id) })
	if !found {
		return fpfleet.Replica{}, false
	}
	return s.registered[i], true
}

func newControlState(g *Gateway) *controlState {
	return &controlState{
		gateway:       g,
		fleet:         fpfleet.New(),
		startTimes:    make(map[string]int64),
		published:     newPublications(),
		hosts:         make(map[string]hostEntry),
		unlistedUntil: make(map[string]time.Duration),
		weights:       make(fpweights.Table),
		loadingUntil:  make(map[string]time.Duration),
		builds:        newBuildSet(),
	}
}

// applyUpdate applies an update of the store.
func (c *controlState) applyUpdate(u fpstore.Update, now time.Duration) {
	if errors.IsAny(u.Err, fpstore.ErrCompacted, fpstore.ErrRestored) {
		// The store is reachable; the follower reads the complete list next.
		c.gateway.log("store listed again", "Reason", u.Err.Error(), "ProofAge", c.gateway.formatProofAge(now))
		return
	}
	if u.Err != nil {
		c.markStoreUnreachable(u.Err, now)
		return
	}
	c.markStoreReachable(now)
	var listed []fpfleet.Replica
	restored := false
	_, listedBefore := c.proof.Age(now)
	if u.Complete {
		restored = c.recordIncarnation(u.Position, now)
		c.storeBehind = c.catalog != nil && (restored || c.storeBehind)
		c.clearHosts(restored, now)
		c.clearBuilds(restored, now)
		c.gateway.applyUnlistedParts(u.Items, restored)
		c.orderLeaseHolder = ""
		c.published.clearRecords()
	}
	for _, i := range u.Items {
		c.applyItem(i, now, u.Complete, &listed)
	}
	c.position = u.Position
	switch {
	case restored:
		c.fleet.RestoreAll(listed, now)
	case u.Complete:
		c.fleet.ReplaceAll(listed, now)
	}
	if !listedBefore {
		c.ageUnnotedWeights(u.SentAt)
	}
	c.published.raiseRecent(c.incarnation, u.SentAt)
	// A store that lacks the configuration in force may also lack a later one that it confirmed.
	if !c.storeBehind {
		c.proof = c.proof.WithAnswer(u.SentAt)
	}
}

// recordIncarnation records the store's incarnation from a complete list and reports whether the store was
// restored from a copy since the last one.
func (c *controlState) recordIncarnation(p fpstore.Position, now time.Duration) bool {
	_, known := c.proof.Age(now)
	if known && p.Incarnation == c.incarnation {
		return false
	}
	if known {
		c.gateway.log("store restored from a copy", "Incarnation", p.Incarnation, "Former", c.incarnation, "Revision", p.Revision,
			"ProofAge", c.gateway.formatProofAge(now))
	}
	c.incarnation, c.incarnationSince = p.Incarnation, now
	if known {
		c.restoredAt = now
	}
	c.gateway.metrics.SetGauge("store_incarnation", float64(p.Incarnation))
	return known
}

// clearHosts drops the hosts before a complete list. After a restore they are kept until they had the time
// to register again, since what each may use is a share that grows as hosts go missing.
func (c *controlState) clearHosts(restored bool, now time.Duration) {
	clear(c.unlistedUntil)
	if !restored {
		clear(c.hosts)
		return
	}
	for name := range c.hosts {
		c.unlistedUntil[name] = now + hostLeaseTTL
	}
}

// dropUnlistedHosts drops the hosts that have not registered again in time after a restore.
func (c *controlState) dropUnlistedHosts(now time.Duration) {
	for name, until := range c.unlistedUntil {
		if now >= until {
			delete(c.unlistedUntil, name)
			delete(c.hosts, name)
		}
	}
}

func (c *controlState) markStoreUnreachable(err error, now time.Duration) {
	if !c.storeUnreachable {
		c.storeUnreachable = true
		c.fleet.MarkStoreUnreachable()
		c.gateway.log("store unreachable", "Error", err.Error(), "ProofAge", c.gateway.formatProofAge(now))
	}
}

func (c *controlState) markStoreReachable(now time.Duration) {
	if c.storeUnreachable {
		c.storeUnreachable = false
		c.fleet.MarkStoreReachable(now)
		c.gateway.log("store reachable again", "ProofAge", c.gateway.formatProofAge(now))
	}
}

func (c *controlState) applyItem(i fpstore.Item, now time.Duration, complete bool, listed *[]fpfleet.Replica) {
	if len(i.Key) > len(hostKeyPrefix) && i.Key[:len(hostKeyPrefix)] == hostKeyPrefix {
		c.applyHostEntry(i)
		if name := i.Key[len(hostKeyPrefix):]; !complete && !i.Deleted {
			c.gateway.resendOrigins(name, c.hosts[name].address)
		}
		return
	}
	if id, ok := strings.CutPrefix(i.Key, quarantineKeyPrefix); ok {
		c.gateway.applyQuarantineEntry(id, i)
		return
	}
	if isBuildKey(i.Key) {
		c.applyBuildEntry(i)
		return
	}
	if isOriginKey(i.Key) {
		c.gateway.applySegment(i, now)
		return
	}
	if i.Key == orderLeaseKey {
		c.orderLeaseHolder, c.orderLeaseRevision = string(i.Value), i.Revision
		c.gateway.log("order lease entry received", "Holder", c.orderLeaseHolder, "Revision", i.Revision)
		return
	}
	if isRecord, err := c.published.applyRecord(i); isRecord {
		if err != nil {
			c.gateway.log("entry ignored", "Key", i.Key, "Revision", i.Revision, "Error", err.Error())
		}
		return
	}
	decoded, err := c.gateway.dialect.DecodeItem(i)
	switch {
	case err != nil:
		c.gateway.log("entry ignored", "Key", i.Key, "Revision", i.Revision, "Error", err.Error())
	case decoded.Catalog != nil:
		c.applyCatalog(decoded.Catalog, i.Revision)
	case decoded.Replica != nil && complete:
		*listed = append(*listed, *decoded.Replica)
		c.recordRegistration(decoded.Replica, now)
	case decoded.Replica != nil:
		c.recordRegistration(decoded.Replica, now)
		c.fleet.Put(*decoded.Replica)
	case decoded.RemovedReplica != "":
		c.gateway.log("replica entry deleted", "Replica", decoded.RemovedReplica, "Revision", i.Revision, "StoreAway", c.storeUnreachable)
		c.removeReplica(decoded.RemovedReplica, i.Revision, now)
	case decoded.Weights != nil:
		c.applyPublishedWeights(*decoded.Weights, i.Revision, now)
	}
}

// removeReplica removes a replica whose entry was deleted. One that was not draining and broke off
// answers has crashed.
func (c *controlState) removeReplica(id string, revision int64, now time.Duration) {
	if !c.storeUnreachable && !c.fleet.Draining(id) && !c.gateway.leaving(id, c.startTimes[id]) {
		c.gateway.recordCrash(id, "entry deleted")
	}
	c.fleet.Remove(id, revision, now)
}

// applyHostEntry applies a change of a host's entry.
func (c *controlState) applyHostEntry(i fpstore.Item) {
	name := i.Key[len(hostKeyPrefix):]
	delete(c.unlistedUntil, name)
	if i.Deleted {
		delete(c.hosts, name)
		return
	}
	h, err := decodeHostEntry(i.Value)
	if err != nil {
		c.gateway.log("host entry without a usable address", "Peer", name, "Error", err.Error())
	}
	c.hosts[name] = h
}

// applyCatalog puts a configuration in force, unless it is not newer than the current one.
func (c *controlState) applyCatalog(n *fpcatalog.Catalog, revision int64) {
	c.storeBehind = c.catalog != nil && n.Version() < c.catalog.Version()
	if c.catalog != nil && n.Version() <= c.catalog.Version() {
		if c.storeBehind {
			c.gateway.log("older configuration in the store", "ConfigVersion", n.Version(), "InForce", c.catalog.Version(), "Revision", revision)
		}
		return
	}
	c.catalog = n
	c.gateway.setOriginRetention(n)
	c.gateway.log("configuration in force", "ConfigVersion", n.Version(), "Revision", revision)
}

// recordRegistration records a replica's registration and detects a restart under the same ID.
func (c *controlState) recordRegistration(r *fpfleet.Replica, now time.Duration) {
	if startTime, ok := c.startTimes[r.ID]; ok && startTime != r.StartUnixMilli {
		c.weights.Forget(r.ID)
		delete(c.loadingUntil, r.ID)
		c.gateway.forgetRestartedReplica(*r)
		c.gateway.log("replica restarted", "Replica", r.ID, "Revision", r.Revision)
	} else if !ok {
		c.gateway.log("replica registered", "Replica", r.ID, "Service", r.Service, "Zone", r.Zone, "Revision", r.Revision)
	}
	if r.Draining {
		c.gateway.log("replica draining", "Replica", r.ID, "Revision", r.Revision)
	}
	if startTime, ok := c.startTimes[r.ID]; !ok || startTime != r.StartUnixMilli {
		c.gateway.recordReplicaStart(r.ID, r.Service, now)
	}
	c.startTimes[r.ID] = r.StartUnixMilli
	if len(r.Weights) > 0 && !registrationsDue(c.restoredAt, now) {
		c.weights.Record(r.ID, fpweights.Statement{Version: registeredWeights(*r), At: now, Lag: fpweights.EntryLag})
	}
}

// buildSnapshot returns a snapshot of the current state.
func (c *controlState) buildSnapshot(now time.Duration, draining bool) *snapshot {
	c.fleet.DropExpired(now)
	c.dropUnlistedHosts(now)
	s := &snapshot{
		catalog:           c.catalog,
		proof:             c.proof,
		replicasByService: make(map[string][]fpbalance.Replica),
		registered:        c.fleet.Replicas(),
		published:         c.published.clone(),
		draining:          draining,

		orderLeaseHolder: c.orderLeaseHolder,
		storeUnreachable: c.storeUnreachable,
		incarnation:      c.incarnation,
		incarnationSince: c.incarnationSince,
		restoredAt:       c.restoredAt,
		position:         c.position,
	}
	s.cacheStores = c.cacheStores()
	s.hostCount = len(c.hosts)
	s.hostsByRegion = make(map[string][]string)
	s.hostAddresses = make(map[string]*net.UDPAddr, len(c.hosts))
	s.otherZones = make(map[string][]string)
	s.hostNames = slices.Sorted(maps.Keys(c.hosts))
	zones := make(map[string]bool)
	for _, name := range s.hostNames {
		h := c.hosts[name]
		zones[h.zone] = true
		s.hostsByRegion[h.region] = append(s.hostsByRegion[h.region], name)
		s.hostAddresses[name] = h.address
		place := c.gateway.settings().Place
		large := len(c.hosts) > maxBroadcastHosts
		switch {
		case h.zone == place.Zone:
			s.zoneHosts = append(s.zoneHosts, name)
		case large && h.region == place.Region:
			s.otherZones[h.zone] = append(s.otherZones[h.zone], name)
		}
		if name == c.gateway.settings().Host || h.address == nil {
			continue
		}
		s.allPeers = append(s.allPeers, h.address)
		if !large || h.zone == place.Zone {
			s.nearPeers = append(s.nearPeers, h.address)
		}
	}
	s.zoneCount = len(zones)
	c.pruneReplicas(s.registered, now)
	c.addBuilds(s, now)
	c.gateway.markLeaving(s.registered)
	for _, r := range s.registered {
		if !r.Draining {
			s.replicasByService[r.Service] = append(s.replicasByService[r.Service], c.balancerReplica(r, now))
		}
	}
	return s
}

// pruneReplicas drops the state of replicas that are no longer registered.
func (c *controlState) pruneReplicas(registered []fpfleet.Replica, now time.Duration) {
	if len(c.startTimes) <= len(registered) {
		return
	}
	listed := make(map[string]bool, len(registered))
	for _, r := range registered {
		listed[r.ID] = true
	}
	for id := range c.startTimes {
		if !listed[id] {
			delete(c.startTimes, id)
			c.weights.Forget(id)
			delete(c.loadingUntil, id)
			c.gateway.forgetReplica(id)
			c.gateway.recordReplicaEnd(id, now)
		}
	}
}

// cacheStores returns the KV cache stores in the configuration.
func (c *controlState) cacheStores() []fpbalance.CacheStore {
	if c.catalog == nil {
		return nil
	}
	var out []fpbalance.CacheStore
	for _, s := range c.catalog.CacheStores() {
		out = append(out, fpbalance.CacheStore{
			ID: s.Name, Address: s.Cache.Address, Zone: s.Cache.Zone,
			Region: c.gateway.settings().ZoneRegions[s.Cache.Zone], MegabitsPerSecond: s.Cache.LinkMegabitsPerSecond,
		})
	}
	return out
}

func (c *controlState) balancerReplica(r fpfleet.Replica, now time.Duration) fpbalance.Replica {
	m := fpbalance.Replica{
		StartUnixMilli: r.StartUnixMilli,

		ID:      r.ID,
		Service: r.Service,
		Address: r.Address,
		Zone:    r.Zone,
		Region:  c.gateway.settings().ZoneRegions[r.Zone],
		Slots:   r.Slots,
		Build:   r.Build,
		Loading: now < c.loadingUntil[r.ID],
	}
	m.Version, m.Engine = c.weightsOf(r, now)
	return m
}
