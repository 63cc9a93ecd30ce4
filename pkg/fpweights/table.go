package fpweights

import "time"

const (
	// AnswerLag is how old the version in an answer may be when it arrives.
	AnswerLag = 500 * time.Millisecond
	// ReportLag is how old a status report may be when it arrives, also through another host.
	ReportLag = 1500 * time.Millisecond
	// EntryLag is how old a registration may be when it arrives.
	EntryLag = 3 * time.Second
	// EntryDelay is the time in which a registration shows what the replica stated.
	EntryDelay = 6 * time.Second
)

type (
	// Statement is what a replica said of its weights: the version that it had at some time between At-Lag
	// and At.
	Statement struct {
		Version int64
		At      time.Duration
		Lag     time.Duration
	}

	// Table holds the last statement of each replica, by ID. The zero value is not ready for use; it is not safe for
	// concurrent use.
	Table map[string]Statement
)

// Record records a statement. A lower version than the known one counts only if it is certainly later, since
// orders raise versions.
func (t Table) Record(id string, s Statement) {
	known, ok := t[id]
	if ok && s.Version < known.Version && s.At-s.Lag < known.At {
		return
	}
	if ok && s.Version == known.Version {
		s.At = max(s.At, known.At)
	}
	t[id] = s
}

// Version returns the version that a replica has as far as is known, given the one in its registration. The
// registration counts instead of an older statement if it was read at least EntryDelay later, and as long
// after registrations could be written again; entryReadAt and writableSince are these times.
func (t Table) Version(id string, registered int64, entryReadAt, writableSince time.Duration) int64 {
	s, ok := t[id]
	if !ok || entryReadAt >= max(s.At, writableSince)+EntryDelay {
		return registered
	}
	return s.Version
}

// Forget drops the statement of a replica that started anew or has left.
func (t Table) Forget(id string) { delete(t, id) }
