package fpupstream

import (
	"github.com/cockroachdb/errors"
)

var (
	// ErrNotRun means that the upstream refused the attempt before running it,
	// or that no connection to it could be made.
	ErrNotRun = errors.New("the upstream did not run the attempt")
	// ErrNoConnection means that no connection to the upstream could be opened, besides ErrNotRun.
	ErrNoConnection = errors.New("no connection to the upstream")
	// ErrInterrupted means that the response was truncated or its connection failed.
	ErrInterrupted = errors.New("the answer was cut")
	// ErrSilent means that nothing was received for longer than the silence timeout.
	ErrSilent = errors.New("the connection has gone silent")
	// ErrMismatched means that the response carries the ID of another attempt.
	ErrMismatched = errors.New("the answer belongs to another attempt")
	// ErrAttemptUnknown means that the upstream has no record of the attempt.
	ErrAttemptUnknown = errors.New("the upstream does not know the attempt")
	// ErrRefused means that an upstream refused an order.
	ErrRefused = errors.New("the upstream refused the order")
)

type (
	// LoadReport is an upstream's load report; queued work is counted in tokens. QueuedNow
	// is the part whose deadline has passed, QueuedSoon the part whose deadline has
	// passed or is at most 3 s away. SoftwareVersion is the one that answers tell.
	LoadReport struct {
		Name                   string
		Incarnation            uint64
		Model                  string `json:",omitempty"`
		Weights                string `json:",omitempty"`
		SoftwareVersion        string `json:",omitempty"`
		Loading                bool   `json:",omitempty"`
		Leaving                bool   `json:",omitempty"`
		QueuedTokens           int
		QueuedSoon             int `json:",omitempty"`
		QueuedNow              int `json:",omitempty"`
		Waiting                int
		Running                int
		PrefillTokensPerSecond float64 `json:",omitempty"`
	}

	// Order tells an engine which weights to serve; Deadline is in Unix milliseconds.
	Order struct {
		Fencing       int64
		Weights       string
		ConfigVersion uint64
		Deadline      int64
	}

	// CacheEvent reports one change of an engine's prefix cache.
	CacheEvent struct {
		Sequence int64
		Stored   bool
		Key      uint64
	}

	// CacheEvents holds the events that follow a sequence number within one incarnation.
	CacheEvents struct {
		Incarnation uint64
		Events      []CacheEvent
	}

	// ListedHost is an entry of the platform's host list.
	ListedHost struct {
		Name    string
		Address string
		Zone    string
		Leaving bool
	}
)
