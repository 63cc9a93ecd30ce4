package fpquarantine

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// Duration is how long a part stays in quarantine.
	Duration = 10 * time.Minute

	// minPartLinks is the least number of crashes that convict a part, each of an attempt that was sent
	// after the crash before, and minRequestLinks the same for a request, which only its repeats bring to
	// another replica. Attempts that run at the same time make fewer links; then minRequestCrashes convict
	// a request with minSuspectLinks.
	minPartLinks      = 6
	minRequestLinks   = 3
	minRequestCrashes = 4
	// minFailures of these crashes, failureLength apart, convict a part that was at minCrashShare of all
	// crashes since its first.
	minFailures   = 4
	failureLength = 500 * time.Millisecond
	minCrashShare = 0.75
	// minSuspectLinks is the number of such crashes from which a part or a request is suspected.
	minSuspectLinks = 2
	// partLinkSpacing is the least time between such crashes for a part: busy hosts see replicas that are
	// lost at the same moment end within it.
	partLinkSpacing = 100 * time.Millisecond
	// minTrials is the least number of trials that ended in a crash that convict a part, one less for a part
	// that was at manyCrashes.
	minTrials   = 3
	manyCrashes = 8
	// minSuddenTrials is the least number of trials that ended in a crash that convict without other answers, if the
	// replicas had crashed by themselves with a probability of at most maxChance, and if it was at minLoneShare of all
	// crashes since its first.
	minSuddenTrials = 2
	maxChance       = 1e-6
	minLoneShare    = 0.45
	// minCrashTime is the shortest time from sending an attempt to the crash that can be told.
	minCrashTime = 10 * time.Millisecond
	// minOutlived is how many times longer than before a crash another replica has to live with an attempt for the crash
	// to tell less.
	minOutlived = 1.25
	// settleTime is the time after the last of these crashes in which another host may report an
	// answer that clears the part.
	settleTime = 200 * time.Millisecond
	// minOtherAnswers is the least number of complete answers since the first of these crashes: as long
	// as nothing is answered, the lack of answers is no evidence.
	minOtherAnswers = 3
	// tieCrashes is the number of crashes from which several requests with the same evidence are convicted.
	tieCrashes = 5
	// evidenceTTL is how long a crash counts against parts, and requestEvidenceTTL against requests,
	// which may come again at long intervals.
	evidenceTTL        = time.Minute
	requestEvidenceTTL = 10 * time.Minute
	// skewTolerance is by how much the times that two hosts report may differ: the longest one-way delay
	// between them.
	skewTolerance = 30 * time.Millisecond
	// mergeTime is the time in which reports of a replica's crash are about the same crash.
	mergeTime = 1500 * time.Millisecond

	maxCrashes       = 128
	maxPartsPerCrash = 512
	maxAnswered      = 8192
	maxQuarantined   = 256
)

