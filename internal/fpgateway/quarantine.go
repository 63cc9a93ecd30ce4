package fpgateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	// quarantineKeyPrefix is the prefix of the keys of the prompt parts and requests in quarantine, by
	// ID. An operator releases one by deleting its key.
	quarantineKeyPrefix = "fescuepoint/quarantine/"
	// requestIDPrefix is what the ID of a request begins with, before its fingerprint. The IDs of parts
	// are hexadecimal.
	requestIDPrefix = "request-"
	// quarantineInterval is the interval at which evidence is judged and answers are announced.
	quarantineInterval = 100 * time.Millisecond
	// storeQuarantineInterval is the interval at which parts are written to the store, or deleted,
	// where that is due.
	storeQuarantineInterval = 200 * time.Millisecond
	// storeDelayPerHost spreads the writes of all hosts, most of which find the part written.
	storeDelayPerHost = 10 * time.Millisecond
	// announceDelayPerHost and maxAnnounceDelay spread what all hosts know, so that most hear it from
	// another host before they would tell it.
	announceDelayPerHost = 5 * time.Millisecond
	maxAnnounceDelay     = time.Second
	// maxPartIDBytes is the longest ID of a part that can be quarantined; it fits into a key and
	// into a notice.
	maxPartIDBytes = fpquarantine.MaxIDBytes
	// maxNoticePartsBytes bounds the IDs in one notice.
	maxNoticePartsBytes = 900
	// noticePartBytes is what a part takes in a notice besides its ID.
	noticePartBytes = 48
)

// errQuarantined ends attempts whose request, or a part of its prompt, was put into quarantine.
var errQuarantined = errors.New("the request was put into quarantine")

type (
	// quarantine is a host's state of the prompt parts and requests that crash replicas, both of which
	// are called parts here; the gateway's mutex guards it.
	quarantine struct {
		tracker *fpquarantine.Tracker
		// suspects holds the parts that may be convicted next.
		suspects map[string]fpquarantine.Suspicion
		// revisions holds the store's revisions of the parts in it.
		revisions map[string]int64
		// writeAt holds the times at which parts that are not in the store are written.
		writeAt map[string]time.Duration
		// expired holds the parts whose entry is to be deleted from the store.
		expired map[string]bool
		// announcements holds the answers that are announced, by part.
		announcements map[string]announcement
		// trials holds the suspected parts that are on trial at a replica.
		trials fpquarantine.Trials
		// unbegun holds the attempts that have no answer yet, and running all that have not ended.
		unbegun map[*request]context.CancelCauseFunc
		running map[*request]*runningAttempt
	}

	// announcement is an answer to an attempt that was sent at a time; it is announced later.
	announcement struct {
		sentAt     time.Duration
		announceAt time.Duration
	}
)

func newQuarantine() *quarantine {
	return &quarantine{
		tracker: fpquarantine.New(), revisions: make(map[string]int64), writeAt: make(map[string]time.Duration),
		expired: make(map[string]bool), announcements: make(map[string]announcement), unbegun: make(map[*request]context.CancelCauseFunc),
		running: make(map[*request]*runningAttempt),
	}
}

// crashedParts returns the requests of broken attempts and the shared parts of their prompts.
func crashedParts(broken []brokenAttempt) []fpquarantine.Part {
	var parts []fpquarantine.Part
	index := make(map[string]int)
	add := func(p fpquarantine.Part) {
		i, seen := index[p.ID]
		switch {
		case len(p.ID) > maxPartIDBytes:
		case !seen:
			index[p.ID] = len(parts)
			parts = append(parts, p)
		default:
			parts[i].SentAt, parts[i].Trial = max(parts[i].SentAt, p.SentAt), parts[i].Trial || p.Trial
		}
	}
	for _, a := range broken {
		add(fpquarantine.Part{ID: requestIDPrefix + a.fingerprint, Request: true, SentAt: a.sentAt, Trial: a.trial})
		for depth, id := range a.parts {
			add(fpquarantine.Part{ID: id, Depth: depth, SentAt: a.sentAt, Trial: a.trial})
		}
	}
	return parts
}

