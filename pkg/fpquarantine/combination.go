package fpquarantine

import (
	"slices"
	"strings"
)

const (
	// combiner separates the parts of a combination in its ID.
	combiner = "+"
	// MaxIDBytes is the longest ID of a part or a combination.
	MaxIDBytes = 160
)

// Combine returns the ID of a combination of parts, which is that of the part if there is one only: prompts are in
// quarantine that have all of them. Of parts that are too many, the last ones are taken. It returns "" if the ID of one of
// them can't be combined.
func Combine(ids []string) string {
	if slices.ContainsFunc(ids, IsCombination) {
		return ""
	}
	for len(ids) > 1 && len(strings.Join(ids, combiner)) > MaxIDBytes {
		ids = ids[1:]
	}
	return strings.Join(ids, combiner)
}

// IsCombination reports whether the ID is that of several parts.
func IsCombination(id string) bool { return strings.Contains(id, combiner) }

// Covers reports whether a part, a request or a combination of parts is among the given ones.
func Covers(id string, ids []string) bool {
	for part := range strings.SplitSeq(id, combiner) {
		if !slices.Contains(ids, part) {
			return false
		}
	}
	return true
}