type (
	// Part is a part of a prompt that other prompts may share, or a whole request that may be repeated.
	// Depth is the part's position in the prompt, 0 first, and SentAt is when the last attempt with it was
	// sent to the replica.
	Part struct {
		ID     string
		Depth  int
		SentAt time.Duration
		// Request says that the ID is that of a request.
		Request bool
		// Trial says that the attempt was on trial: the only one with a suspected part at its replica.
		Trial bool
	}

	// Answer is a complete answer to an attempt with a part, which was sent at a time.
	Answer struct {
		ID     string
		SentAt time.Duration
	}

	// Entry is a part in quarantine; Age is the time since its conviction.
	Entry struct {
		ID  string
		Age time.Duration
	}

	// Tracker holds the evidence of one host and the parts in quarantine. It is not safe for
	// concurrent use.
	Tracker struct {
		// crashes holds the known crashes, oldest first.
		crashes []*crash
		// held is the number of crashes that hold a part or a request, by ID.
		held map[string]int
		// answered holds when the last attempt with the part was sent that was answered completely.
		answered map[string]time.Duration
		// answers counts all complete answers.
		answers     int
		quarantined map[string]time.Duration
		// combinations holds those IDs in quarantine that are of several parts.
		combinations map[string]bool
		// lives holds since when each replica has been known to run.
		lives map[string]life
		// judgedAt is the time of the last judgement.
		judgedAt time.Duration
	}

	// life is the time in which a replica of a service is known to run; endedAt is 0 while it does.
	life struct {
		service string
		since   time.Duration
		endedAt time.Duration
	}

	// crash is one crash of a replica with the parts of the requests that it broke off, by ID.
	crash struct {
		replica string
		at      time.Duration
		parts   map[string]attempt
		// requests holds the attempts of each request, by ID.
		requests map[string]attempt
		// trials holds the requests that were on trial at the replica, by ID.
		trials map[string]bool
		// answersBefore is the number of complete answers before the crash became known.
		answersBefore int
		// service is that of the replica, and uptime how long that had been known to run, 0 if it was unknown.
		service string
		uptime  time.Duration
		// explained says that one of the parts is in quarantine, so that the crash speaks against no
		// other, and requestExplained the same of the requests. A part may crash the replicas under
		// many requests, so that a request does not explain a crash for the parts.
		explained        bool
		requestExplained bool
		// aged says that the crash is too old to count against parts.
		aged bool
	}

	// attempt is the last attempt with a part, or of a request, that a crash broke off.
	attempt struct {
		depth  int
		sentAt time.Duration
		trial  bool
		// outlived says that another replica lived on with the part, or the request, for longer.
		outlived bool
	}
)

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{
		held: make(map[string]int), answered: make(map[string]time.Duration), quarantined: make(map[string]time.Duration),
		combinations: make(map[string]bool), lives: make(map[string]life),
	}
}

// RecordStart records that a replica of a service runs from a time on.
func (t *Tracker) RecordStart(replica, service string, at time.Duration) {
	t.lives[replica] = life{service: service, since: at}
}

// RecordRunning records that the given replicas run at a time, each of a service, and no others.
func (t *Tracker) RecordRunning(replicas iter.Seq2[string, string], at time.Duration) {
	running := make(map[string]bool)
	for id, service := range replicas {
		running[id] = true
		if l, known := t.lives[id]; !known || l.endedAt > 0 {
			t.RecordStart(id, service, at)
		}
	}
	for id, l := range t.lives {
		if !running[id] && l.endedAt == 0 {
			t.RecordEnd(id, at)
		}
	}
}

// RecordEnd records that a replica is gone. Other hosts may report its crash later.
func (t *Tracker) RecordEnd(replica string, at time.Duration) {
	if l, ok := t.lives[replica]; ok {
		l.endedAt = at
		t.lives[replica] = l
	}
}

// IDs returns the IDs of parts.
func IDs(parts []Part) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// RecordCrash records that a replica crashed at a time and broke off requests with the given parts. A
// report about a known crash adds its parts. It returns the answers that clear some of them: those to
// attempts that were sent after the crash.
func (t *Tracker) RecordCrash(replica string, parts []Part, at time.Duration) []Answer {
	var cleared []Answer
	c := t.crash(replica, at)
	if c.explained {
		return nil
	}
	for _, p := range parts {
		if p.Request && p.Trial {
			c.trials[p.ID] = true
		}
		answered, ok := t.answered[p.ID]
		switch {
		case ok && answered > c.at:
			cleared = append(cleared, Answer{ID: p.ID, SentAt: answered})
		case p.Request && !c.requestExplained:
			t.hold(c.requests, p)
		case !p.Request:
			t.hold(c.parts, p)
		}
	}
	t.explainCrashes()
	return cleared
}

// hold records that a crash broke off an attempt.
func (t *Tracker) hold(attempts map[string]attempt, p Part) {
	a, known := attempts[p.ID]
	switch {
	case !known && len(attempts) >= maxPartsPerCrash:
		return
	case !known:
		t.held[p.ID]++
	}
	attempts[p.ID] = attempt{depth: max(a.depth, p.Depth), sentAt: max(a.sentAt, p.SentAt), trial: a.trial || p.Trial, outlived: a.outlived}
}

// drop drops the evidence of a crash against a part or a request, if there is any.
func (t *Tracker) drop(attempts map[string]attempt, id string) {
	if _, ok := attempts[id]; !ok {
		return
	}
	delete(attempts, id)
	if t.held[id]--; t.held[id] == 0 {
		delete(t.held, id)
	}
}

