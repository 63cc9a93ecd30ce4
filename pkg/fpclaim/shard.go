package fpclaim

import (
	"time"
)

const (
	idle phase = iota
	loading
	catchingUp
	writing
	settling
)

type (
	phase int

	// Shard is one host's view of one shard's log and the claims that wait for
	// it. It is driven by its methods, each of which returns the next actions.
	Shard struct {
		settings Settings
		phase    phase
		ring     []known
		next     uint64
		loadAt   int
		fresh    time.Time
		holders  map[Key]Claim
		waiting  []wanted
		oldest   time.Time
		batch    Slot
		inBatch  []wanted
		serial   uint64
		name     string
		calling  bool
		highest  int64
		regress  time.Time
	}

	known struct {
		revision int64
		slot     Slot
	}

	wanted struct {
		claim Claim
		asked time.Time
		until time.Time
	}
)

// NewShard returns a shard that has read nothing; name must differ between
// hosts and incarnations, for it marks the shard's own batches.
func NewShard(name string, s Settings) *Shard {
	s = s.WithDefaults()
	return &Shard{settings: s, name: name, ring: make([]known, s.Slots), holders: make(map[Key]Claim)}
}

// Want asks for a claim, or with Released set gives up one; a reply follows by until.
func (s *Shard) Want(c Claim, now, until time.Time) []Action {
	if len(s.waiting) == 0 {
		s.oldest = now
	}
	s.waiting = append(s.waiting, wanted{claim: c, asked: now, until: until})
	return s.advance(now)
}

// Tick drops what waited too long and starts a batch that lingered long enough.
func (s *Shard) Tick(now time.Time) []Action {
	var out []Action
	s.waiting, out = expire(s.waiting, now, out)
	s.inBatch, out = expire(s.inBatch, now, out)
	return append(out, s.advance(now)...)
}

// SlotRead takes in a slot's value and revision; a slot never written has
// revision 0. A revision lower than one seen before means that the store was
// restored to an older state: claims may be lost, so none is granted until
// the window has passed.
func (s *Shard) SlotRead(slot int, revision int64, v Slot, now time.Time) []Action {
	s.calling = false
	if revision < s.ring[slot].revision {
		return s.regressed(now)
	}
	s.ring[slot] = known{revision: revision, slot: v}
	s.highest = max(s.highest, revision)
	switch s.phase {
	case loading:
		s.loadAt++
		if s.loadAt < len(s.ring) {
			return s.read(s.loadAt)
		}
		if at, ok := s.gap(); ok {
			return s.read(at)
		}
		s.loaded(now)
	case catchingUp:
		return s.caughtUp(slot, now)
	case settling:
		return s.settle(slot, now)
	default:
		return nil
	}
	return s.advance(now)
}

// ReadFailed reports that a slot could not be read; the next Tick tries again.
func (s *Shard) ReadFailed(now time.Time) []Action {
	var out []Action
	s.calling = false
	if s.phase == loading {
		s.phase = idle
	}
	s.waiting, out = expire(s.waiting, now, out)
	s.inBatch, out = expire(s.inBatch, now, out)
	return out
}

// Written reports that the batch landed under the given revision, which is
// higher than any seen unless the store was restored to an older state.
func (s *Shard) Written(revision int64, now time.Time) []Action {
	s.calling = false
	if s.phase != writing {
		return nil
	}
	if revision <= s.highest {
		return s.regressed(now)
	}
	s.highest = revision
	slot := s.slotOf(s.batch.Sequence)
	s.ring[slot] = known{revision: revision, slot: s.batch}
	return s.landed(now)
}

// Conflict reports that the swap was refused: another batch came first.
func (s *Shard) Conflict(time.Time) []Action {
	s.calling = false
	if s.phase != writing {
		return nil
	}
	s.requeue()
	s.phase = catchingUp
	return s.read(s.slotOf(s.next))
}

// WriteLost reports that the swap's answer was lost: it may have landed or land yet.
func (s *Shard) WriteLost(time.Time) []Action {
	s.calling = false
	if s.phase != writing {
		return nil
	}
	s.phase = settling
	return nil
}