// reportCrash takes the broken attempts of a crash at a time as evidence and sends it to the other hosts.
func (g *Gateway) reportCrash(replica string, broken []brokenAttempt, at time.Duration) {
	now := g.clock()
	parts := crashedParts(broken)
	g.recordCrashEvidence(replica, parts, at)
	peers := g.snapshot.Load().allPeers
	report := fpnotice.ReplicaCrash{Replica: replica, AgeMs: (now - at).Milliseconds()}
	forEachNotice(parts, func(p fpquarantine.Part) string { return p.ID }, func(chunk []fpquarantine.Part) {
		c := report
		for _, p := range chunk {
			c.Parts = append(c.Parts, fpnotice.CrashedPart{
				ID: p.ID, Depth: p.Depth, Request: p.Request, SentAgeMs: (now - p.SentAt).Milliseconds(), Trial: p.Trial,
			})
		}
		g.sendNotice(peers, fpnotice.Notice{Crash: &c})
	})
}

// forEachNotice calls send with as many items at a time as fit into a notice.
func forEachNotice[T any](items []T, id func(T) string, send func([]T)) {
	start, size := 0, 0
	for i, v := range items {
		n := len(id(v)) + noticePartBytes
		if size+n > maxNoticePartsBytes && i > start {
			send(items[start:i])
			start, size = i, 0
		}
		size += n
	}
	if start < len(items) {
		send(items[start:])
	}
}

// handleCrashNotice takes another host's report of a crash as evidence.
func (g *Gateway) handleCrashNotice(c *fpnotice.ReplicaCrash) {
	now := g.clock()
	parts := make([]fpquarantine.Part, 0, len(c.Parts))
	for _, p := range c.Parts {
		parts = append(parts, fpquarantine.Part{
			ID: p.ID, Depth: p.Depth, Request: p.Request, SentAt: now - time.Duration(p.SentAgeMs)*time.Millisecond, Trial: p.Trial,
		})
	}
	g.recordCrashEvidence(c.Replica, parts, now-time.Duration(c.AgeMs)*time.Millisecond)
}

func (g *Gateway) recordCrashEvidence(replica string, parts []fpquarantine.Part, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduleAnnouncements(g.quarantine.tracker.RecordCrash(replica, parts, at))
}

// scheduleAnnouncements has answered parts announced, unless another host does so before. The gateway's
// mutex must be held.
func (g *Gateway) scheduleAnnouncements(answers []fpquarantine.Answer) {
	spread := min(time.Duration(g.snapshot.Load().hostCount+1)*announceDelayPerHost, maxAnnounceDelay)
	for _, a := range answers {
		if _, scheduled := g.quarantine.announcements[a.ID]; !scheduled {
			g.quarantine.announcements[a.ID] = announcement{sentAt: a.SentAt, announceAt: g.clock() + rand.N(spread)}
		}
	}
}

// dueAnnouncements returns the answers to announce now. The gateway's mutex must be held.
func (g *Gateway) dueAnnouncements() []fpquarantine.Answer {
	var due []fpquarantine.Answer
	for id, a := range g.quarantine.announcements {
		if g.clock() >= a.announceAt {
			due = append(due, fpquarantine.Answer{ID: id, SentAt: a.sentAt})
			delete(g.quarantine.announcements, id)
		}
	}
	return due
}

// announceAnswers tells the other hosts of answers.
func (g *Gateway) announceAnswers(answers []fpquarantine.Answer) {
	now, peers := g.clock(), g.snapshot.Load().allPeers
	forEachNotice(answers, func(a fpquarantine.Answer) string { return a.ID }, func(chunk []fpquarantine.Answer) {
		n := fpnotice.PartsAnswered{IDs: make([]string, 0, len(chunk)), SentAgesMs: make([]int64, 0, len(chunk))}
		for _, a := range chunk {
			n.IDs, n.SentAgesMs = append(n.IDs, a.ID), append(n.SentAgesMs, (now-a.SentAt).Milliseconds())
		}
		g.sendNotice(peers, fpnotice.Notice{Answered: &n})
	})
}

// handleAnsweredNotice takes another host's answers as evidence; this host need not announce the same.
func (g *Gateway) handleAnsweredNotice(a *fpnotice.PartsAnswered) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, id := range a.IDs[:min(len(a.IDs), len(a.SentAgesMs))] {
		g.quarantine.tracker.RecordPeerAnswer(fpquarantine.Answer{ID: id, SentAt: now - time.Duration(a.SentAgesMs[i])*time.Millisecond})
		delete(g.quarantine.announcements, id)
	}
}

// recordWholeAnswer records a complete answer to an attempt of a request, by its IDs.
func (g *Gateway) recordWholeAnswer(ids []string, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		delete(g.uncertain, id)
	}
	g.scheduleAnnouncements(g.quarantine.tracker.RecordAnswer(ids, sentAt))
}

