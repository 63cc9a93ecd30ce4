package fproute

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// maxHolders bounds the replicas recorded for one prefix.
	maxHolders = 8
	// initialRetention is the assumed lifetime of an unused cache entry before any answer
	// was observed.
	initialRetention = 30 * time.Second
	minRetention     = time.Second
	maxRetention     = 10 * time.Minute
	// retentionMissFactor and retentionHitFactor scale the retention estimate after an early
	// miss and a late hit.
	retentionMissFactor = 0.95
	retentionHitFactor  = 1.05
)

type (
	// CacheIndex estimates which replicas have which prefix levels in their caches. Two
	// generations bound its size: a full young one replaces the old one. It is not safe for
	// concurrent use.
	CacheIndex struct {
		maxPrefixes int
		young       map[fpprefix.Key][]holder
		old         map[fpprefix.Key][]holder
		retention   map[string]time.Duration
	}

	// holder is a replica that is believed to have a prefix in its cache.
	holder struct {
		replica     string
		incarnation uint64
		storedAt    time.Time
	}
)

// NewCacheIndex returns an empty index of at most about 2*maxPrefixes prefixes.
func NewCacheIndex(maxPrefixes int) *CacheIndex {
	return &CacheIndex{
		maxPrefixes: maxPrefixes,
		young:       make(map[fpprefix.Key][]holder),
		old:         make(map[fpprefix.Key][]holder),
		retention:   make(map[string]time.Duration),
	}
}

// Len returns the number of prefixes in the index.
func (c *CacheIndex) Len() int { return len(c.young) + len(c.old) }

// RecordStored records that a replica's incarnation has the prefix in its cache at the given time.
func (c *CacheIndex) RecordStored(key fpprefix.Key, replica string, incarnation uint64, at time.Time) {
	hs := c.holders(key)
	for i, h := range hs {
		if h.replica == replica {
			hs[i] = holder{replica: replica, incarnation: incarnation, storedAt: at}
			c.putHolders(key, hs)
			return
		}
	}
	hs = append(hs, holder{replica: replica, incarnation: incarnation, storedAt: at})
	if len(hs) > maxHolders {
		hs = dropOldestHolder(hs)
	}
	c.putHolders(key, hs)
}

// RecordEvicted records that a replica no longer has the prefix in its cache.
func (c *CacheIndex) RecordEvicted(key fpprefix.Key, replica string) {
	hs := c.holders(key)
	for i, h := range hs {
		if h.replica == replica {
			c.putHolders(key, append(hs[:i:i], hs[i+1:]...))
			return
		}
	}
}

// ResetRetention resets a replica's retention estimate. Its entries need no removal: they
// are ignored once the replica's incarnation differs.
func (c *CacheIndex) ResetRetention(replica string) { delete(c.retention, replica) }

// StoredTimes returns when each level was last recorded as stored at a replica's
// incarnation; the zero time means never.
func (c *CacheIndex) StoredTimes(p fpprefix.Prompt, replica string, incarnation uint64) []time.Time {
	out := make([]time.Time, len(p.Levels))
	for i, l := range p.Levels {
		for _, h := range c.holders(l.Key) {
			if h.replica == replica && h.incarnation == incarnation {
				out[i] = h.storedAt
			}
		}
	}
	return out
}

// RecordCachedTokens updates the index from the answer to a request that was sent at
// sentAt, when the levels were recorded as stored at storedTimes. Levels of up to cached
// tokens were still in the replica's cache then, longer ones were not; all are in it now.
func (c *CacheIndex) RecordCachedTokens(p fpprefix.Prompt, replica string, incarnation uint64, cached int, storedTimes []time.Time, sentAt, now time.Time) {
	for i, l := range p.Levels {
		if i < len(storedTimes) && !storedTimes[i].IsZero() {
			c.updateRetention(replica, sentAt.Sub(storedTimes[i]), l.Tokens <= cached)
		}
		c.RecordStored(l.Key, replica, incarnation, now)
	}
}

// updateRetention adjusts the estimate of how long a replica keeps an unused entry: down
// when an entry younger than the estimate was a miss, up when an older one was a hit.
func (c *CacheIndex) updateRetention(replica string, age time.Duration, hit bool) {
	retention := c.retentionOf(replica)
	switch {
	case !hit && age < retention:
		c.setRetention(replica, time.Duration(float64(retention)*retentionMissFactor))
	case hit && age > retention:
		c.setRetention(replica, time.Duration(float64(retention)*retentionHitFactor))
	}
}

// residencyProbability returns the estimated probability that an entry of the given age is
// still cached: 1 up to the retention estimate, falling linearly to 0 at twice that.
func (c *CacheIndex) residencyProbability(replica string, age time.Duration) float64 {
	retention := c.retentionOf(replica)
	switch {
	case age <= retention:
		return 1
	case age >= 2*retention:
		return 0
	default:
		return 2 - float64(age)/float64(retention)
	}
}

func (c *CacheIndex) retentionOf(replica string) time.Duration {
	if d, ok := c.retention[replica]; ok {
		return d
	}
	return initialRetention
}

func (c *CacheIndex) setRetention(replica string, d time.Duration) {
	c.retention[replica] = min(max(d, minRetention), maxRetention)
}

func (c *CacheIndex) holders(key fpprefix.Key) []holder {
	if hs, ok := c.young[key]; ok {
		return hs
	}
	return c.old[key]
}

func (c *CacheIndex) putHolders(key fpprefix.Key, hs []holder) {
	delete(c.old, key)
	c.young[key] = hs
	if len(c.young) > c.maxPrefixes {
		c.old = c.young
		c.young = make(map[fpprefix.Key][]holder)
	}
}

func dropOldestHolder(hs []holder) []holder {
	oldest := 0
	for i, h := range hs {
		if h.storedAt.Before(hs[oldest].storedAt) {
			oldest = i
		}
	}
	return append(hs[:oldest], hs[oldest+1:]...)
}