// dropAll drops the evidence of a crash against all parts, or all requests.
func (t *Tracker) dropAll(attempts map[string]attempt) {
	for id := range attempts {
		t.drop(attempts, id)
	}
}

// crash returns the known crash of a replica at about the given time, or a new one.
func (t *Tracker) crash(replica string, at time.Duration) *crash {
	for _, c := range t.crashes {
		if c.replica == replica && (c.at-at).Abs() < mergeTime {
			return c
		}
	}
	c := &crash{replica: replica, at: at, parts: make(map[string]attempt), requests: make(map[string]attempt), trials: make(map[string]bool), answersBefore: t.answers}
	if l, ok := t.lives[replica]; ok {
		c.service, c.uptime = l.service, at-l.since
		delete(t.lives, replica)
	}
	i, _ := slices.BinarySearchFunc(t.crashes, at, func(c *crash, at time.Duration) int { return int(c.at - at) })
	t.crashes = slices.Insert(t.crashes, i, c)
	if len(t.crashes) > maxCrashes {
		t.dropOldest()
	}
	return c
}

func (t *Tracker) dropOldest() {
	t.dropAll(t.crashes[0].parts)
	t.dropAll(t.crashes[0].requests)
	t.crashes = t.crashes[1:]
}

// RecordAnswer records a complete answer to an attempt with the given parts on this host. It returns the
// answers that cleared some of them of suspicion.
func (t *Tracker) RecordAnswer(ids []string, sentAt time.Duration) []Answer {
	t.answers++
	var cleared []Answer
	for _, id := range ids {
		if a := (Answer{ID: id, SentAt: sentAt}); t.clear(a) {
			cleared = append(cleared, a)
		}
	}
	return cleared
}

// RecordSurvival records that a replica has lived on with an attempt with the given parts for a time. It returns those
// for which crashes up to then that came sooner after their attempt tell less now: nothing if the attempt has begun to
// run, and no longer that replicas crash as soon as they get it if it may still wait.
func (t *Tracker) RecordSurvival(ids []string, sentAt, lived time.Duration, begun bool) []string {
	var changed []string
	for _, id := range ids {
		if t.outlive(id, sentAt, lived, begun) {
			changed = append(changed, id)
		}
	}
	return changed
}

func (t *Tracker) outlive(id string, sentAt, lived time.Duration, begun bool) bool {
	found := false
	for _, c := range t.crashes {
		if t.held[id] == 0 || c.at > sentAt+lived {
			break
		}
		for _, attempts := range []map[string]attempt{c.parts, c.requests} {
			a, ok := attempts[id]
			switch {
			case !ok || minOutlived*(c.at-a.sentAt).Seconds() > lived.Seconds():
			case begun:
				t.drop(attempts, id)
				found = true
			case !a.outlived:
				a.outlived = true
				attempts[id] = a
				found = true
			}
		}
	}
	return found
}

// RecordPeerAnswer records a complete answer that another host got.
func (t *Tracker) RecordPeerAnswer(a Answer) { t.clear(a) }

// clear drops the evidence against a part from crashes before the attempt that was answered, and reports
// whether there was any. What was sent before a crash tells little of what was sent after it.
func (t *Tracker) clear(a Answer) bool {
	t.answered[a.ID] = max(t.answered[a.ID], a.SentAt)
	if len(t.answered) > maxAnswered {
		t.dropOldAnswers()
	}
	if t.held[a.ID] == 0 {
		return false
	}
	found := false
	for _, c := range t.crashes {
		if c.at >= a.SentAt {
			break
		}
		_, isPart := c.parts[a.ID]
		_, isRequest := c.requests[a.ID]
		found = found || isPart || isRequest
		t.drop(c.parts, a.ID)
		t.drop(c.requests, a.ID)
	}
	return found
}

// dropOldAnswers drops the older half of what is known of answers, and all that is too old to clear
// anything.
func (t *Tracker) dropOldAnswers() {
	times := slices.Sorted(maps.Values(t.answered))
	oldest := max(times[len(times)/2], times[len(times)-1]-evidenceTTL)
	maps.DeleteFunc(t.answered, func(_ string, at time.Duration) bool { return at < oldest })
}

