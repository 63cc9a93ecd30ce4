package fpquarantine

import "time"

type (
	// requestSuspect is the evidence against a request.
	requestSuspect struct {
		crashes int
		// links counts the crashes of attempts that were sent after the link before.
		links      int
		lastLinkAt time.Duration
		// sufficientAt and answersBefore belong to the crash that completed the evidence.
		sufficient    bool
		sufficientAt  time.Duration
		answersBefore int
	}
)

// addRequest records that a crash broke off a request.
func (t *Tracker) addRequest(c *crash, p Part) {
	sentAt, known := c.requests[p.ID]
	if !known {
		t.requestCrashes[p.ID]++
	}
	c.requests[p.ID] = max(sentAt, p.SentAt)
}

// dropRequest drops the evidence of a crash against a request, if there is any.
func (t *Tracker) dropRequest(c *crash, id string) {
	if _, ok := c.requests[id]; !ok {
		return
	}
	delete(c.requests, id)
	if t.requestCrashes[id]--; t.requestCrashes[id] == 0 {
		delete(t.requestCrashes, id)
	}
}

// dropRequests drops the evidence of a crash against all requests.
func (t *Tracker) dropRequests(c *crash) {
	for id := range c.requests {
		t.dropRequest(c, id)
	}
}

// guiltyRequests returns the requests that the evidence convicts: the one with the most crashes, or all
// of several with the same evidence once there are enough crashes.
func (t *Tracker) guiltyRequests(now time.Duration) []string {
	var out []string
	most, tied := 0, 0
	for id, s := range t.suspectRequests() {
		if !s.sufficient || s.crashes < most {
			continue
		}
		if s.crashes > most {
			most, tied, out = s.crashes, 0, nil
		}
		tied++
		if now >= s.sufficientAt+settleTime && t.answers-s.answersBefore >= minOtherAnswers {
			out = append(out, id)
		}
	}
	if tied > 1 && most < tieCrashes {
		return nil
	}
	return out
}

// suspectRequests returns the evidence against each request that was at several unexplained crashes.
// Attempts that were at several replicas as these crashed together make one link.
func (t *Tracker) suspectRequests() map[string]*requestSuspect {
	out := make(map[string]*requestSuspect)
	for _, c := range t.crashes {
		for id, sentAt := range c.requests {
			if t.requestCrashes[id] < minSuspectLinks {
				continue
			}
			s := out[id]
			if s == nil {
				s = &requestSuspect{}
				out[id] = s
			}
			s.crashes++
			if s.links == 0 || sentAt >= s.lastLinkAt-skewTolerance && c.at > s.lastLinkAt+skewTolerance {
				s.links++
				s.lastLinkAt = c.at
			}
			if !s.sufficient && (s.links >= minRequestLinks || s.links >= minSuspectLinks && s.crashes >= minRequestCrashes) {
				s.sufficient, s.sufficientAt, s.answersBefore = true, c.at, c.answersBefore
			}
		}
	}
	return out
}
