package fpgateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// notedWeightsPrefix is the prefix of a key for each model: the newest version that a holder of the
	// order lease has taken note of.
	notedWeightsPrefix = "fescuepoint/weights/"
	// recentWeightsPrefix is the prefix of a key for each version that was published recently. It is bound
	// to a lease, so that the store measures its age while all hosts are down.
	recentWeightsPrefix = "fescuepoint/recent-weights/"
	// recentWeightsReserve is the share of the limit on replaced weights that is left when such a key
	// ends. A host that knows the age from the key alone uses replaced weights until then.
	recentWeightsReserve = 1.0 / 3
	// recentLeaseTimeout bounds the grant of the key's lease, and so how much later the lease may begin.
	recentLeaseTimeout = 500 * time.Millisecond
	// minRecentTTL is the shortest useful time to live of the key, maxRecentTTL the longest that the store
	// grants, and noteRetryPause the pause after a write.
	minRecentTTL   = time.Second
	maxRecentTTL   = 10 * time.Minute
	noteRetryPause = time.Second
	// notingDelay bounds the time from a publication until the order lease's holder has noted it: a watch,
	// a batch delay and a write.
	notingDelay = 2500 * time.Millisecond
	// maxUnnotedTime is how long a holder may fail to note a version before it gives up the lease: the note
	// is seen with a later answer of the store.
	maxUnnotedTime = 2 * notingDelay
	// unknownPublication is the publication time of weights that may have been published at any time.
	unknownPublication = -100 * 365 * 24 * time.Hour
)

// errLeaseTooLate means that a lease may have begun too long after its time to live was determined.
var errLeaseTooLate = errors.New("the lease was granted too late")

type (
	// publishedVersion is a published version of a model's weights. It was published no earlier than
	// weightsPropagationMargin before publishedAt.
	publishedVersion struct {
		version     int64
		publishedAt time.Duration
	}

	// notedWeights is the newest version of a model that has been noted in the store, at a revision.
	notedWeights struct {
		version  int64
		revision int64
	}

	// weightsRecord is the value of the keys in the store. Former is the version published before, RecentMs
	// the age in milliseconds at which the key ends, and Incarnation that of the store: a copy may list a
	// recent version that has long been replaced.
	weightsRecord struct {
		Version     int64
		Former      int64 `json:",omitempty"`
		RecentMs    int64 `json:",omitempty"`
		Incarnation int64 `json:",omitempty"`
	}

	// publications is what the store and this host know of published weights. Snapshots share its lists,
	// which are never changed in place.
	publications struct {
		versions map[string][]publishedVersion
		// revisions holds the store's revision of each model's newest version.
		revisions map[string]int64
		noted     map[string]notedWeights
		// recent holds the records of recent versions, by the key without its prefix.
		recent map[string]weightsRecord
	}
)

func newPublications() publications {
	return publications{
		versions:  make(map[string][]publishedVersion),
		revisions: make(map[string]int64),
		noted:     make(map[string]notedWeights),
		recent:    make(map[string]weightsRecord),
	}
}

// clone returns a copy for a snapshot, without the records of recent versions.
func (p publications) clone() publications {
	return publications{versions: maps.Clone(p.versions), noted: maps.Clone(p.noted)}
}

// newest returns the newest published version of a model, the zero value for none.
func (p publications) newest(model string) publishedVersion {
	list := p.versions[model]
	if len(list) == 0 {
		return publishedVersion{}
	}
	return list[len(list)-1]
}

// former returns the version of a model that was published before the newest one, 0 for none.
func (p publications) former(model string) int64 {
	list := p.versions[model]
	if len(list) < 2 {
		return 0
	}
	return list[len(list)-2].version
}

// timeToBegin returns the time from now in which a request may still begin on a version of a model:
// until limit has passed since a newer version was published.
func (p publications) timeToBegin(model string, version int64, limit, now time.Duration) time.Duration {
	left := time.Duration(math.MaxInt64)
	for _, n := range p.versions[model] {
		if limit > 0 && n.version > version {
			left = min(left, n.publishedAt+limit-now)
		}
	}
	return left
}

// raise records that a version was published no earlier than weightsPropagationMargin before at.
func (p publications) raise(model string, version int64, at time.Duration) {
	list := p.versions[model]
	i, found := slices.BinarySearchFunc(list, version, func(n publishedVersion, v int64) int { return cmp.Compare(n.version, v) })
	switch {
	case !found:
		p.versions[model] = slices.Insert(slices.Clone(list), i, publishedVersion{version: version, publishedAt: at})
	case list[i].publishedAt < at:
		list = slices.Clone(list)
		list[i].publishedAt = at
		p.versions[model] = list
	}
}

// applyRecord applies a change of a noted or a recent version and reports whether the item is one.
func (p publications) applyRecord(i fpstore.Item) (bool, error) {
	model, isNoted := strings.CutPrefix(i.Key, notedWeightsPrefix)
	name, isRecent := strings.CutPrefix(i.Key, recentWeightsPrefix)
	var w weightsRecord
	switch {
	case !isNoted && !isRecent:
		return false, nil
	case i.Deleted:
		delete(p.noted, model)
		delete(p.recent, name)
		return true, nil
	}
	if err := json.Unmarshal(i.Value, &w); err != nil {
		return true, err
	}
	if isNoted {
		p.noted[model] = notedWeights{version: w.Version, revision: i.Revision}
	} else {
		p.recent[name] = w
	}
	return true, nil
}

// clearRecords drops what the store had recorded, before a complete list.
func (p publications) clearRecords() {
	clear(p.noted)
	clear(p.recent)
}

