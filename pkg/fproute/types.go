package fproute

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// Interactive is work that somebody waits for.
	Interactive Class = iota
	// Standard is work without a special wish.
	Standard
	// Bulk is work that must return, even slowly.
	Bulk
	// Classes is the number of classes.
	Classes = 3

	// MaxRanked is the number of candidates that a decision keeps.
	MaxRanked = 4

	interactiveSlack = 0 * time.Second
	standardSlack    = 3 * time.Second
	bulkSlack        = 20 * time.Second
)

var (
	// ErrNoReplica is returned when no replica serves the model at the wanted weights.
	ErrNoReplica = errors.New("no replica serves the model")
	// ErrOverload is returned when the predicted wait exceeds the class's bound.
	ErrOverload = errors.New("the predicted wait is too long")
	// ErrClass is returned for a class that does not exist.
	ErrClass = errors.New("class must be interactive, standard or bulk")
)

type (
	// Class orders requests when replicas are short.
	Class int

	// Replica is what a host believes about one replica; durations are in seconds, work in tokens.
	Replica struct {
		Name        string
		Address     string
		Incarnation uint64
		Zone        string
		Model       string
		Weights     string
		Leaving     bool
		Down        bool
		PrefillRate float64
		RoundTrip   float64
		// Queued is the reported work in tokens that goes before new work of each class.
		Queued        [Classes]float64
		ReportedAt    time.Time
		RunningOutput int
		// Hash is HashName of the name; it is computed at each use when zero.
		Hash uint64
	}

	// View is an immutable picture of the replicas that a host may use; Replicas are sorted by name.
	View struct {
		Zone      string
		Hosts     int
		Replicas  []Replica
		StoreRate float64
	}

	// Request is what placement needs to know of a request.
	Request struct {
		ID      string
		Team    string
		Class   Class
		Model   string
		Weights string
		Prompt  fpprefix.Prompt
		Avoid   []string
	}

	// Candidate is a replica with the figures that ranked it; times are in seconds.
	Candidate struct {
		Index       int
		Replica     string
		Address     string
		Incarnation uint64
		Queue       float64
		HitTokens   float64
		MissTokens  float64
		PrefillRate float64
		Import      bool
		RoundTrip   float64
		Remote      bool
		Home        bool
		Score       float64
	}

	// Decision is a ranked plan, best first, with the reason for the first.
	Decision struct {
		Ranked   []Candidate
		Eligible int
		Width    int
		Reason   string
	}

	// Settings tunes placement; the zero value takes the defaults.
	Settings struct {
		// RecomputeWeight is what a recomputed second costs others, beyond the request's own wait.
		RecomputeWeight [Classes]float64
		// HomePrior is the share of a level believed cached at its home replica without evidence.
		HomePrior float64
		// TargetUtilization is the load in prefill seconds a second at which a prefix gets another replica.
		TargetUtilization float64
		// SpillSeconds is the gain that pays for leaving the availability zone.
		SpillSeconds float64
		// WaitBounds are the predicted waits in seconds beyond which a class is refused.
		WaitBounds [Classes]float64
		// KnowledgeKeys bounds the number of remembered prefixes.
		KnowledgeKeys int
	}
)

// HashName returns the hash by which a replica takes part in rendezvous.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// ParseClass returns the class of that name; the empty name is Standard.
func ParseClass(name string) (Class, error) {
	switch name {
	case "interactive":
		return Interactive, nil
	case "", "standard":
		return Standard, nil
	case "bulk":
		return Bulk, nil
	default:
		return Standard, ErrClass
	}
}

// String returns the class's name as callers write it.
func (c Class) String() string {
	return [...]string{"interactive", "standard", "bulk"}[c]
}

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.RecomputeWeight == [Classes]float64{} {
		s.RecomputeWeight = [Classes]float64{1, 2, 2}
	}
	s.HomePrior = orDefault(s.HomePrior, 0.3)
	s.TargetUtilization = orDefault(s.TargetUtilization, 1)
	s.SpillSeconds = orDefault(s.SpillSeconds, 1.5)
	if s.KnowledgeKeys == 0 {
		s.KnowledgeKeys = 200_000
	}
	if s.WaitBounds == [Classes]float64{} {
		s.WaitBounds = [Classes]float64{20, 15, 10}
	}
	return s
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}

// Slack returns how much later than interactive work the class may begin.
func (c Class) Slack() time.Duration {
	return [...]time.Duration{interactiveSlack, standardSlack, bulkSlack}[c]
}
