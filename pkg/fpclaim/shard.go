package fpclaim

import (
	"time"
)

const (
	idle phase = iota
	loading
	catchingUp
	writing
	resolvingWrite
)

type (
	// phase is the step of the protocol that a shard is in.
	phase int

	// Shard is one host's view of one shard's log and the requests for claims
	// that are pending there. Each of its event methods returns the next actions.
	Shard struct {
		settings Settings
		phase    phase
		// ring holds the last known content of each slot.
		ring         []storedSlot
		nextSequence uint64
		loadIndex    int
		// syncedAt is when the end of the log was last read or written.
		syncedAt time.Time
		// holders is the view: the latest claim on each key.
		holders map[Key]Claim
		// lastBatch is the newest batch in the view, without its claims.
		lastBatch   Slot
		pending     []pendingClaim
		lingerStart time.Time
		// batch is the value that is being written, for the requests in batched.
		batch        Slot
		batched      []pendingClaim
		batchSerial  uint64
		name         string
		callInFlight bool
		// conflicted says that the last write met a conflict that no batch read since explains.
		conflicted bool
		// maxRevision is the highest revision seen in the store.
		maxRevision     int64
		quarantineUntil time.Time
	}

	// storedSlot is the content of a slot and the store's revision of it.
	storedSlot struct {
		revision int64
		slot     Slot
	}

	// pendingClaim is a request for a claim that has no reply yet.
	pendingClaim struct {
		claim       Claim
		requestedAt time.Time
		deadline    time.Time
	}
)

// NewShard returns a shard with an empty view. The name identifies the shard's
// own batches, so it must differ between hosts and incarnations.
func NewShard(name string, s Settings) *Shard {
	s = s.WithDefaults()
	return &Shard{settings: s, name: name, ring: make([]storedSlot, s.Slots), holders: make(map[Key]Claim)}
}

// RequestClaim requests a claim, or releases one when Released is set. The Reply
// is returned by this or a later method, at the latest by the first Tick after the
// deadline.
func (s *Shard) RequestClaim(c Claim, now, deadline time.Time) []Action {
	if len(s.pending) == 0 {
		s.lingerStart = now
	}
	s.pending = append(s.pending, pendingClaim{claim: c, requestedAt: now, deadline: deadline})
	return s.startNextCall(now)
}

// Tick expires requests past their deadline and starts the next call that is due.
func (s *Shard) Tick(now time.Time) []Action {
	var out []Action
	s.pending, out = expirePending(s.pending, now, out)
	s.batched, out = expirePending(s.batched, now, out)
	return append(out, s.startNextCall(now)...)
}

// HandleSlotRead records a slot's value and revision; a slot never written has
// revision 0. What does not continue the log as it was read before means that the
// store was restored to an older state: claims may be lost, so none is granted
// until the window has passed.
func (s *Shard) HandleSlotRead(slot int, revision int64, v Slot, now time.Time) []Action {
	s.callInFlight = false
	if !s.continuesLog(slot, revision, v) {
		return s.startQuarantine(now)
	}
	s.ring[slot] = storedSlot{revision: revision, slot: v}
	s.maxRevision = max(s.maxRevision, revision)
	switch s.phase {
	case loading:
		s.loadIndex++
		if s.loadIndex < len(s.ring) {
			return s.readSlot(s.loadIndex)
		}
		if missing, ok := s.findMissingBatch(); ok {
			return s.readSlot(missing)
		}
		s.rebuildView(now)
	case catchingUp:
		return s.continueCatchUp(slot, now)
	case resolvingWrite:
		return s.resolveUnknownWrite(slot, now)
	default:
		return nil
	}
	return s.startNextCall(now)
}

// continuesLog reports whether a slot's value may follow the one that was read there before, and the last
// batch of the view. After a restore, revisions and sequence numbers are assigned again.
func (s *Shard) continuesLog(slot int, revision int64, v Slot) bool {
	known := s.ring[slot]
	switch {
	case revision < known.revision || v.Sequence < known.slot.Sequence:
		return false
	case v.Sequence == known.slot.Sequence && v.Batch != known.slot.Batch && known.revision > 0:
		return false
	}
	return v.Previous == "" || s.lastBatch.Batch == "" || v.Sequence != s.lastBatch.Sequence+1 || v.Previous == s.lastBatch.Batch
}

