package fpbalance

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoReplica is returned when every replica of the service is excluded, loading, leaving, too
	// old or failing.
	ErrNoReplica = errors.New("no replica of the service may be used")
	// ErrLimited is returned when the limits that the replicas name leave no room for the request soon;
	// the choice's predicted wait is the time until they do.
	ErrLimited = errors.New("the limits of all replicas are used up")
	// ErrPaused is returned when the replicas of the service want no requests for a time; the choice's
	// predicted wait is the time until the first takes some again.
	ErrPaused = errors.New("all replicas pause requests")
	// ErrDeadlineInfeasible is returned when the chosen replica would answer after the deadline.
	ErrDeadlineInfeasible = errors.New("no replica would answer in the time that is left")
)

const (
	// ShortLateRank is the rank of requests that miss their objective and have a short prompt to
	// compute. It goes behind all requests that can still meet theirs.
	ShortLateRank = 8
	// LateRank is the rank of requests that miss their objective and have a long prompt to compute.
	LateRank  = 9
	rankCount = LateRank + 1
)

type (
	// Part is a segment of a prompt, which other prompts may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Replica describes one replica of a service as this host knows it.
	Replica struct {
		ID      string
		Service string
		Address string
		Zone    string
		Region  string
		Slots   int
		// Build is the version of the software, "" if unknown.
		Build string
		// StartUnixMilli is the time of the replica's start in Unix milliseconds, 0 if unknown.
		StartUnixMilli int64
		// Version is the version of the weights, 0 for a service without a model.
		Version int64
		// Loading replicas take no new requests until their weights are loaded.
		Loading bool
		// Engine replicas run a model on prompts; others serve plain requests.
		Engine bool
	}

	// Link describes transfers of cached tokens between replicas: the size of a token and the rate.
	Link struct {
		BytesPerToken     int
		MegabitsPerSecond float64
	}

	// CacheStore is a store of cached tokens for engines of all versions of the weights; the salts
	// of the parts keep versions apart.
	CacheStore struct {
		ID                string
		Address           string
		Zone              string
		Region            string
		MegabitsPerSecond float64
	}

	// Location is the availability zone and region of a host.
	Location struct {
		Zone   string
		Region string
	}

	// Request holds the properties of a request that the choice of a replica depends on.
	Request struct {
		ID           string
		Parts        []Part
		OutputTokens int
		// Rank is the priority at the replica; 0 goes first.
		Rank int
		// LongRank is the priority at the replica when a long prompt has to be computed there.
		LongRank int
		// Salt returns the cache namespace of the parts for a version of the weights.
		Salt func(version int64) string
		// NewestVersion is the newest version of the weights that is configured for the model.
		NewestVersion int64
		// NewestVersionAge is the time since the newest version was configured.
		NewestVersionAge time.Duration
		// TimeToBegin returns the time in which a request may still begin on a version of the weights;
		// nil means without limit.
		TimeToBegin func(version int64) time.Duration
		// TimeToDeadline is the time left until the deadline of the answer.
		TimeToDeadline time.Duration
		// Objective is the target time to the first token; zero means none.
		Objective time.Duration
		// Elapsed is the time since the request arrived at this host.
		Elapsed time.Duration
		// CacheStores are the cache stores that parts may be copied from and saved to.
		CacheStores []CacheStore
		// RemoteLoadUnknown says that the load in other regions is unknown, because hosts don't report
		// to each other what they send there.
		RemoteLoadUnknown bool
		// missesObjective says that the first token is predicted to come after the objective.
		missesObjective bool
		// ExcludedReplicas lists the replicas that were tried already.
		ExcludedReplicas []string
	}

	// Choice is the replica chosen for a request, with the predictions behind the choice.
	Choice struct {
		Replica Replica
		// HitTokens is the number of prompt tokens believed to be cached at the replica.
		HitTokens int
		// CopiedTokens is the number of prompt tokens to be copied to the replica.
		CopiedTokens int
		// MissTokens is the number of prompt tokens to be computed.
		MissTokens int
		// SourceAddress is the address to copy tokens from, empty for none.
		SourceAddress string
		// StoreToFill is the store that the replica should save the shared parts to, nil for none.
		StoreToFill *CacheStore
		// Rank is the priority sent to the replica. It is one of the late ranks when the first token
		// is predicted to come after the objective.
		Rank int
		// LimitWait is the time to wait before the request is sent, for the replica's limit.
		LimitWait time.Duration
		// PredictedWait is the predicted time to the first byte of the answer, LimitWait included.
		PredictedWait time.Duration
		// Score is the predicted wait plus the costs of the choice, in seconds; the lowest wins.
		Score float64
		// TokensPerSecond is the estimate of the engine's rate, DrainTokensPerSecond that of the rate
		// at which the replica's known queue becomes shorter, FixedSeconds that of the fixed time to the
		// first token, and RoundTripSeconds that of the network round trip.
		TokensPerSecond      float64
		DrainTokensPerSecond float64
		FixedSeconds         float64
		RoundTripSeconds     float64
		// queuedTokens is the number of prompt tokens that the replica computes before the first
		// token of the answer, and nonPrefillSeconds the rest of the predicted wait.
		queuedTokens      int
		nonPrefillSeconds float64
		// queuedRequests is the number of plain requests that the replica ends before it begins this
		// one.
		queuedRequests float64
	}
)
