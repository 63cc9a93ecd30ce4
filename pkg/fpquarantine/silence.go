package fpquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxPause is the longest silence that is no sign of a crash: a sound replica may pause for so long and go on. An
	// attempt that was sent after a longer one may have reached a replica that had ended by itself.
	maxPause = time.Second
	// silenceTTL is how long unanswered attempts, and proof of crashes, are kept.
	silenceTTL = time.Minute
	// maxUnanswered bounds the unanswered attempts that are kept for one replica.
	maxUnanswered = 256
)

const (
	// Answering means that the replica goes on answering.
	Answering Verdict = iota + 1
	// Silent means that the replica may have crashed under the attempt.
	Silent
	// Crashed means that the replica has crashed, under the attempt maybe.
	Crashed
	// Uncertain means that the replica may have ended before the attempt was sent.
	Uncertain
)

type (
	// Verdict is what is known of a replica since an attempt was sent that it has not answered.
	Verdict int

	// Silences holds attempts of type A that ended without a complete answer though their replicas did not break them off,
	// until these are heard again or proved to have crashed. Only then do the attempts tell anything. The zero value
	// holds none. It is not safe for concurrent use.
	Silences[A any] struct {
		replicas map[string]*silence[A]
	}

	// silence holds the signs of life of one replica. The times are 0 if there was none.
	silence[A any] struct {
		heardAt time.Duration
		// acceptedAt is when the replica last accepted a connection: it was alive then, but may not answer any more.
		acceptedAt time.Duration
		// resumedAt is when the replica was heard after a silence of more than maxPause, which began at silentFrom
		// and may have hidden a restart.
		silentFrom time.Duration
		resumedAt  time.Duration
		// crashedAt is the time of the last proof of a crash.
		crashedAt  time.Duration
		unanswered []unanswered[A]
	}

	unanswered[A any] struct {
		sentAt  time.Duration
		attempt A
	}
)

func (s *Silences[A]) replica(id string) *silence[A] {
	if s.replicas == nil {
		s.replicas = make(map[string]*silence[A])
	}
	if s.replicas[id] == nil {
		s.replicas[id] = &silence[A]{}
	}
	return s.replicas[id]
}

// Accept records that a replica accepted a connection.
func (s *Silences[A]) Accept(replica string, at time.Duration) {
	l := s.replica(replica)
	l.acceptedAt = max(l.acceptedAt, at)
}

// Hear records that bytes of an answer came from a replica.
func (s *Silences[A]) Hear(replica string, at time.Duration) {
	l := s.replica(replica)
	if at <= l.heardAt {
		return
	}
	if at-l.heardAt > maxPause {
		l.silentFrom, l.resumedAt = l.heardAt, at
	}
	l.heardAt = at
	if len(l.unanswered) > 0 {
		l.unanswered = slices.DeleteFunc(l.unanswered, func(u unanswered[A]) bool { return l.answersAfter(u.sentAt) })
	}
}

// HearStart records that the registered start of a replica was seen to answer, which was asked at a time. What was sent
// before did not crash it.
func (s *Silences[A]) HearStart(replica string, askedAt, now time.Duration) {
	s.Hear(replica, now)
	l := s.replica(replica)
	l.unanswered = slices.DeleteFunc(l.unanswered, func(u unanswered[A]) bool { return u.sentAt < askedAt })
}

// Judge tells what is known of a replica since an attempt was sent. The time is when it fell silent, if it did.
func (s *Silences[A]) Judge(replica string, sentAt time.Duration) (Verdict, time.Duration) {
	l := s.replica(replica)
	lastSign := l.lastSignBefore(sentAt)
	switch {
	case l.answersAfter(sentAt):
		return Answering, 0
	case sentAt > lastSign+maxPause:
		return Uncertain, 0
	case sentAt <= l.crashedAt && l.silentAfter(sentAt, l.crashedAt):
		return Crashed, max(lastSign, sentAt)
	default:
		return Silent, max(lastSign, sentAt)
	}
}

// Add judges the replica of an attempt that ended unanswered, and keeps the attempt while the replica is Silent.
func (s *Silences[A]) Add(replica string, sentAt time.Duration, attempt A) (Verdict, time.Duration) {
	l := s.replica(replica)
	v, since := s.Judge(replica, sentAt)
	if v == Silent && len(l.unanswered) < maxUnanswered {
		l.unanswered = append(l.unanswered, unanswered[A]{sentAt: sentAt, attempt: attempt})
	}
	return v, since
}

// answersAfter reports whether the replica went on answering for more than a pause after an attempt was sent: an answer
// just after may have been on its way.
func (l *silence[A]) answersAfter(sentAt time.Duration) bool {
	return l.heardAt > sentAt+maxPause && l.resumedAt <= sentAt
}

// silentAfter reports whether the replica was silent for more than a pause after an attempt was sent, at some time up to
// the present. One whose entry goes although it serves on is not.
func (l *silence[A]) silentAfter(sentAt, now time.Duration) bool {
	return l.resumedAt > sentAt || now-max(l.heardAt, sentAt) > maxPause
}

// lastSignBefore returns the last sign of life before the silence after an attempt was sent.
func (l *silence[A]) lastSignBefore(sentAt time.Duration) time.Duration {
	sign := l.heardAt
	if l.resumedAt > sentAt {
		sign = l.silentFrom
	}
	if l.acceptedAt <= sentAt+maxPause {
		sign = max(sign, min(l.acceptedAt, sentAt))
	}
	return sign
}

// Crash records proof that a replica crashed. It returns the attempts that were sent while it was alive and not answered,
// and when the silence began.
func (s *Silences[A]) Crash(replica string, now time.Duration) ([]A, time.Duration) {
	l := s.replica(replica)
	var out []A
	since := now
	for _, u := range l.unanswered {
		if l.silentAfter(u.sentAt, now) {
			out = append(out, u.attempt)
			since = min(since, max(l.lastSignBefore(u.sentAt), u.sentAt))
		}
	}
	l.crashedAt, l.unanswered = now, nil
	return out, since
}

// Pending returns the replicas of which it is open whether they have crashed.
func (s *Silences[A]) Pending() []string {
	var out []string
	for id, l := range s.replicas {
		if len(l.unanswered) > 0 {
			out = append(out, id)
		}
	}
	return out
}

// Expire drops what is too old to tell anything.
func (s *Silences[A]) Expire(now time.Duration) {
	maps.DeleteFunc(s.replicas, func(_ string, l *silence[A]) bool {
		l.unanswered = slices.DeleteFunc(l.unanswered, func(u unanswered[A]) bool { return now-u.sentAt > silenceTTL })
		return len(l.unanswered) == 0 && now-max(l.heardAt, l.acceptedAt, l.crashedAt) > silenceTTL
	})
}
