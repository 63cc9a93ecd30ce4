package fpbalance

import "time"

const (
	// entryTTL is how long a part is believed to be cached without an update, as the event of its
	// eviction may have been lost.
	entryTTL = 25 * time.Second
	// impliedPartTokens is the number of tokens below which a part counts as cached where a later
	// part of the prompt is: hosts don't tell each other of short parts, and a replica caches a part
	// only after those before it.
	impliedPartTokens = 1024
	// maxPartsPerReplica limits the memory that a replica's entries take.
	maxPartsPerReplica = 20_000
)

type (
	// CacheDirectory maps the parts believed to be cached at each replica to their cached tokens. It
	// is not safe for concurrent use.
	CacheDirectory struct {
		replicas map[string]*replicaCache
	}

	// replicaCache holds the entries of one replica since the start that epoch identifies; the epoch
	// is 0 until the replica reports it.
	replicaCache struct {
		epoch   int64
		entries map[partKey]cacheEntry
	}

	partKey struct {
		salt string
		id   string
	}

	cacheEntry struct {
		tokens     int
		recordedAt time.Duration
		// confirmed says that the replica reported the part itself; otherwise it is inferred from a
		// request that was sent there.
		confirmed bool
	}
)

// NewCacheDirectory returns an empty directory.
func NewCacheDirectory() *CacheDirectory {
	return &CacheDirectory{replicas: make(map[string]*replicaCache)}
}

// RecordStored records that a replica holds a part; confirmed says that the replica itself
// reported it.
func (d *CacheDirectory) RecordStored(replica, salt, id string, tokens int, confirmed bool, now time.Duration) {
	c := d.replicas[replica]
	if c == nil {
		c = &replicaCache{entries: make(map[partKey]cacheEntry)}
		d.replicas[replica] = c
	}
	if len(c.entries) >= maxPartsPerReplica {
		c.removeExpired(now)
	}
	k := partKey{salt: salt, id: id}
	c.entries[k] = cacheEntry{tokens: tokens, recordedAt: now, confirmed: confirmed || c.entries[k].confirmed}
}

// RecordEvicted records how many tokens of a part are left at a replica.
func (d *CacheDirectory) RecordEvicted(replica, salt, id string, left int, now time.Duration) {
	c := d.replicas[replica]
	if c == nil {
		return
	}
	k := partKey{salt: salt, id: id}
	if left <= 0 {
		delete(c.entries, k)
		return
	}
	c.entries[k] = cacheEntry{tokens: left, recordedAt: now, confirmed: true}
}

// ForgetReplica drops all entries of a replica.
func (d *CacheDirectory) ForgetReplica(replica string) { delete(d.replicas, replica) }

// ResetOnNewEpoch drops the entries of a replica that are from an earlier start of it, and reports
// whether it has restarted.
func (d *CacheDirectory) ResetOnNewEpoch(replica string, epoch int64) bool {
	c := d.replicas[replica]
	if c == nil {
		d.replicas[replica] = &replicaCache{epoch: epoch, entries: make(map[partKey]cacheEntry)}
		return false
	}
	if c.epoch == epoch {
		return false
	}
	restarted := c.epoch != 0
	c.epoch = epoch
	if restarted {
		c.entries = make(map[partKey]cacheEntry)
	}
	return restarted
}

// CachedPrefixTokens returns the number of leading prompt tokens that a replica is believed to
// have cached.
func (d *CacheDirectory) CachedPrefixTokens(replica, salt string, parts []Part, now time.Duration) int {
	return d.prefixTokens(replica, salt, parts, false, now)
}

// ConfirmedPrefixTokens returns the number of leading prompt tokens that the replica itself
// reported as cached. Parts of requests that were only just sent there may not be cached yet.
func (d *CacheDirectory) ConfirmedPrefixTokens(replica, salt string, parts []Part, now time.Duration) int {
	return d.prefixTokens(replica, salt, parts, true, now)
}

func (d *CacheDirectory) prefixTokens(replica, salt string, parts []Part, confirmedOnly bool, now time.Duration) int {
	c := d.replicas[replica]
	if c == nil {
		return 0
	}
	sum, implied := 0, 0
	for _, p := range parts {
		e, ok := c.entries[partKey{salt: salt, id: p.ID}]
		switch {
		case ok && now-e.recordedAt <= entryTTL && (e.confirmed || !confirmedOnly):
			sum += implied + min(e.tokens, p.Tokens)
			implied = 0
			if e.tokens < p.Tokens {
				return sum
			}
		case p.Tokens < impliedPartTokens:
			implied += p.Tokens
		default:
			return sum
		}
	}
	return sum
}

// removeExpired removes the expired entries, and all entries if too many are left.
func (c *replicaCache) removeExpired(now time.Duration) {
	for k, e := range c.entries {
		if now-e.recordedAt > entryTTL {
			delete(c.entries, k)
		}
	}
	if len(c.entries) >= maxPartsPerReplica {
		c.entries = make(map[partKey]cacheEntry)
	}
}