// HandleReadFailed records that a slot could not be read; the next Tick tries again.
func (s *Shard) HandleReadFailed(now time.Time) []Action {
	var out []Action
	s.callInFlight = false
	if s.phase == loading {
		s.phase = idle
	}
	s.pending, out = expirePending(s.pending, now, out)
	s.batched, out = expirePending(s.batched, now, out)
	return out
}

// HandleSlotWritten records that the batch was written at the given revision,
// which is higher than any seen before unless the store was restored to an older
// state.
func (s *Shard) HandleSlotWritten(revision int64, now time.Time) []Action {
	s.callInFlight = false
	if s.phase != writing {
		return nil
	}
	if revision <= s.maxRevision {
		return s.startQuarantine(now)
	}
	s.maxRevision = revision
	slot := s.slotFor(s.batch.Sequence)
	s.ring[slot] = storedSlot{revision: revision, slot: s.batch}
	return s.completeBatch(now)
}

// HandleWriteConflict records that the compare-and-swap failed: another batch
// was written first.
func (s *Shard) HandleWriteConflict(time.Time) []Action {
	s.callInFlight = false
	if s.phase != writing {
		return nil
	}
	s.requeueBatch()
	s.phase = catchingUp
	s.conflicted = true
	return s.readSlot(s.slotFor(s.nextSequence))
}

// HandleWriteUnknown records that the result of the compare-and-swap is unknown:
// the batch may have been written or may still be.
func (s *Shard) HandleWriteUnknown(time.Time) []Action {
	s.callInFlight = false
	if s.phase != writing {
		return nil
	}
	s.phase = resolvingWrite
	return nil
}

// Holder returns the claim that holds the key in this host's view.
func (s *Shard) Holder(k Key) (Claim, bool) {
	c, ok := s.holders[k]
	return c, ok && !c.Released
}

// ClaimCount returns the number of claims in the view, released ones included.
func (s *Shard) ClaimCount() int { return len(s.holders) }

// HasPending reports whether any request still has no reply.
func (s *Shard) HasPending() bool { return len(s.pending)+len(s.batched) > 0 }

func (s *Shard) slotFor(sequence uint64) int { return int(sequence % uint64(len(s.ring))) }

// startNextCall starts the next call to the platform when one is due and none is in flight.
func (s *Shard) startNextCall(now time.Time) []Action {
	if s.callInFlight || now.Before(s.quarantineUntil) {
		return nil
	}
	if len(s.pending)+len(s.batched) == 0 {
		return nil
	}
	switch s.phase {
	case resolvingWrite, catchingUp:
		return s.rereadSlot()
	case idle:
	default:
		return nil
	}
	if s.syncedAt.IsZero() || now.Sub(s.syncedAt) > s.settings.ReloadAfter {
		return s.startLoad()
	}
	if now.Sub(s.lingerStart) < s.settings.Linger {
		return nil
	}
	if s.needsRefresh() {
		s.phase = catchingUp
		return s.readSlot(s.slotFor(s.nextSequence))
	}
	return s.writeBatch(now)
}

// needsRefresh reports whether a pending request would be answered from the view
// alone although the end of the log has not been read since the request was made:
// the holder may have released the claim in the meantime.
func (s *Shard) needsRefresh() bool {
	for _, p := range s.pending {
		if p.requestedAt.After(s.syncedAt) && s.answeredByView(p.claim) {
			return true
		}
	}
	return false
}

// rereadSlot reads the slot of a write with unknown result, or the next slot when
// catching up.
func (s *Shard) rereadSlot() []Action {
	if s.phase == resolvingWrite {
		return s.readSlot(s.slotFor(s.batch.Sequence))
	}
	return s.readSlot(s.slotFor(s.nextSequence))
}

// startLoad starts to read the whole ring at its first slot.
func (s *Shard) startLoad() []Action {
	s.phase = loading
	s.loadIndex = 0
	return s.readSlot(0)
}

