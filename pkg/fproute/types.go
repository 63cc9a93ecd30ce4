package fproute

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// Interactive is the class of requests that a user waits for.
	Interactive Class = iota
	// Standard is the default class.
	Standard
	// Bulk is the class of requests that must complete but may be slow.
	Bulk
	// Classes is the number of classes.
	Classes = 3

	// MaxRanked is the largest number of candidates that a decision keeps.
	MaxRanked = 4

	interactiveSlack = 0 * time.Second
	standardSlack    = 3 * time.Second
	bulkSlack        = 20 * time.Second
)

var (
	// ErrNoReplica is returned when no eligible replica serves the model at the requested weights
	// version.
	ErrNoReplica = errors.New("no replica serves the model")
	// ErrOverload is returned when the predicted wait exceeds the class's bound.
	ErrOverload = errors.New("the predicted wait is too long")
	// ErrUnknownClass is returned for a class that does not exist.
	ErrUnknownClass = errors.New("class must be interactive, standard or bulk")
)

type (
	// Class is the priority by which requests are ordered under load; lower values go first.
	Class int

	// Replica is the last state of a replica that a host knows; durations are in seconds, work in
	// tokens.
	Replica struct {
		Name        string
		Address     string
		Incarnation uint64
		Zone        string
		Model       string
		Weights     string
		// SoftwareVersion is "" for a replica that tells none.
		SoftwareVersion string
		// Leaving is set for a replica that takes no new work: it is leaving or loads weights.
		Leaving bool
		// Down is set for a replica that can't be reached.
		Down bool
		// PrefillRate is in tokens a second.
		PrefillRate      float64
		RoundTripSeconds float64
		// QueuedTokens is the reported work in tokens that is served before new work of each class.
		QueuedTokens  [Classes]float64
		ReportedAt    time.Time
		RunningOutput int
		// Hash caches HashName of the name; when zero it is computed at each use.
		Hash uint64
	}

	// View is an immutable snapshot of the replicas that a host may use; Replicas are sorted by name.
	View struct {
		Zone string
		// Hosts is the number of live hosts in the zone, this one included.
		Hosts     int
		Replicas  []Replica
		StoreRate float64
	}

	// Request holds the properties of a request that placement depends on.
	Request struct {
		ID      string
		Team    string
		Class   Class
		Model   string
		Weights string
		Prompt  fpprefix.Prompt
		// Continued is set when a part of the answer was delivered; only replicas of SoftwareVersion,
		// the one that generated it, may generate the rest.
		Continued       bool
		SoftwareVersion string
		// ExcludedReplicas names the replicas that must not be chosen.
		ExcludedReplicas []string
	}

	// Candidate is a replica with its predicted costs; times are in seconds.
	Candidate struct {
		Index            int
		Replica          string
		Address          string
		Incarnation      uint64
		SoftwareVersion  string
		QueueSeconds     float64
		HitTokens        float64
		MissTokens       float64
		PrefillRate      float64
		Import           bool
		RoundTripSeconds float64
		// Remote is set for a replica outside the host's availability zone.
		Remote bool
		// IsOwner is set for a rendezvous hash owner of the prompt's longest owner level.
		IsOwner bool
		// Score is the predicted cost in seconds; the lowest is chosen.
		Score float64
	}

	// Decision lists candidates, best first, with the reason for the first.
	Decision struct {
		Ranked []Candidate
		// EligibleCount is the number of replicas that may serve the request.
		EligibleCount int
		// OwnerCount is the number of owners of the prompt's longest owner level.
		OwnerCount int
		Reason     string
	}

	// Settings configures placement; zero fields take the defaults.
	Settings struct {
		// RecomputeWeight is the cost to other requests of a second of prefill, added to the
		// request's own wait for it.
		RecomputeWeight [Classes]float64
		// HomePrior is the share of a level assumed to be cached at its owners as long as no
		// placement, cache event or answer shows that more is.
		HomePrior float64
		// TargetUtilization is the load in prefill seconds a second for which a prefix gets one
		// more owner.
		TargetUtilization float64
		// SpillSeconds is the cost added to replicas outside the availability zone, which are
		// considered only when the best replica inside has a longer queue.
		SpillSeconds float64
		// WaitBounds are the predicted waits in seconds beyond which requests of a class are refused.
		WaitBounds [Classes]float64
		// MaxPrefixes bounds the number of prefixes in each generation of the cache index and
		// of the demand averages.
		MaxPrefixes int
	}
)

// HashName returns a replica's input to rendezvous hashing.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// ParseClass returns the class with the given name; the empty name is Standard.
func ParseClass(name string) (Class, error) {
	switch name {
	case "interactive":
		return Interactive, nil
	case "", "standard":
		return Standard, nil
	case "bulk":
		return Bulk, nil
	default:
		return Standard, ErrUnknownClass
	}
}

// String returns the class's name as used in requests.
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
	if s.MaxPrefixes == 0 {
		s.MaxPrefixes = 200_000
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

// Slack returns how much later than interactive work the class may start.
func (c Class) Slack() time.Duration {
	return [...]time.Duration{interactiveSlack, standardSlack, bulkSlack}[c]
}
