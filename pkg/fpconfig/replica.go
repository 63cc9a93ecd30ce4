package fpconfig

import "slices"

const (
	// Advanced means that the patch or snapshot was applied.
	Advanced ApplyResult = iota + 1
	// AlreadyApplied means that the current version is at least as high.
	AlreadyApplied
	// VersionGap means that the patch does not apply to the current version, as a
	// rule because versions in between are missing.
	VersionGap
	// Conflicting means that a different patch or document was applied as that version.
	Conflicting
)

type (
	// ApplyResult is the result of offering a patch or snapshot to a replica.
	ApplyResult int

	// Replica is a host's immutable copy of the configuration and its latest patches.
	Replica struct {
		current Versioned
		recent  []Patch
		applied []AppliedPatch
	}

	// AppliedPatch identifies a patch and the version that it produced.
	AppliedPatch struct {
		ID      string
		Version uint64
	}

	// Snapshot is a version with the IDs of the latest patches up to it, by which a
	// resubmitted patch is recognised.
	Snapshot struct {
		Versioned
		Applied []AppliedPatch `json:",omitempty"`
	}
)

// Current returns the current version; version 0 is the empty configuration.
func (r Replica) Current() Versioned { return r.current }

// RecentPatches returns the latest patches, oldest first.
func (r Replica) RecentPatches() []Patch { return slices.Clone(r.recent) }

// Snapshot returns the state that another host needs to start from the current version.
func (r Replica) Snapshot() Snapshot {
	s := Snapshot{Versioned: r.current, Applied: slices.Clone(r.applied)}
	for _, p := range r.recent {
		s.Applied = append(s.Applied, AppliedPatch{ID: p.ID, Version: p.Version()})
	}
	s.Applied = s.Applied[max(len(s.Applied)-PatchSlots, 0):]
	return s
}

// WithSnapshot returns the replica with the snapshot applied; the version never decreases.
func (r Replica) WithSnapshot(v Snapshot) (Replica, ApplyResult) {
	switch {
	case v.Version < r.current.Version:
		return r, AlreadyApplied
	case v.Version == r.current.Version && v.Checksum() != r.current.Checksum():
		return r, Conflicting
	case v.Version == r.current.Version:
		return r, AlreadyApplied
	}
	return Replica{current: v.Versioned, applied: v.Applied}, Advanced
}

// WithPatch returns the replica with the patch applied, if it applies.
func (r Replica) WithPatch(p Patch) (Replica, ApplyResult) {
	if p.Version() <= r.current.Version {
		if q, ok := r.Patch(p.Version()); ok && q.ID != p.ID {
			return r, Conflicting
		}
		return r, AlreadyApplied
	}
	next, err := r.current.Apply(p)
	if err != nil {
		return r, VersionGap
	}
	recent := append(slices.Clone(r.recent), p)
	if len(recent) > PatchSlots {
		recent = recent[len(recent)-PatchSlots:]
	}
	return Replica{current: next, recent: recent, applied: r.applied}, Advanced
}

// Patch returns the patch that produced version, and whether it is among the latest ones.
func (r Replica) Patch(version uint64) (Patch, bool) {
	for _, p := range r.recent {
		if p.Version() == version {
			return p, true
		}
	}
	return Patch{}, false
}

// PatchesSince returns the patches from version to the current one, and whether all of
// them are available; otherwise a snapshot is needed.
func (r Replica) PatchesSince(version uint64) ([]Patch, bool) {
	if version >= r.current.Version {
		return nil, true
	}
	missing := int(r.current.Version - version)
	if missing > len(r.recent) {
		return nil, false
	}
	return slices.Clone(r.recent[len(r.recent)-missing:]), true
}

// VersionOfPatch returns the version that the patch with the given ID produced, and
// whether it is among the latest ones.
func (r Replica) VersionOfPatch(id string) (uint64, bool) {
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
