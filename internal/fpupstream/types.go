package fpupstream

import (
	"github.com/cockroachdb/errors"
)

var (
	// ErrNotRun means that the upstream refused the attempt before running it,
	// or that no connection to it could be made.
	ErrNotRun = errors.New("the upstream did not run the attempt")
	// ErrCut means that the answer ended early or its connection broke.
	ErrCut = errors.New("the answer was cut")
	// ErrSilent means that nothing came for longer than the silence bound.
	ErrSilent = errors.New("the connection has gone silent")
	// ErrCrossed means that the answer belongs to another attempt.
	ErrCrossed = errors.New("the answer belongs to another attempt")
	// ErrGone means that the upstream knows nothing of the attempt.
	ErrGone = errors.New("the upstream does not know the attempt")
	// ErrRefused means that an upstream refused an order.
	ErrRefused = errors.New("the upstream refused the order")
)

type (
	// Load is an upstream's load report; work is in tokens. QueuedNow and
	// QueuedSoon count what has a deadline in the past or within 3 s.
	Load struct {
		Name                   string
		Incarnation            uint64
		Model                  string `json:",omitempty"`
		Weights                string `json:",omitempty"`
		Loading                bool   `json:",omitempty"`
		Leaving                bool   `json:",omitempty"`
		QueuedTokens           int
		QueuedSoon             int `json:",omitempty"`
		QueuedNow              int `json:",omitempty"`
		Waiting                int
		Running                int
		PrefillTokensPerSecond float64 `json:",omitempty"`
	}

	// Order says what an engine should serve; Deadline is in Unix milliseconds.
	Order struct {
		Fencing       int64
		Weights       string
		ConfigVersion uint64
		Deadline      int64
	}

	// CacheEvent is one change of an engine's cache.
	CacheEvent struct {
		Sequence int64
		Stored   bool
		Key      uint64
	}

	// CacheEvents are the events after a sequence number of one incarnation.
	CacheEvents struct {
		Incarnation uint64
		Events      []CacheEvent
	}

	// ListedHost is a host as the platform's list shows it.
	ListedHost struct {
		Name    string
		Address string
		Zone    string
		Leaving bool
	}
)