// describeQuarantined names a part, a combination of parts or a request in quarantine.
func describeQuarantined(id string) string {
	if fingerprint, ok := strings.CutPrefix(id, requestIDPrefix); ok {
		return "request " + fingerprint
	}
	if fpquarantine.IsCombination(id) {
		return "prompt parts " + id + " together"
	}
	return "prompt part " + id
}

// findQuarantined returns the first of the IDs that is in quarantine, "" for none, and how long it
// stays there.
func (g *Gateway) findQuarantined(ids []string) (string, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.tracker.Find(ids, g.clock())
}

// suspectsAny reports whether the request or one of its parts may crash replicas, so that a repeat may
// cost another replica.
func (g *Gateway) suspectsAny(ids []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		if _, ok := g.quarantine.suspects[id]; ok {
			return true
		}
	}
	return false
}

// trackAttempt makes an attempt end when its request or a part of its prompt is put into quarantine before it is
// answered.
func (g *Gateway) trackAttempt(q *request, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.unbegun[q] = cancel
	g.quarantine.running[q] = &runningAttempt{
		replica: q.choice.Replica.ID, startUnixMilli: q.choice.Replica.StartUnixMilli, stream: q.route.Kind == fpcatalog.Stream, sentAt: q.sentAt,
	}
}

// untrackUnbegun keeps an attempt from being ended that is answered.
func (g *Gateway) untrackUnbegun(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.quarantine.unbegun, q)
}

func (g *Gateway) untrackAttempt(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.quarantine.unbegun, q)
	delete(g.quarantine.running, q)
}

// runQuarantine judges the evidence until the context ends.
func (g *Gateway) runQuarantine(ctx context.Context) error {
	for fpclock.Sleep(ctx, quarantineInterval) {
		g.mu.Lock()
		now := g.clock()
		survived := g.recordSurvivals()
		convicted := g.quarantine.tracker.Convict(now)
		expired := g.quarantine.tracker.Expired(now)
		for _, id := range expired {
			g.quarantine.expired[id] = true
		}
		answered := g.dueAnnouncements()
		before := g.quarantine.suspects
		after := g.quarantine.tracker.Suspects()
		g.quarantine.suspects = after
		count := len(g.quarantine.tracker.Entries(now))
		g.mu.Unlock()
		g.announceSurvivals(survived)
		g.logSuspects(before, after)
		for _, id := range convicted {
			g.enforceQuarantine(id, g.settings().Host)
			g.announceQuarantined(id)
		}
		for _, id := range expired {
			g.releasePart(id, "time")
		}
		g.announceAnswers(answered)
		g.metrics.SetGauge("quarantined_parts", float64(count))
	}
	return nil
}

// logSuspects logs what is suspected now and what no longer is. The chance alone, which falls as replicas live on, is no news.
func (g *Gateway) logSuspects(before, after map[string]fpquarantine.Suspicion) {
	for id, s := range after {
		if known, ok := before[id]; !ok || !s.CountsEqual(known) {
			g.log("suspected of crashing replicas", "Part", id, "Crashes", s.Crashes, "Links", s.Links, "Failures", s.Failures, "Trials", s.Trials, "Sudden", s.Sudden, "Chance", s.Chance)
		}
	}
	for id := range before {
		if _, ok := after[id]; ok {
			continue
		}
		if found, _ := g.findQuarantined([]string{id}); found == "" {
			g.log("no longer suspected", "Part", id)
		}
	}
}

// announceQuarantined tells the other hosts of a part in quarantine, which they may not learn from the
// store soon.
func (g *Gateway) announceQuarantined(id string) {
	if found, _ := g.findQuarantined([]string{id}); found != "" {
		g.sendNotice(g.snapshot.Load().allPeers, fpnotice.Notice{Quarantined: &fpnotice.PartQuarantined{ID: id}})
	}
}

// quarantinePart puts a part into quarantine that the store or another host names.
func (g *Gateway) quarantinePart(id, source string) {
	g.mu.Lock()
	added := len(id) <= maxPartIDBytes && g.quarantine.tracker.Quarantine(id, g.clock())
	g.mu.Unlock()
	if added {
		g.enforceQuarantine(id, source)
	}
}