// Holder returns the claim that holds the key as far as this shard knows.
func (s *Shard) Holder(k Key) (Claim, bool) {
	c, ok := s.holders[k]
	return c, ok && !c.Released
}

// Claims returns the number of claims known.
func (s *Shard) Claims() int { return len(s.holders) }

// Busy reports whether anybody waits for a reply.
func (s *Shard) Busy() bool { return len(s.waiting)+len(s.inBatch) > 0 }

func (s *Shard) slotOf(sequence uint64) int { return int(sequence % uint64(len(s.ring))) }

// advance starts the next call to the platform when one is due and none is outstanding.
func (s *Shard) advance(now time.Time) []Action {
	if s.calling || now.Before(s.regress) {
		return nil
	}
	if len(s.waiting)+len(s.inBatch) == 0 {
		return nil
	}
	switch s.phase {
	case settling, catchingUp:
		return s.retryRead()
	case idle:
	default:
		return nil
	}
	if s.fresh.IsZero() || now.Sub(s.fresh) > s.settings.Reload {
		return s.load()
	}
	if now.Sub(s.oldest) < s.settings.Linger {
		return nil
	}
	if s.stale() {
		s.phase = catchingUp
		return s.read(s.slotOf(s.next))
	}
	return s.write(now)
}

// stale reports whether a waiting request would be answered from the view
// alone, and the log's end has not been read since it was asked: the holder
// may have released the claim meanwhile.
func (s *Shard) stale() bool {
	for _, w := range s.waiting {
		if w.asked.After(s.fresh) && s.settled(w.claim) {
			return true
		}
	}
	return false
}

// retryRead reads the slot that an unsettled write or a lost race is about.
func (s *Shard) retryRead() []Action {
	if s.phase == settling {
		return s.read(s.slotOf(s.batch.Sequence))
	}
	return s.read(s.slotOf(s.next))
}

// load reads the whole ring from its first slot.
func (s *Shard) load() []Action {
	s.phase = loading
	s.loadAt = 0
	return s.read(0)
}

func (s *Shard) read(slot int) []Action {
	s.calling = true
	return []Action{ReadSlot{Slot: slot}}
}

// gap returns a slot whose batch is missing between the oldest and the newest
// one read: other hosts appended while the ring was being read.
func (s *Shard) gap() (int, bool) {
	var newest uint64
	for _, k := range s.ring {
		newest = max(newest, k.slot.Sequence)
	}
	for back := range uint64(len(s.ring)) {
		if back >= newest {
			return 0, false
		}
		if slot := s.slotOf(newest - back); s.ring[slot].slot.Sequence != newest-back {
			return slot, true
		}
	}
	return 0, false
}

// regressed forgets the ring and grants nothing for a window.
func (s *Shard) regressed(now time.Time) []Action {
	s.requeue()
	s.ring = make([]known, len(s.ring))
	s.highest = 0
	s.fresh = time.Time{}
	s.phase = idle
	s.regress = now.Add(s.settings.Window)
	return nil
}

// loaded rebuilds the view from the whole ring.
func (s *Shard) loaded(now time.Time) {
	s.next = 1
	s.holders = make(map[Key]Claim)
	for _, k := range s.ring {
		s.next = max(s.next, k.slot.Sequence+1)
		s.index(k.slot.Claims)
	}
	s.fresh = now
	s.phase = idle
}

// caughtUp follows other hosts' batches until a slot shows none newer.
func (s *Shard) caughtUp(slot int, now time.Time) []Action {
	got := s.ring[slot].slot
	if slot != s.slotOf(s.next) {
		return nil
	}
	if got.Sequence > s.next {
		return s.load()
	}
	s.fresh = now
	if got.Sequence == s.next {
		s.index(got.Claims)
		s.next++
		return s.read(s.slotOf(s.next))
	}
	s.phase = idle
	return s.advance(now)
}

