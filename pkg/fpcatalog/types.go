package fpcatalog

import "time"

const (
	// Idempotent marks requests that may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce marks requests that run at most once.
	AtMostOnce
	// Stream marks requests answered by a stream of events; they run at most
	// once unless their route is resumable.
	Stream
)

type (
	// Kind classifies a route's requests by whether they may be repeated.
	Kind int

	// Target is a service that receives a share of a route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Route decides where requests of a host and path prefix go.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   Kind
		// Timeout is the longest time that a request may wait for its answer.
		Timeout time.Duration
		// Objective is the target latency of an answer.
		Objective time.Duration
		// MaxEventGap is the target for the longest gap between two events of a stream.
		MaxEventGap time.Duration
		// MaxAttempts is the maximum number of upstreams that one request may run on.
		MaxAttempts int
		// Priority orders the requests of one team; 0 goes first.
		Priority int
		// Public routes need no API key.
		Public bool
		// Resumable streams may run again after a failure, like idempotent requests.
		Resumable bool
		// HasPrompt routes carry requests that name a model and a prompt.
		HasPrompt bool
		Targets   []Target
	}

	// Engine describes the replicas of a service that run models.
	Engine struct {
		Slots                 int
		CacheCapacityTokens   int
		BytesPerToken         int
		LinkMegabitsPerSecond float64
		MaxEventReaders       int
		Models                []string
	}

	// CacheStore describes a service that stores KV cache entries for engines.
	CacheStore struct {
		Address               string
		Zone                  string
		CapacityTokens        int
		LinkMegabitsPerSecond float64
		MaxEventReaders       int
	}

	// Service is a group of interchangeable upstreams; Engine and Cache are nil for a plain service.
	Service struct {
		Name           string
		HealthPath     string
		MaxConnections int
		Engine         *Engine
		Cache          *CacheStore
	}

	// Team is a customer, identified by its API keys.
	Team struct {
		Name string
		Keys []string
		// Priority takes precedence over the route's; nil counts as 0, the first.
		Priority *int
		// Dedicated teams share no cached prompt prefixes with other teams.
		Dedicated bool
	}

	// Limits bound the size of a caller's request and the time that it may take.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}

	// Document is the content of a catalog.
	Document struct {
		Version  uint64
		Routes   []Route
		Services []Service
		Teams    []Team
		Limits   Limits
	}

	// Catalog is a document with its indices; it is immutable.
	Catalog struct {
		document       Document
		routesByHost   map[string][]*Route
		teamsByKey     map[string]*Team
		servicesByName map[string]*Service
		// sharedNamespace is the cache namespace of all teams that are not dedicated.
		sharedNamespace string
	}
)
