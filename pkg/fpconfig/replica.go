package fpconfig

import "slices"

const (
	// Advanced means that the patch or snapshot is now in force.
	Advanced Verdict = iota + 1
	// Known means that a version at least as high is in force already.
	Known
	// Gap means that versions in between are missing.
	Gap
	// Conflicting means that a different patch is in force under that version.
	Conflicting
)

type (
	// Verdict tells what became of an offered patch or snapshot.
	Verdict int

	// Replica is one host's immutable copy of the configuration with its latest patches.
	Replica struct {
		current Versioned
		recent  []Patch
		applied []Applied
	}

	// Applied names a patch and the version that it led to.
	Applied struct {
		ID      string
		Version uint64
	}

	// Snapshot is a version with the names of the patches before it, by which a
	// repeat is recognised.
	Snapshot struct {
		Versioned
		Applied []Applied `json:",omitempty"`
	}
)

// Current returns the version in force; version 0 is the empty configuration.
func (r Replica) Current() Versioned { return r.current }

// Recent returns the latest patches, oldest first.
func (r Replica) Recent() []Patch { return slices.Clone(r.recent) }

// Snapshot returns what another host needs to start from this version.
func (r Replica) Snapshot() Snapshot {
	s := Snapshot{Versioned: r.current, Applied: slices.Clone(r.applied)}
	for _, p := range r.recent {
		s.Applied = append(s.Applied, Applied{ID: p.ID, Version: p.Version()})
	}
	s.Applied = s.Applied[max(len(s.Applied)-Slots, 0):]
	return s
}

// WithSnapshot returns the replica after a snapshot was offered; a lower version is never followed.
func (r Replica) WithSnapshot(v Snapshot) (Replica, Verdict) {
	switch {
	case v.Version < r.current.Version:
		return r, Known
	case v.Version == r.current.Version && v.Checksum() != r.current.Checksum():
		return r, Conflicting
	case v.Version == r.current.Version:
		return r, Known
	}
	return Replica{current: v.Versioned, applied: v.Applied}, Advanced
}

// WithPatch returns the replica after a patch was offered.
func (r Replica) WithPatch(p Patch) (Replica, Verdict) {
	if p.Version() <= r.current.Version {
		if q, ok := r.Patch(p.Version()); ok && q.ID != p.ID {
			return r, Conflicting
		}
		return r, Known
	}
	next, err := r.current.Apply(p)
	if err != nil {
		return r, Gap
	}
	recent := append(slices.Clone(r.recent), p)
	if len(recent) > Slots {
		recent = recent[len(recent)-Slots:]
	}
	return Replica{current: next, recent: recent, applied: r.applied}, Advanced
}

// Patch returns the kept patch that led to version, and whether it is kept.
func (r Replica) Patch(version uint64) (Patch, bool) {
	for _, p := range r.recent {
		if p.Version() == version {
			return p, true
		}
	}
	return Patch{}, false
}

// Since returns the patches that lead from version to the current one, and
// whether they are all kept; if not, a snapshot has to be sent.
func (r Replica) Since(version uint64) ([]Patch, bool) {
	if version >= r.current.Version {
		return nil, true
	}
	need := int(r.current.Version - version)
	if need > len(r.recent) {
		return nil, false
	}
	return slices.Clone(r.recent[len(r.recent)-need:]), true
}

// Contains reports whether a patch of that ID is among the latest ones, and its version.
func (r Replica) Contains(id string) (uint64, bool) {
	for _, p := range r.recent {
		if p.ID == id {
			return p.Version(), true
		}
	}
	for _, a := range r.applied {
		if a.ID == id {
			return a.Version, true
		}
	}
	return 0, false
}
