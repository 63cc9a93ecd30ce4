package fpquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// Suspicion is the evidence against a part or a request that is not convicted: the crashes at which it
	// was, those whose attempt was sent after the one before (links), the links that are well apart
	// (failures), and the crashes at which it alone was on trial. Since counts all crashes since its first.
	// Sudden counts the trials whose replica crashed before another one lived on for longer with the same, and Chance is the
	// probability that all replicas of these crashed by themselves just then.
	Suspicion struct {
		Crashes  int
		Links    int
		Failures int
		Trials   int
		Since    int
		Sudden   int
		Chance   float64
	}

	// evidence is what speaks against a part or a request.
	evidence struct {
		Suspicion
		id         string
		depth      int
		lastLinkAt time.Duration
		// failedAt is the time of the last failure, and lastSuddenAt that of the last sudden crash.
		failedAt     time.Duration
		lastSuddenAt time.Duration
		// sudden holds the crashes of the sudden trials, with the attempts that they broke off.
		sudden map[*crash]attempt
		// firstCrash is the number of crashes before the first.
		firstCrash int
		// answersBefore is the number of complete answers before the first crash.
		answersBefore int
		// sufficientAt is the time of the crash that completed the evidence.
		sufficient   bool
		sufficientAt time.Duration
	}
)

// CountsEqual reports whether both count the same crashes. The chance falls by itself as replicas live on.
func (s Suspicion) CountsEqual(o Suspicion) bool {
	s.Chance, o.Chance = 0, 0
	return s == o
}

// suspected reports whether a trial of the part, or the request, is due.
func (s Suspicion) suspected() bool { return s.Links >= minSuspectLinks }

// convictsPart reports whether the evidence convicts a part.
func (s Suspicion) convictsPart() bool {
	trials := s.Trials
	if s.Crashes >= manyCrashes {
		trials++
	}
	atMost := float64(s.Crashes) >= minCrashShare*float64(s.Since)
	return trials >= minTrials || atMost && (s.Links >= minPartLinks || s.Failures >= minFailures)
}

// convictsRequest reports whether the evidence convicts a request.
func (s Suspicion) convictsRequest() bool {
	return s.Links >= minRequestLinks || s.suspected() && s.Crashes >= minRequestCrashes
}

// convictsAlone reports whether the evidence convicts without an answer to anything else: replicas that
// serve nothing live on, and crash as soon as they get the part or the request. Where others crash replicas
// as well, all requests may do so.
func (s Suspicion) convictsAlone() bool {
	return s.Sudden >= minSuddenTrials && s.Chance <= maxChance && float64(s.Crashes) >= minLoneShare*float64(s.Since)
}

// convictParts puts the parts into quarantine that the evidence convicts and returns them. Crashes of a part
// that more speaks against do not speak against another one.
func (t *Tracker) convictParts(now time.Duration) []string {
	var out []string
	blamed := make(map[*crash]bool)
	for {
		var best *evidence
		for _, e := range t.partEvidence(blamed) {
			if e.suspected() && (best == nil || e.outweighs(best)) {
				best = e
			}
		}
		if best == nil || best.Crashes < min(minTrials, minFailures) {
			return out
		}
		for _, c := range t.crashes {
			if _, ok := c.parts[best.id]; ok {
				blamed[c] = true
			}
		}
		id := best.id
		if !best.sufficient && best.convictsAlone() {
			id, best.sufficient, best.sufficientAt = t.inseparable(id), true, best.lastSuddenAt
		}
		if best.sufficient && id != "" && now >= best.sufficientAt+settleTime && t.Quarantine(id, now) {
			out = append(out, id)
		}
	}
}

// inseparable returns the ID of all parts that were at each crash at which the given one was, or "" if it has none. Without
// an answer to a prompt with one of them, nothing tells them apart.
func (t *Tracker) inseparable(id string) string {
	var common map[string]attempt
	for _, c := range t.crashes {
		if _, ok := c.parts[id]; !ok {
			continue
		}
		if common == nil {
			common = maps.Clone(c.parts)
		}
		maps.DeleteFunc(common, func(other string, _ attempt) bool {
			_, ok := c.parts[other]
			return !ok
		})
	}
	ids := slices.SortedFunc(maps.Keys(common), func(a, b string) int {
		return cmp.Or(cmp.Compare(common[a].depth, common[b].depth), cmp.Compare(a, b))
	})
	return Combine(ids)
}

// partEvidence returns the evidence against parts, without that from the given crashes.
func (t *Tracker) partEvidence(without map[*crash]bool) map[string]*evidence {
	return t.evidence(func(c *crash) map[string]attempt {
		if without[c] {
			return nil
		}
		return c.parts
	}, partLinkSpacing, Suspicion.convictsPart)
}

// outweighs reports whether more speaks against the part than against another one. Of parts with the same
// evidence it is the deeper one, which fewer prompts share.
func (e *evidence) outweighs(o *evidence) bool {
	return cmp.Or(cmp.Compare(o.Trials, e.Trials), cmp.Compare(o.Crashes, e.Crashes), cmp.Compare(o.depth, e.depth), cmp.Compare(e.id, o.id)) < 0
}