// enforceQuarantine ends the attempts that may still begin with a part that was put into quarantine,
// and has the part written to the store.
func (g *Gateway) enforceQuarantine(id, source string) {
	ended := 0
	g.mu.Lock()
	for q, cancel := range g.quarantine.unbegun {
		if fpquarantine.Covers(id, q.quarantineIDs) {
			cancel(errQuarantined)
			ended++
		}
	}
	if _, stored := g.quarantine.revisions[id]; !stored {
		g.scheduleStoreWrite(id)
	}
	g.mu.Unlock()
	g.log("added to quarantine", "Part", id, "Source", source, "Ended", ended)
}

// scheduleStoreWrite has a part written to the store, unless another host does so before. The gateway's
// mutex must be held.
func (g *Gateway) scheduleStoreWrite(id string) {
	delay := rand.N(time.Duration(g.snapshot.Load().hostCount+1) * storeDelayPerHost)
	g.quarantine.writeAt[id] = g.clock() + delay
}

// releasePart ends a part's quarantine.
func (g *Gateway) releasePart(id, reason string) {
	g.mu.Lock()
	released := g.quarantine.tracker.Release(id)
	delete(g.quarantine.writeAt, id)
	g.mu.Unlock()
	if released {
		g.log("released from quarantine", "Part", id, "Reason", reason)
	}
}

// applyQuarantineEntry applies the store's entry of a part.
func (g *Gateway) applyQuarantineEntry(id string, i fpstore.Item) {
	g.mu.Lock()
	if i.Deleted {
		delete(g.quarantine.revisions, id)
	} else {
		g.quarantine.revisions[id] = i.Revision
		delete(g.quarantine.writeAt, id)
	}
	g.mu.Unlock()
	if i.Deleted {
		g.releasePart(id, "entry deleted")
		return
	}
	g.quarantinePart(id, "store")
}

// applyUnlistedParts releases the parts whose entry is missing from a complete list of the store. After a
// restore from a copy nobody deleted them: they are written again.
func (g *Gateway) applyUnlistedParts(items []fpstore.Item, restored bool) {
	listed := make(map[string]bool)
	for _, i := range items {
		if id, ok := strings.CutPrefix(i.Key, quarantineKeyPrefix); ok {
			listed[id] = true
		}
	}
	var gone []string
	g.mu.Lock()
	for id := range g.quarantine.revisions {
		if !listed[id] {
			delete(g.quarantine.revisions, id)
			if restored {
				g.scheduleStoreWrite(id)
			} else {
				gone = append(gone, id)
			}
		}
	}
	g.mu.Unlock()
	for _, id := range gone {
		g.releasePart(id, "entry deleted")
	}
}

// storeQuarantine writes parts in quarantine to the store, from which hosts that start later learn
// them, and deletes the entries of those that were released by time, until the context ends.
func (g *Gateway) storeQuarantine(ctx context.Context) error {
	for fpclock.Sleep(ctx, storeQuarantineInterval) {
		for id, t := range g.dueQuarantineWrites() {
			if err := g.commitQuarantine(ctx, t); err != nil {
				g.log("quarantine not stored", "Part", id, "Error", err.Error())
				g.announceQuarantined(id)
				fpclock.Sleep(ctx, hostLeaseRetryPause)
				break
			}
			g.mu.Lock()
			delete(g.quarantine.writeAt, id)
			delete(g.quarantine.expired, id)
			g.mu.Unlock()
		}
	}
	return nil
}

// dueQuarantineWrites returns the transactions that write parts to the store, or delete them there, by
// the part's ID.
func (g *Gateway) dueQuarantineWrites() map[string]fpstore.Transaction {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	due := make(map[string]fpstore.Transaction)
	for id, at := range g.quarantine.writeAt {
		if key := quarantineKeyPrefix + id; now >= at {
			due[id] = fpstore.Transaction{
				Conditions: []fpstore.Condition{{Key: key}},
				Puts:       []fpstore.Put{{Key: key, Value: []byte(g.settings().Host)}},
			}
		}
	}
	for id := range g.quarantine.expired {
		revision, ok := g.quarantine.revisions[id]
		if !ok {
			delete(g.quarantine.expired, id)
			continue
		}
		key := quarantineKeyPrefix + id
		due[id] = fpstore.Transaction{Conditions: []fpstore.Condition{{Key: key, Revision: revision}}, Deletes: []string{key}}
	}
	return due
}

// commitQuarantine commits a transaction about a part. A conflict means that another host has done so.
func (g *Gateway) commitQuarantine(ctx context.Context, t fpstore.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := g.store.Commit(ctx, t)
	if errors.Is(err, fpstore.ErrConflict) {
		return nil
	}
	return err
}