func (s *Shard) readSlot(slot int) []Action {
	s.callInFlight = true
	return []Action{ReadSlot{Slot: slot}}
}

// findMissingBatch returns a slot whose batch is missing between the oldest and
// the newest one read. This happens when other hosts append batches while the
// ring is being read.
func (s *Shard) findMissingBatch() (int, bool) {
	var newest uint64
	for _, r := range s.ring {
		newest = max(newest, r.slot.Sequence)
	}
	for back := range uint64(len(s.ring)) {
		if back >= newest {
			return 0, false
		}
		if slot := s.slotFor(newest - back); s.ring[slot].slot.Sequence != newest-back {
			return slot, true
		}
	}
	return 0, false
}

// startQuarantine discards the ring and grants no claim until the window has passed.
func (s *Shard) startQuarantine(now time.Time) []Action {
	s.requeueBatch()
	s.ring = make([]storedSlot, len(s.ring))
	s.maxRevision = 0
	s.lastBatch = Slot{}
	s.syncedAt = time.Time{}
	s.phase = idle
	s.quarantineUntil = now.Add(s.settings.Window)
	return nil
}

// rebuildView rebuilds the view from the whole ring and marks it as synced.
func (s *Shard) rebuildView(now time.Time) {
	s.nextSequence = 1
	s.holders = make(map[Key]Claim)
	for _, r := range s.ring {
		s.nextSequence = max(s.nextSequence, r.slot.Sequence+1)
		s.mergeClaims(r.slot.Claims)
		if r.slot.Sequence >= s.lastBatch.Sequence {
			s.lastBatch = Slot{Sequence: r.slot.Sequence, Batch: r.slot.Batch}
		}
	}
	s.syncedAt = now
	s.phase = idle
}

// continueCatchUp reads other hosts' batches until the next slot has no newer one.
func (s *Shard) continueCatchUp(slot int, now time.Time) []Action {
	stored := s.ring[slot].slot
	conflicted := s.conflicted
	s.conflicted = false
	if slot != s.slotFor(s.nextSequence) {
		// The batch before is the one that was read earlier.
		return s.readSlot(s.slotFor(s.nextSequence))
	}
	if stored.Sequence > s.nextSequence {
		return s.startLoad()
	}
	if conflicted && stored.Sequence < s.nextSequence && s.nextSequence > 1 {
		// Nothing newer explains the conflict: the batch before may be gone.
		return s.readSlot(s.slotFor(s.nextSequence - 1))
	}
	s.syncedAt = now
	if stored.Sequence == s.nextSequence {
		s.mergeClaims(stored.Claims)
		s.lastBatch = Slot{Sequence: stored.Sequence, Batch: stored.Batch}
		s.nextSequence++
		return s.readSlot(s.slotFor(s.nextSequence))
	}
	s.phase = idle
	return s.startNextCall(now)
}

// resolveUnknownWrite determines the result of a write whose answer was lost:
// the batch was written, another batch took its place, or neither, in which case
// the same compare-and-swap is repeated.
func (s *Shard) resolveUnknownWrite(slot int, now time.Time) []Action {
	stored := s.ring[slot].slot
	switch {
	case stored.Batch == s.batch.Batch && stored.Sequence == s.batch.Sequence:
		return s.completeBatch(now)
	case stored.Sequence == s.batch.Sequence:
		s.requeueBatch()
		s.phase = catchingUp
		return s.continueCatchUp(slot, now)
	case stored.Sequence > s.batch.Sequence:
		s.requeueBatch()
		return s.startLoad()
	}
	s.phase = writing
	s.callInFlight = true
	return []Action{s.newWrite()}
}

// newWrite returns the write of the batch. It requires that the batch before is still in the store, which a
// store that was restored may have lost.
func (s *Shard) newWrite() WriteSlot {
	slot, previous := s.slotFor(s.batch.Sequence), s.slotFor(s.batch.Sequence-1)
	w := WriteSlot{Slot: slot, Expected: s.ring[slot].revision, Value: s.batch}
	if previous != slot && s.ring[previous].slot.Sequence == s.batch.Sequence-1 {
		w.Previous, w.PreviousExpected = previous, s.ring[previous].revision
	}
	return w
}

