package fpbalance

import "time"

const (
	// beliefFor is how long a part is believed cached without news of it; events
	// about it may have been lost.
	beliefFor = 25 * time.Second
	// maxPartsPerReplica bounds the directory.
	maxPartsPerReplica = 20_000
)

type (
	// Directory is what is believed cached at each replica, by part; it is not
	// safe for concurrent use.
	Directory struct {
		replicas map[string]*holding
	}

	holding struct {
		epoch int64
		parts map[partKey]held
	}

	partKey struct {
		salt string
		id   string
	}

	held struct {
		tokens int
		at     time.Duration
		// sure is set by the replica's own word, and unset by this host's guess.
		sure bool
	}
)

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{replicas: make(map[string]*holding)} }

// Stored records that a replica holds a part; sure says that the replica said so.
func (d *Directory) Stored(replica, salt, id string, tokens int, sure bool, now time.Duration) {
	h := d.replicas[replica]
	if h == nil {
		h = &holding{parts: make(map[partKey]held)}
		d.replicas[replica] = h
	}
	if len(h.parts) >= maxPartsPerReplica {
		h.expire(now)
	}
	k := partKey{salt: salt, id: id}
	h.parts[k] = held{tokens: tokens, at: now, sure: sure || h.parts[k].sure}
}

// Evicted records how many tokens of a part are left at a replica.
func (d *Directory) Evicted(replica, salt, id string, left int, now time.Duration) {
	h := d.replicas[replica]
	if h == nil {
		return
	}
	k := partKey{salt: salt, id: id}
	if left <= 0 {
		delete(h.parts, k)
		return
	}
	h.parts[k] = held{tokens: left, at: now, sure: true}
}

// Forget drops all that is believed of a replica.
func (d *Directory) Forget(replica string) { delete(d.replicas, replica) }

// Epoch drops what is believed of an earlier start of a replica, and reports
// whether there was one.
func (d *Directory) Epoch(replica string, epoch int64) bool {
	h := d.replicas[replica]
	if h == nil {
		d.replicas[replica] = &holding{epoch: epoch, parts: make(map[partKey]held)}
		return false
	}
	if h.epoch == epoch {
		return false
	}
	restarted := h.epoch != 0
	h.epoch = epoch
	if restarted {
		h.parts = make(map[partKey]held)
	}
	return restarted
}

// Leading returns the tokens of the leading parts that a replica is believed to hold.
func (d *Directory) Leading(replica, salt string, parts []Part, now time.Duration) int {
	return d.leading(replica, salt, parts, false, now)
}

// LeadingSure is Leading by the replica's own word alone: what was only just
// sent there may not be in place yet.
func (d *Directory) LeadingSure(replica, salt string, parts []Part, now time.Duration) int {
	return d.leading(replica, salt, parts, true, now)
}

func (d *Directory) leading(replica, salt string, parts []Part, sure bool, now time.Duration) int {
	h := d.replicas[replica]
	if h == nil {
		return 0
	}
	sum := 0
	for _, p := range parts {
		v, ok := h.parts[partKey{salt: salt, id: p.ID}]
		if !ok || now-v.at > beliefFor || sure && !v.sure {
			break
		}
		sum += min(v.tokens, p.Tokens)
		if v.tokens < p.Tokens {
			break
		}
	}
	return sum
}

func (h *holding) expire(now time.Duration) {
	for k, v := range h.parts {
		if now-v.at > beliefFor {
			delete(h.parts, k)
		}
	}
	if len(h.parts) >= maxPartsPerReplica {
		h.parts = make(map[partKey]held)
	}
}
