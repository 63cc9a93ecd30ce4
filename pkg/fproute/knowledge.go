package fproute

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// maxHolders bounds the replicas remembered for one prefix.
	maxHolders = 8
	// initialRetention is the time a cached entry is believed to live before evidence comes.
	initialRetention = 30 * time.Second
	minRetention     = time.Second
	maxRetention     = 10 * time.Minute
	// retentionLoss and retentionGain move the belief on a miss and on a hit.
	retentionLoss = 0.95
	retentionGain = 1.05
)

type (
	// Knowledge is what a host believes to be cached where, by prefix level;
	// two generations bound it. It is not safe for concurrent use.
	Knowledge struct {
		limit     int
		young     map[fpprefix.Key][]holder
		old       map[fpprefix.Key][]holder
		retention map[string]time.Duration
	}

	holder struct {
		replica     string
		incarnation uint64
		at          time.Time
	}
)

// NewKnowledge returns an empty knowledge of at most about 2*limit prefixes.
func NewKnowledge(limit int) *Knowledge {
	return &Knowledge{
		limit:     limit,
		young:     make(map[fpprefix.Key][]holder),
		old:       make(map[fpprefix.Key][]holder),
		retention: make(map[string]time.Duration),
	}
}

// Len returns the number of prefixes remembered.
func (k *Knowledge) Len() int { return len(k.young) + len(k.old) }

// Stored records that a replica's incarnation holds the prefix at the given time.
func (k *Knowledge) Stored(key fpprefix.Key, replica string, incarnation uint64, at time.Time) {
	hs := k.holders(key)
	for i, h := range hs {
		if h.replica == replica {
			hs[i] = holder{replica: replica, incarnation: incarnation, at: at}
			k.put(key, hs)
			return
		}
	}
	hs = append(hs, holder{replica: replica, incarnation: incarnation, at: at})
	if len(hs) > maxHolders {
		hs = dropOldest(hs)
	}
	k.put(key, hs)
}

// Evicted records that a replica no longer holds the prefix.
func (k *Knowledge) Evicted(key fpprefix.Key, replica string) {
	hs := k.holders(key)
	for i, h := range hs {
		if h.replica == replica {
			k.put(key, append(hs[:i:i], hs[i+1:]...))
			return
		}
	}
}

// Forget drops everything believed of a replica's retention; its entries stop
// counting as soon as its incarnation differs.
func (k *Knowledge) Forget(replica string) { delete(k.retention, replica) }

// Seen returns when each level was last believed stored at a replica's
// incarnation; the zero time means never.
func (k *Knowledge) Seen(p fpprefix.Prompt, replica string, incarnation uint64) []time.Time {
	out := make([]time.Time, len(p.Levels))
	for i, l := range p.Levels {
		for _, h := range k.holders(l.Key) {
			if h.replica == replica && h.incarnation == incarnation {
				out[i] = h.at
			}
		}
	}
	return out
}

// Observe corrects the belief from an answer to a request that was sent at
// time sent, when seen was believed: levels up to cached tokens were still
// held then, longer ones were not; all are held now.
func (k *Knowledge) Observe(p fpprefix.Prompt, replica string, incarnation uint64, cached int, seen []time.Time, sent, now time.Time) {
	for i, l := range p.Levels {
		if i < len(seen) && !seen[i].IsZero() {
			k.learnRetention(replica, sent.Sub(seen[i]), l.Tokens <= cached)
		}
		k.Stored(l.Key, replica, incarnation, now)
	}
}

// learnRetention moves the belief of how long a replica keeps an unused entry.
func (k *Knowledge) learnRetention(replica string, age time.Duration, hit bool) {
	keep := k.retentionOf(replica)
	switch {
	case !hit && age < keep:
		k.setRetention(replica, time.Duration(float64(keep)*retentionLoss))
	case hit && age > keep:
		k.setRetention(replica, time.Duration(float64(keep)*retentionGain))
	}
}

// confidence returns how surely the entry of age is still cached, from 0 to 1.
func (k *Knowledge) confidence(replica string, age time.Duration) float64 {
	keep := k.retentionOf(replica)
	switch {
	case age <= keep:
		return 1
	case age >= 2*keep:
		return 0
	default:
		return 2 - float64(age)/float64(keep)
	}
}

func (k *Knowledge) retentionOf(replica string) time.Duration {
	if d, ok := k.retention[replica]; ok {
		return d
	}
	return initialRetention
}

func (k *Knowledge) setRetention(replica string, d time.Duration) {
	k.retention[replica] = min(max(d, minRetention), maxRetention)
}

func (k *Knowledge) holders(key fpprefix.Key) []holder {
	if hs, ok := k.young[key]; ok {
		return hs
	}
	return k.old[key]
}

func (k *Knowledge) put(key fpprefix.Key, hs []holder) {
	delete(k.old, key)
	k.young[key] = hs
	if len(k.young) > k.limit {
		k.old = k.young
		k.young = make(map[fpprefix.Key][]holder)
	}
}

func dropOldest(hs []holder) []holder {
	oldest := 0
	for i, h := range hs {
		if h.at.Before(hs[oldest].at) {
			oldest = i
		}
	}
	return append(hs[:oldest], hs[oldest+1:]...)
}