// raiseRecent raises the publication times of the versions whose keys existed at the given time. Versions
// before the one that such a version replaced are bound by that one's publication.
func (p publications) raiseRecent(incarnation int64, existedAt time.Duration) {
	for name, w := range p.recent {
		i := strings.LastIndexByte(name, '/')
		if i < 0 || w.Incarnation != incarnation || w.RecentMs <= 0 {
			continue
		}
		p.raise(name[:i], w.Version, existedAt-time.Duration(w.RecentMs)*time.Millisecond-recentLeaseTimeout)
		if w.Former > 0 {
			p.raise(name[:i], w.Former, unknownPublication)
		}
	}
}

// recentAge returns the age at which a published version is no longer recent.
func recentAge(limit time.Duration) time.Duration {
	return limit - time.Duration(recentWeightsReserve*float64(limit))
}

// recentWeightsKey returns the key of a recent version.
func recentWeightsKey(model string, version int64) string {
	return recentWeightsPrefix + model + "/" + strconv.FormatInt(version, 10)
}

// applyPublishedWeights records a version that the store shows. It was not published before the last
// answer of the store that did not show it.
func (c *controlState) applyPublishedWeights(w PublishedWeights, revision int64, now time.Duration) {
	newest := c.published.newest(w.Model)
	if newest.version > 0 && w.Version <= newest.version {
		return
	}
	at := unknownPublication
	if age, known := c.proof.Age(now); known {
		at = min(now, now-age+weightsPropagationMargin)
	}
	c.published.raise(w.Model, w.Version, at)
	c.published.revisions[w.Model] = revision
	c.gateway.log("weights published", "Model", w.Model, "WeightsVersion", w.Version, "Revision", revision, "ProofAge", c.gateway.formatProofAge(now))
}

// ageUnnotedWeights bounds the age of versions in the first list of this process that nobody has noted. If
// the list shows an order lease that is older than the version, its holder was alive within the lease's time
// to live and would have noted what had been published for long. Weights before the noted version are bound
// by the publication of that one.
func (c *controlState) ageUnnotedWeights(listedAt time.Duration) {
	for model := range c.published.versions {
		n, noted := c.published.newest(model), c.published.noted[model]
		if n.version <= noted.version {
			continue
		}
		if noted.version > 0 {
			c.published.raise(model, noted.version, unknownPublication)
		}
		if c.orderLeaseHolder == "" || c.published.revisions[model] < c.orderLeaseRevision {
			continue
		}
		at := listedAt - c.gateway.settings().OrderLeaseTTL - notingDelay + weightsPropagationMargin
		c.published.raise(model, n.version, at)
		c.gateway.log("weights not noted before the start", "Model", model, "WeightsVersion", n.version, "AtMost", (listedAt - at).String())
	}
}

// noteWeights notes the newest published versions in the store while this host holds the order lease. The
// rollout does not wait for it.
func (r *rollout) noteWeights(ctx context.Context) {
	s := r.gateway.snapshot.Load()
	now := r.gateway.clock()
	if r.leaseID.Incarnation != s.incarnation {
		return
	}
	for model := range s.published.versions {
		newest, noted := s.published.newest(model), s.published.noted[model]
		if newest.version <= noted.version {
			delete(r.unnotedSince, model)
			continue
		}
		if _, ok := r.unnotedSince[model]; !ok {
			r.unnotedSince[model] = now
		}
		if now < r.noteAt[model] {
			continue
		}
		// The snapshot shows a note with the next answer of the store.
		r.noteAt[model] = now + noteRetryPause
		r.updates.Go(func() {
			ttl, err := r.noteVersion(ctx, s, model, newest, noted)
			if err != nil {
				r.gateway.log("weights not recorded", "Model", model, "WeightsVersion", newest.version, "Error", err.Error())
				return
			}
			r.gateway.log("weights recorded", "Model", model, "WeightsVersion", newest.version, "RecentFor", ttl.String())
		})
	}
}

// cannotNote reports whether a version could not be noted for so long that another host should hold the
// lease: hosts that start take its holder for one that notes what is published.
func (r *rollout) cannotNote(now time.Duration) bool {
	for _, since := range r.unnotedSince {
		if now-since >= maxUnnotedTime {
			return true
		}
	}
	return false
}

// noteVersion notes one version, and records it as recent for as long as it is. It returns the time to
// live of that record.
func (r *rollout) noteVersion(ctx context.Context, s *snapshot, model string, n publishedVersion, noted notedWeights) (time.Duration, error) {
	g := r.gateway
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	recent := recentAge(g.settings().OldWeightsLimit)
	value, err := json.Marshal(weightsRecord{
		Version: n.version, Former: s.published.former(model), RecentMs: recent.Milliseconds(), Incarnation: s.incarnation,
	})
	if err != nil {
		return 0, err
	}
	t := fpstore.Transaction{
		Conditions: []fpstore.Condition{{Key: notedWeightsPrefix + model, Revision: noted.revision}},
		Puts:       []fpstore.Put{{Key: notedWeightsPrefix + model, Value: value}},
	}
	sentAt := g.clock()
	ttl := min(max(n.publishedAt+recent-sentAt, 0), maxRecentTTL)
	if ttl >= max(g.settings().MinLeaseTTL, minRecentTTL) {
		grantCtx, cancelGrant := context.WithTimeout(ctx, recentLeaseTimeout)
		defer cancelGrant()
		id, err := g.store.GrantLease(grantCtx, ttl)
		if err != nil {
			return 0, err
		}
		if g.clock()-sentAt > recentLeaseTimeout {
			return 0, errLeaseTooLate
		}
		t.Puts = append(t.Puts, fpstore.Put{Key: recentWeightsKey(model, n.version), Value: value, Lease: id})
	}
	_, err = g.store.Commit(ctx, t)
	return ttl, err
}
