package fpgateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

const (
	// maxKeyBytes is the longest key that the store takes.
	maxKeyBytes = 200
)

type (
	// buildSet holds the software versions in service: those of registered replicas, and those of
	// replicas that left so recently that streams which they began may be taken up. A host that has
	// started knows the latter from the store.
	buildSet struct {
		registered   map[fporigin.Origin]bool
		registeredAt map[fporigin.Origin]time.Duration
		// stored holds the versions in the store by their key.
		stored    map[string]fporigin.Origin
		inService map[fporigin.Origin]bool
	}
)

func newBuildSet() *buildSet {
	return &buildSet{registeredAt: make(map[fporigin.Origin]time.Duration), stored: make(map[string]fporigin.Origin)}
}

// buildKey returns the key of a software version of a service; a long one ends with a hash.
func buildKey(o fporigin.Origin) string {
	key := buildKeyPrefix + url.PathEscape(o.Service) + "/" + url.PathEscape(o.Build)
	if len(key) <= maxKeyBytes {
		return key
	}
	sum := sha256.Sum256([]byte(key))
	return buildKeyPrefix + hex.EncodeToString(sum[:])
}

func isBuildKey(key string) bool { return strings.HasPrefix(key, buildKeyPrefix) }

func unmarshalOrigin(value []byte) (fporigin.Origin, error) {
	var o fporigin.Origin
	err := json.Unmarshal(value, &o)
	return o, err
}

// applyBuildEntry applies a change of a software version's entry.
func (c *controlState) applyBuildEntry(i fpstore.Item) {
	if i.Deleted {
		delete(c.builds.stored, i.Key)
		return
	}
	o, err := unmarshalOrigin(i.Value)
	if err != nil {
		c.gateway.log("entry ignored", "Key", i.Key, "Revision", i.Revision, "Error", err.Error())
		return
	}
	c.builds.stored[i.Key] = o
}

// clearBuilds drops the stored versions before a complete list. Those that a restored store lacks count as
// if their replicas had just left.
func (c *controlState) clearBuilds(restored bool, now time.Duration) {
	for _, o := range c.builds.stored {
		if restored {
			c.builds.registeredAt[o] = now
		}
	}
	clear(c.builds.stored)
}

// update brings the set up to date and returns the versions that came into service and those that are no
// longer in it.
func (b *buildSet) update(registered []fpfleet.Replica, retention, now time.Duration) (added, removed []fporigin.Origin) {
	b.registered = make(map[fporigin.Origin]bool)
	for _, r := range registered {
		b.registered[fporigin.Origin{Service: r.Service, Build: r.Build}] = true
	}
	inService := make(map[fporigin.Origin]bool)
	for o := range b.registered {
		b.registeredAt[o] = now
	}
	for o, at := range b.registeredAt {
		if now-at >= retention {
			delete(b.registeredAt, o)
			continue
		}
		inService[o] = true
	}
	for _, o := range b.stored {
		inService[o] = true
	}
	for o := range inService {
		if !b.inService[o] {
			added = append(added, o)
		}
	}
	for o := range b.inService {
		if !inService[o] {
			removed = append(removed, o)
		}
	}
	b.inService = inService
	return added, removed
}

// buildsByService returns the software versions in service, sorted.
func (b *buildSet) buildsByService() map[string][]string {
	out := make(map[string][]string)
	for o := range b.inService {
		out[o.Service] = append(out[o.Service], o.Build)
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// addBuilds adds the software versions to a snapshot.
func (c *controlState) addBuilds(s *snapshot, now time.Duration) {
	added, removed := c.builds.update(s.registered, buildRetention(c.catalog), now)
	s.builds = c.builds.buildsByService()
	s.registeredBuilds = c.builds.registered
	s.storedBuilds = maps.Clone(c.builds.stored)
	for _, o := range added {
		c.gateway.log("software version in service", "Service", o.Service, "Build", o.Build, "InService", len(s.builds[o.Service]))
		if len(s.builds[o.Service]) > 1 {
			c.gateway.sendOriginsOf(o.Service)
		}
	}
	for _, o := range removed {
		c.gateway.log("software version no longer in service", "Service", o.Service, "Build", o.Build, "InService", len(s.builds[o.Service]))
	}
}