// guiltyRequests returns the requests that the evidence convicts: the one with the most crashes, or all
// of several with the same evidence once there are enough crashes.
func (t *Tracker) guiltyRequests(now time.Duration) []string {
	var out []string
	most, tied := 0, 0
	for id, e := range t.requestEvidence() {
		if !e.sufficient && e.convictsAlone() {
			e.sufficient, e.sufficientAt = true, e.lastSuddenAt
		}
		if !e.sufficient || e.Crashes < most {
			continue
		}
		if e.Crashes > most {
			most, tied, out = e.Crashes, 0, nil
		}
		tied++
		if now >= e.sufficientAt+settleTime {
			out = append(out, id)
		}
	}
	if tied > 1 && most < tieCrashes {
		return nil
	}
	return out
}

func (t *Tracker) requestEvidence() map[string]*evidence {
	return t.evidence(func(c *crash) map[string]attempt { return c.requests }, skewTolerance, Suspicion.convictsRequest)
}

// evidence returns what the crashes say of their attempts, by ID, where several do. Attempts that were at
// several replicas as these crashed together, or not further apart than given, make one link.
func (t *Tracker) evidence(attempts func(*crash) map[string]attempt, apart time.Duration, convicts func(Suspicion) bool) map[string]*evidence {
	out := make(map[string]*evidence)
	crashes := 0
	for _, c := range t.crashes {
		if !c.explained && !c.aged {
			crashes++
		}
		triedPart, triedRequest := c.tried()
		for id, a := range attempts(c) {
			if t.held[id] < minSuspectLinks {
				continue
			}
			e := out[id]
			if e == nil {
				e = &evidence{id: id, firstCrash: crashes - 1, answersBefore: c.answersBefore}
				out[id] = e
			}
			e.Crashes++
			e.depth = max(e.depth, a.depth)
			e.Since = crashes - e.firstCrash
			if e.Links == 0 || a.sentAt >= e.lastLinkAt-skewTolerance && c.at > e.lastLinkAt+apart {
				e.Links++
				e.lastLinkAt = c.at
				if e.Failures == 0 || c.at-e.failedAt >= failureLength {
					e.Failures++
					e.failedAt = c.at
				}
			}
			if id == triedPart || id == triedRequest {
				e.Trials++
				if !a.outlived {
					e.addSudden(c, a)
				}
			}
			if !e.sufficient && convicts(e.Suspicion) && t.answers-e.answersBefore >= minOtherAnswers {
				e.sufficient, e.sufficientAt = true, c.at
			}
		}
	}
	t.reckonChances(out)
	return out
}

func (e *evidence) addSudden(c *crash, a attempt) {
	if e.sudden == nil {
		e.sudden = make(map[*crash]attempt)
	}
	e.sudden[c] = a
	e.Sudden++
	e.lastSuddenAt = c.at
}

// reckonChances sets the probability that the replicas of sudden trials crashed by themselves, from the rate at which the
// replicas of their services crash otherwise, with one more crash assumed, and those of unknown services.
func (t *Tracker) reckonChances(list map[string]*evidence) {
	var ran map[string]time.Duration
	for _, e := range list {
		e.Chance = 1
		if e.Sudden == 0 {
			continue
		}
		if ran == nil {
			ran = t.timeRun()
		}
		others := t.crashesWithout(e.sudden)
		for c, a := range e.sudden {
			if seconds := ran[c.service].Seconds(); seconds > 0 {
				e.Chance *= min(1, max(c.at-a.sentAt, minCrashTime).Seconds()*float64(others[c.service]+others[""]+1)/seconds)
			}
		}
	}
}

// timeRun returns for how long the replicas of each service have run in all, within evidenceTTL.
func (t *Tracker) timeRun() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, l := range t.lives {
		end := t.judgedAt
		if l.endedAt > 0 {
			end = l.endedAt
		}
		out[l.service] += max(end-max(l.since, t.judgedAt-evidenceTTL), 0)
	}
	for _, c := range t.crashes {
		if !c.aged {
			out[c.service] += min(c.uptime, evidenceTTL)
		}
	}
	return out
}

// crashesWithout returns the number of crashes of replicas of each service that nothing explains, without the given ones.
func (t *Tracker) crashesWithout(without map[*crash]attempt) map[string]int {
	out := make(map[string]int)
	for _, c := range t.crashes {
		if _, ok := without[c]; !ok && !c.aged && !c.requestExplained {
			out[c.service]++
		}
	}
	return out
}

// tried returns the request that was on trial as the replica crashed, and the deepest part of its prompt, "" if none was
// or several were.
func (c *crash) tried() (part, request string) {
	if len(c.trials) != 1 {
		return "", ""
	}
	depth := -1
	for id, a := range c.parts {
		if a.trial && a.depth > depth {
			part, depth = id, a.depth
		}
	}
	for id := range c.trials {
		request = id
	}
	return part, request
}

// Suspects returns the parts and requests that several crashes in sequence speak against, none of which is
// in quarantine, by ID. To repeat a request with one of them may cost another replica.
func (t *Tracker) Suspects() map[string]Suspicion {
	out := make(map[string]Suspicion)
	for _, byID := range []map[string]*evidence{t.partEvidence(nil), t.requestEvidence()} {
		for id, e := range byID {
			if e.suspected() {
				out[id] = e.Suspicion
			}
		}
	}
	return out
}
