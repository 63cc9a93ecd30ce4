package fpoperator

import (
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// Accepted is the result of a patch that the store holds.
	Accepted = "Accepted"
	// Refused is the result of a patch that is in force nowhere.
	Refused = "Refused"
	// OutcomeUnknown is the result of a patch that may have been accepted.
	OutcomeUnknown = "Unknown"
)

var (
	// ErrNoUsableAnswer means that the host gave no usable answer.
	ErrNoUsableAnswer = errors.New("the host gave no usable answer")
	// ErrKeyRejected means that the host rejected the operator's key.
	ErrKeyRejected = errors.New("the host did not take the operator's key")
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

	// Member is another host as seen by the host that was asked.
	Member struct {
		Name             string
		AvailabilityZone string
		Address          string
		State            string
		ConfigVersion    uint64
		Leaving          bool
	}

	// Upstream is an upstream as seen by the host that was asked.
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

	// HostVersion is the configuration version that a host has in force.
	HostVersion struct {
		Host             string
		AvailabilityZone string
		Reachable        bool
		Version          uint64
	}

	// PatchResult is the result of a patch. Version is the version that it led to, Current the version
	// in force at the asked host, and Hosts the version of each host if the request waited for them.
	PatchResult struct {
		Result  string
		ID      string
		Version uint64 `json:",omitempty"`
		Current uint64
		Reason  string        `json:",omitempty"`
		Hosts   []HostVersion `json:",omitempty"`
	}

	// ConfigAnswer is the configuration in force with its latest patches.
	ConfigAnswer struct {
		Current fpconfig.Versioned
		Recent  []fpconfig.Patch
	}

	// Explanation holds the fleet's decision records of a request, and the hosts that did not answer.
	Explanation struct {
		RequestID string
		Records   []fprecord.Record
		Missing   []string
	}
)
