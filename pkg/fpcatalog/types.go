package fpcatalog

import "time"

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once marks requests that run at most once.
	Once
	// Stream marks requests answered by a series of events; they run at most
	// once unless their route is resumable.
	Stream
)

type (
	// Kind says what may be repeated.
	Kind int

	// Target is a service that a route sends a share of its requests to.
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
		// Timeout is the longest time that a request may be kept waiting.
		Timeout time.Duration
		// Objective is the time within which an answer is worth most.
		Objective time.Duration
		// Pause is the longest pause between two events of a stream that is on time.
		Pause time.Duration
		// Attempts bounds the upstreams that one request may run on.
		Attempts int
		// Priority is the route's rank, 0 first.
		Priority  int
		Public    bool
		Resumable bool
		// Prompted routes carry requests for a model, with a prompt.
		Prompted bool
		Targets  []Target
	}

	// Engine describes the model replicas of a service.
	Engine struct {
		Slots         int
		MemoryTokens  int
		BytesPerToken int
		LinkMegabits  float64
		EventReaders  int
		Models        []string
	}

	// CacheStore describes a service that keeps KV cache for engines.
	CacheStore struct {
		Address      string
		Zone         string
		MemoryTokens int
		LinkMegabits float64
		EventReaders int
	}

	// Service is a group of like upstreams; Engine and Cache are nil for plain ones.
	Service struct {
		Name        string
		HealthPath  string
		Connections int
		Engine      *Engine
		Cache       *CacheStore
	}

	// Team is a customer with the keys that name it.
	Team struct {
		Name string
		Keys []string
		// Priority goes before the route's; nil leaves the route's.
		Priority *int
		// Dedicated teams share no cached prefix with others.
		Dedicated bool
	}

	// Limits bound what a caller may send and how long it may take.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
		HeaderTime  time.Duration
		IdleTime    time.Duration
	}

	// Document is the content of a catalog.
	Document struct {
		Version  uint64
		Routes   []Route
		Services []Service
		Teams    []Team
		Limits   Limits
	}

	// Catalog is a document with its indices; it is never changed.
	Catalog struct {
		document Document
		hosts    map[string][]*Route
		keys     map[string]*Team
		services map[string]*Service
	}
)
