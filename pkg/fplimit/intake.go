package fplimit

import (
	"maps"
	"time"
)

// MaxIntakes bounds the upstreams of which is remembered what they said of new requests.
const MaxIntakes = 4096

type (
	// Intakes is what upstreams said of the requests that they take, by key: one start of an upstream. The zero
	// value is empty; it is not safe for concurrent use.
	Intakes[K comparable] struct {
		entries map[K]intake
	}

	intake struct {
		leaving    bool
		pause      Pause
		recordedAt time.Duration
	}
)

// RecordLeaving records that an upstream takes no new requests, and reports whether that was unknown.
func (s *Intakes[K]) RecordLeaving(key K, now time.Duration) bool {
	n := s.entries[key]
	unknown := !n.leaving
	n.leaving = true
	s.put(key, n, now)
	return unknown
}

// RecordPause records that an upstream wants no requests for a time from now, and reports whether it took some
// until now.
func (s *Intakes[K]) RecordPause(key K, d, now time.Duration) bool {
	n := s.entries[key]
	began := n.pause.Left(now) == 0
	n.pause = n.pause.WithDelay(d, now)
	s.put(key, n, now)
	return began
}

// Leaving reports whether an upstream has said that it takes no new requests.
func (s *Intakes[K]) Leaving(key K) bool { return s.entries[key].leaving }

// PauseLeft returns for how long an upstream wants no requests.
func (s *Intakes[K]) PauseLeft(key K, now time.Duration) time.Duration {
	return s.entries[key].pause.Left(now)
}

// MaySend reports whether an upstream neither leaves nor pauses.
func (s *Intakes[K]) MaySend(key K, now time.Duration) bool {
	return !s.Leaving(key) && s.PauseLeft(key, now) == 0
}

func (s *Intakes[K]) put(key K, n intake, now time.Duration) {
	if s.entries == nil {
		s.entries = make(map[K]intake)
	}
	if _, ok := s.entries[key]; !ok && len(s.entries) >= MaxIntakes {
		s.makeRoom(now)
	}
	n.recordedAt = now
	s.entries[key] = n
}

// makeRoom drops what says nothing any longer, or else the oldest.
func (s *Intakes[K]) makeRoom(now time.Duration) {
	maps.DeleteFunc(s.entries, func(_ K, n intake) bool { return !n.leaving && n.pause.Left(now) == 0 })
	if len(s.entries) < MaxIntakes {
		return
	}
	var oldest K
	at, found := time.Duration(0), false
	for key, n := range s.entries {
		if !found || n.recordedAt < at {
			oldest, at, found = key, n.recordedAt, true
		}
	}
	delete(s.entries, oldest)
}