// settle decides what became of a write whose answer was lost: it landed, it
// was overtaken, or the same swap is tried again.
func (s *Shard) settle(slot int, now time.Time) []Action {
	got := s.ring[slot].slot
	switch {
	case got.Batch == s.batch.Batch && got.Sequence == s.batch.Sequence:
		return s.landed(now)
	case got.Sequence == s.batch.Sequence:
		s.requeue()
		s.phase = catchingUp
		return s.caughtUp(slot, now)
	case got.Sequence > s.batch.Sequence:
		s.requeue()
		return s.load()
	}
	s.phase = writing
	s.calling = true
	return []Action{WriteSlot{Slot: slot, Expected: s.ring[slot].revision, Value: s.batch}}
}

// landed replies to the batch's claims and starts the next batch.
func (s *Shard) landed(now time.Time) []Action {
	s.index(s.batch.Claims)
	s.next = s.batch.Sequence + 1
	s.fresh = now
	s.phase = idle
	out := make([]Action, 0, len(s.inBatch))
	for _, w := range s.inBatch {
		out = append(out, s.reply(w.claim))
	}
	s.inBatch = nil
	return append(out, s.advance(now)...)
}

// requeue puts a refused batch's claims back in front of the waiting ones.
func (s *Shard) requeue() {
	s.waiting = append(s.inBatch, s.waiting...)
	s.inBatch = nil
}

// write answers what the view can answer and appends the rest as one batch.
func (s *Shard) write(now time.Time) []Action {
	var out []Action
	old := s.ring[s.slotOf(s.next)]
	batch := Slot{Sequence: s.next, Claims: s.survivors(old.slot, now)}
	s.serial++
	batch.Batch = s.name + "/" + pad(s.serial)
	added := make(map[Key]bool)
	var later []wanted
	for _, w := range s.waiting {
		switch {
		case added[w.claim.Key] || (len(batch.Claims)+1)*claimBytes > MaxSlotBytes:
			later = append(later, w)
		case s.settled(w.claim):
			out = append(out, s.reply(w.claim))
		default:
			added[w.claim.Key] = true
			c := w.claim
			c.Sequence = s.next
			batch.Claims = append(batch.Claims, c)
			s.inBatch = append(s.inBatch, w)
		}
	}
	s.waiting = later
	s.oldest = now
	if len(s.inBatch) == 0 {
		return out
	}
	s.batch = batch
	s.phase = writing
	s.calling = true
	return append(out, WriteSlot{Slot: s.slotOf(s.next), Expected: old.revision, Value: batch})
}

// settled reports whether the view alone answers the request: the key is held
// by another attempt, or the asking attempt has what it wants already.
func (s *Shard) settled(c Claim) bool {
	h, ok := s.holders[c.Key]
	switch {
	case !ok:
		return false
	case c.Released:
		return !h.same(c) || h.Released
	case h.Released:
		return h.same(c)
	default:
		return true
	}
}

// reply tells an attempt what the view says of its key.
func (s *Shard) reply(c Claim) Reply {
	h := s.holders[c.Key]
	r := Reply{Attempt: c.Attempt, Key: c.Key, Claim: h}
	switch {
	case h.Released && h.same(c):
		r.Verdict = Released
	case h.same(c):
		r.Verdict = Granted
	default:
		r.Verdict = Held
	}
	return r
}

// index takes claims into the view; of two claims for a key the later batch's counts.
func (s *Shard) index(claims []Claim) {
	for _, c := range claims {
		if h, ok := s.holders[c.Key]; !ok || c.Sequence >= h.Sequence {
			s.holders[c.Key] = c
		}
	}
}

// survivors returns the slot's claims that must outlive its replacement.
func (s *Shard) survivors(v Slot, now time.Time) []Claim {
	var out []Claim
	for _, c := range v.Claims {
		h := s.holders[c.Key]
		if now.Sub(c.at()) > s.settings.Window {
			if h.Sequence == c.Sequence {
				delete(s.holders, c.Key)
			}
			continue
		}
		if h.Sequence == c.Sequence {
			out = append(out, c)
		}
	}
	return out
}

// expire replies Unavailable to what waited beyond its time.
func expire(list []wanted, now time.Time, out []Action) (kept []wanted, actions []Action) {
	for _, w := range list {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		out = append(out, Reply{Attempt: w.claim.Attempt, Key: w.claim.Key, Verdict: Unavailable})
	}
	return kept, out
}