// Convict puts the parts into quarantine that the evidence convicts, and returns them.
func (t *Tracker) Convict(now time.Duration) []string {
	t.ageCrashes(now)
	var convicted []string
	for _, id := range t.guiltyRequests(now) {
		if t.Quarantine(id, now) {
			convicted = append(convicted, id)
		}
	}
	return append(convicted, t.convictParts(now)...)
}

// ageCrashes drops the evidence that is too old. Of the requests at crashes that no longer count against
// parts, those that were at another crash are kept.
func (t *Tracker) ageCrashes(now time.Duration) {
	t.judgedAt = now
	maps.DeleteFunc(t.lives, func(_ string, l life) bool { return l.endedAt > 0 && now-l.endedAt > evidenceTTL })
	for len(t.crashes) > 0 && now-t.crashes[0].at > requestEvidenceTTL {
		t.dropOldest()
	}
	for _, c := range t.crashes {
		if c.aged || now-c.at <= evidenceTTL {
			continue
		}
		c.aged = true
		t.dropAll(c.parts)
		for id := range c.requests {
			if t.held[id] == 1 {
				t.drop(c.requests, id)
			}
		}
	}
}

// Quarantine puts a part into quarantine from a time on, unless there are too many, and reports whether
// it was not there before.
// The crashes that the part explains no longer speak against other parts.
func (t *Tracker) Quarantine(id string, since time.Duration) bool {
	if _, ok := t.quarantined[id]; ok || len(t.quarantined) >= maxQuarantined {
		return false
	}
	t.quarantined[id] = since
	if IsCombination(id) {
		t.combinations[id] = true
	}
	t.explainCrashes()
	return true
}

// explainCrashes drops the evidence of crashes that a part or a request in quarantine explains.
func (t *Tracker) explainCrashes() {
	for _, c := range t.crashes {
		if t.holdsAny(maps.Keys(c.parts)) {
			c.explained = true
			t.dropAll(c.parts)
		}
		if c.explained || t.holdsAny(maps.Keys(c.requests)) {
			c.requestExplained = true
			t.dropAll(c.requests)
		}
	}
}

// holdsAny reports whether one of the IDs, or several in combination, are in quarantine.
func (t *Tracker) holdsAny(ids iter.Seq[string]) bool {
	if len(t.quarantined) == 0 {
		return false
	}
	return t.covered(slices.Collect(ids)) != ""
}

// covered returns what is in quarantine of the given IDs, or of several in combination, "" for nothing.
func (t *Tracker) covered(ids []string) string {
	for _, id := range ids {
		if _, ok := t.quarantined[id]; ok {
			return id
		}
	}
	for id := range t.combinations {
		if Covers(id, ids) {
			return id
		}
	}
	return ""
}

// Release ends a part's quarantine and reports whether it was in quarantine.
func (t *Tracker) Release(id string) bool {
	_, ok := t.quarantined[id]
	delete(t.quarantined, id)
	delete(t.combinations, id)
	return ok
}

// Expired returns the parts whose quarantine is over by time.
func (t *Tracker) Expired(now time.Duration) []string {
	var out []string
	for id, since := range t.quarantined {
		if now-since >= Duration {
			out = append(out, id)
		}
	}
	return out
}

// Adopt puts a part into quarantine that another host convicted, for the rest of its time.
func (t *Tracker) Adopt(e Entry, now time.Duration) {
	if e.Age < Duration {
		t.Quarantine(e.ID, now-e.Age)
	}
}

// Entries returns the parts in quarantine, the latest first.
func (t *Tracker) Entries(now time.Duration) []Entry {
	out := make([]Entry, 0, len(t.quarantined))
	for id, since := range t.quarantined {
		out = append(out, Entry{ID: id, Age: now - since})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Find returns which of the parts, or which combination of several, is in quarantine, and for how much longer; it returns
// "" if there is none.
func (t *Tracker) Find(ids []string, now time.Duration) (string, time.Duration) {
	if len(t.quarantined) == 0 {
		return "", 0
	}
	id := t.covered(ids)
	if id == "" {
		return "", 0
	}
	return id, max(t.quarantined[id]+Duration-now, 0)
}