// completeBatch replies to the requests of the batch that was written and starts
// the next call.
func (s *Shard) completeBatch(now time.Time) []Action {
	s.mergeClaims(s.batch.Claims)
	s.lastBatch = Slot{Sequence: s.batch.Sequence, Batch: s.batch.Batch}
	s.nextSequence = s.batch.Sequence + 1
	s.syncedAt = now
	s.phase = idle
	out := make([]Action, 0, len(s.batched))
	for _, p := range s.batched {
		out = append(out, s.replyTo(p.claim))
	}
	s.batched = nil
	return append(out, s.startNextCall(now)...)
}

// requeueBatch puts the requests of the current batch back in front of the
// pending ones.
func (s *Shard) requeueBatch() {
	s.pending = append(s.batched, s.pending...)
	s.batched = nil
}

// writeBatch answers the pending requests that the view decides and appends the
// others as one batch, at most one claim for each key.
func (s *Shard) writeBatch(now time.Time) []Action {
	var out []Action
	old := s.ring[s.slotFor(s.nextSequence)]
	batch := Slot{Sequence: s.nextSequence, Claims: s.claimsToCarryOver(old.slot, now)}
	if s.lastBatch.Sequence+1 == s.nextSequence {
		batch.Previous = s.lastBatch.Batch
	}
	s.batchSerial++
	batch.Batch = s.name + "/" + paddedHex(s.batchSerial)
	added := make(map[Key]bool)
	var deferred []pendingClaim
	for _, p := range s.pending {
		switch {
		case added[p.claim.Key] || (len(batch.Claims)+1)*minClaimBytes > MaxSlotBytes:
			deferred = append(deferred, p)
		case s.answeredByView(p.claim):
			out = append(out, s.replyTo(p.claim))
		default:
			added[p.claim.Key] = true
			c := p.claim
			c.Sequence = s.nextSequence
			batch.Claims = append(batch.Claims, c)
			s.batched = append(s.batched, p)
		}
	}
	s.pending = deferred
	s.lingerStart = now
	if len(s.batched) == 0 {
		return out
	}
	s.batch = batch
	s.phase = writing
	s.callInFlight = true
	return append(out, s.newWrite())
}

// answeredByView reports whether the view alone decides the request: another
// attempt holds the key, or the requested state is in the view already.
func (s *Shard) answeredByView(c Claim) bool {
	h, ok := s.holders[c.Key]
	switch {
	case !ok:
		return false
	case c.Released:
		return !h.sameAttempt(c) || h.Released
	case h.Released:
		return h.sameAttempt(c)
	default:
		return true
	}
}

// replyTo returns the verdict on a request according to the view.
func (s *Shard) replyTo(c Claim) Reply {
	h := s.holders[c.Key]
	r := Reply{Attempt: c.Attempt, Key: c.Key, Claim: h}
	switch {
	case h.Released && h.sameAttempt(c):
		r.Verdict = Released
	case h.sameAttempt(c):
		r.Verdict = Granted
	default:
		r.Verdict = Held
	}
	return r
}

// mergeClaims adds claims to the view; of two claims for a key, the one with the
// higher sequence number takes precedence.
func (s *Shard) mergeClaims(claims []Claim) {
	for _, c := range claims {
		if h, ok := s.holders[c.Key]; !ok || c.Sequence >= h.Sequence {
			s.holders[c.Key] = c
		}
	}
}

// claimsToCarryOver returns the slot's claims that are inside the window and not
// superseded; it removes expired claims from the view.
func (s *Shard) claimsToCarryOver(v Slot, now time.Time) []Claim {
	var out []Claim
	for _, c := range v.Claims {
		h := s.holders[c.Key]
		if now.Sub(c.claimedAt()) > s.settings.Window {
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

// expirePending replies Unavailable to the requests past their deadline and
// returns the others.
func expirePending(list []pendingClaim, now time.Time, out []Action) (kept []pendingClaim, actions []Action) {
	for _, p := range list {
		if now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		out = append(out, Reply{Attempt: p.claim.Attempt, Key: p.claim.Key, Verdict: Unavailable})
	}
	return kept, out
}
