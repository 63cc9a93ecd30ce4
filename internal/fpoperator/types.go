package fpoperator

import (
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// Accepted is the result of a patch that is stored.
	Accepted = "Accepted"
	// Refused is the result of a patch that is in force nowhere.
	Refused = "Refused"
	// OutcomeUnknown is the result of a patch that may have been accepted.
	OutcomeUnknown = "Unknown"
)

var (
	// ErrHost means that the host gave no usable answer.
	ErrHost = errors.New("the host gave no usable answer")
	// ErrKey means that the host did not take the operator's key.
	ErrKey = errors.New("the host did not take the operator's key")
)

type (
	// Status describes a host.
	Status struct {
		Host                  string
		AvailabilityZone      string
		Incarnation           uint64
		ConfigVersion         uint64
		Ready                 bool
		Draining              bool
		Running               int64
		PlatformCalls         int64
		DatagramBytesSent     int64
		DatagramBytesReceived int64
		Members               []Member
		Upstreams             []Upstream
		Notes                 []string
	}

	// Member is another host as the asked one sees it.
	Member struct {
		Name             string
		AvailabilityZone string
		Address          string
		State            string
		ConfigVersion    uint64
		Leaving          bool
	}

	// Upstream is an upstream as the asked host sees it.
	Upstream struct {
		Name             string
		Kind             string
		AvailabilityZone string
		Reachable        bool
		Leaving          bool
		Loading          bool
		Weights          string
		QueuedTokens     int
		Running          int
	}

	// HostVersion is the version that a host has in force.
	HostVersion struct {
		Host             string
		AvailabilityZone string
		Reachable        bool
		Version          uint64
	}

	// PatchResult tells what became of a patch.
	PatchResult struct {
		Result  string
		ID      string
		Version uint64 `json:",omitempty"`
		Current uint64
		Reason  string        `json:",omitempty"`
		Hosts   []HostVersion `json:",omitempty"`
	}

	// ConfigAnswer is the configuration with its latest patches.
	ConfigAnswer struct {
		Current fpconfig.Versioned
		Recent  []fpconfig.Patch
	}

	// Explanation is what the fleet recorded of a request.
	Explanation struct {
		RequestID string
		Records   []fprecord.Record
		Missing   []string
	}
)
