package fpbalance

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoReplica is returned when no replica of the service may be used.
	ErrNoReplica = errors.New("no replica of the service may be used")
	// ErrLate is returned when no replica would answer in the time that is left.
	ErrLate = errors.New("no replica would answer in the time that is left")
)

const (
	// ShortLateRank is the priority of work that is late already and has a short
	// prompt to compute: it goes behind all work that can still be on time.
	ShortLateRank = 8
	// LateRank is that of late work with a long prompt.
	LateRank = 9
	ranks    = LateRank + 1
)

type (
	// Part is a piece of a prompt that other prompts may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Replica is what a host believes of one replica of a service.
	Replica struct {
		ID      string
		Service string
		Address string
		Zone    string
		Region  string
		Slots   int
		// Version is the version of the weights, 0 for a plain service.
		Version int64
		// Loading replicas take no new work until their weights are in place.
		Loading bool
		// Engine replicas read prompts; others do plain work.
		Engine bool
	}

	// Link says what moving cached tokens between replicas costs.
	Link struct {
		BytesPerToken int
		Megabits      float64
	}

	// CacheStore keeps cached tokens for engines, whatever their version: salts
	// tell versions apart.
	CacheStore struct {
		ID       string
		Address  string
		Zone     string
		Region   string
		Megabits float64
	}

	// Place is where a host stands.
	Place struct {
		Zone   string
		Region string
	}

	// Request is what the choice needs to know of a request.
	Request struct {
		ID     string
		Parts  []Part
		Output int
		// Rank is the priority at the replica, 0 first.
		Rank int
		// LongRank is that priority when a long prompt has to be computed.
		LongRank int
		// Salt returns the namespace of cached parts for a version of the weights.
		Salt func(version int64) string
		// Newest is the newest version named for the model, and NamedFor how long it has been.
		Newest   int64
		NamedFor time.Duration
		// Oldest is the oldest version that may be used.
		Oldest int64
		// Left is the time until the answer's deadline.
		Left time.Duration
		// Objective is the time within which the first token is worth most.
		Objective time.Duration
		// Waited is how long the request has been here.
		Waited time.Duration
		// Stores are where cached parts may be fetched from and saved to.
		Stores []CacheStore
		// Blind says that nothing is heard of the work sent to other regions.
		Blind bool
		// late says that the first token can't come within the objective.
		late bool
		// Exclude lists replicas that were tried already.
		Exclude []string
	}

	// Choice is the replica that a request goes to, with the figures that decided.
	Choice struct {
		Replica Replica
		// Hit is the number of prompt tokens believed cached, Copied those that
		// Source holds and the replica lacks, Miss those to be computed.
		Hit    int
		Copied int
		Miss   int
		Source string
		// Save is the store that is to get the shared parts, nil for none.
		Save *CacheStore
		// Rank is the priority that the replica is told: one of the late ranks when
		// the first token can't come within the objective.
		Rank int
		// Wait is the predicted time to the first byte of the answer.
		Wait  time.Duration
		Score float64
		// queued is the number of tokens that the replica reads before the first
		// one of the answer, base the part of Wait that is not reading.
		queued int
		base   float64
	}
)
