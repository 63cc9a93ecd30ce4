package fpnotice

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxDatagramBytes bounds a datagram to less than the smallest common packet size.
	maxDatagramBytes = 1400
)

type (
	// PromptPart is a part of a prompt.
	PromptPart struct {
		ID     string
		Tokens int
	}

	// Dispatch reports that a request was dispatched to a replica, or the first byte of its answer.
	Dispatch struct {
		ID      string
		Replica string
		// Tokens is the number of tokens to compute; they no longer wait once Begun is set.
		Tokens int
		Begun  bool         `json:",omitempty"`
		Rank   int          `json:",omitempty"`
		Salt   string       `json:",omitempty"`
		Parts  []PromptPart `json:",omitempty"`
	}

	// WeightsChange reports the version of a replica's weights, or that the replica is loading
	// them, for at most LoadingMs more milliseconds.
	WeightsChange struct {
		Replica   string
		Version   int64
		LoadingMs int `json:",omitempty"`
	}

	// ReplicaReplaced reports that another replica now answers at a replica's address.
	ReplicaReplaced struct {
		Replica string
	}

	// CachedPart reports how many tokens of a prompt part a replica has cached now.
	CachedPart struct {
		Salt   string
		ID     string
		Tokens int
	}

	// CacheChange reports changes in a replica's cache; Epoch changes when the replica restarts.
	CacheChange struct {
		Replica string
		Epoch   int64
		Parts   []CachedPart
		// Relay asks the receiver to forward the notice to the hosts near it.
		Relay bool `json:",omitempty"`
	}

	// CrashedPart is a shared part of a prompt that a replica was answering as it crashed, or a request
	// as a whole.
	CrashedPart struct {
		ID      string
		Depth   int  `json:",omitempty"`
		Request bool `json:",omitempty"`
		// SentAgeMs is how long ago the last request with the part was sent to the replica, and Trial says
		// that it was on trial there.
		SentAgeMs int64 `json:",omitempty"`
		Trial     bool  `json:",omitempty"`
	}

	// ReplicaCrash reports the requests that a replica was answering as it crashed, and the shared parts of
	// their prompts.
	ReplicaCrash struct {
		Replica string
		AgeMs   int64
		Parts   []CrashedPart
	}

	// PartsAnswered reports that prompts with these parts were answered completely, and how long ago each was
	// sent to its replica.
	PartsAnswered struct {
		IDs        []string
		SentAgesMs []int64
	}

	// PartsSurvived reports that replicas have lived on with prompts with these parts: how long ago each was sent to its
	// replica, and for how long the replica has been seen to live on since. Begun says that none of them waited there.
	PartsSurvived struct {
		Begun      bool `json:",omitempty"`
		IDs        []string
		SentAgesMs []int64
		LivedMs    []int64
	}

	// PartsOnTrial reports that a request with these suspected parts is sent to a replica.
	PartsOnTrial struct {
		IDs     []string
		Replica string
	}

	// PartQuarantined reports that a part of prompts crashes replicas.
	PartQuarantined struct {
		ID string
	}

	// ReplicaLimit reports the limit that a replica names, in requests a second of all hosts together,
	// or that it names none.
	ReplicaLimit struct {
		Replica string
		Named   bool    `json:",omitempty"`
		Rate    float64 `json:",omitempty"`
	}

	// StreamOrigins reports the software version of a service that began streams, by the IDs of the
	// requests that brought their first events. Build is "?" if it is Inferred or unknown. Relayed says that
	// the notice came from another zone.
	StreamOrigins struct {
		Service  string
		Build    string
		IDs      []string
		Inferred *InferredBuild `json:",omitempty"`
		Relayed  bool           `json:",omitempty"`
	}

	// InferredBuild is the software version with which a start of a replica, in Unix milliseconds, is registered. It
	// began the streams if that start is seen to answer at a time that is less than AgeMs milliseconds ago.
	InferredBuild struct {
		Build          string
		Replica        string
		StartUnixMilli int64
		AgeMs          int64
	}

	// ReplicaLeaving reports that a replica that started at a time, in Unix milliseconds, takes no new
	// requests.
	ReplicaLeaving struct {
		Replica        string
		StartUnixMilli int64
	}

	// Notice is the content of one datagram; Host is its sender. RelayInZone asks the receiver to
	// forward the notice to the other hosts of its availability zone.
	Notice struct {
		Host        string
		RelayInZone bool `json:",omitempty"`

		Work    *Dispatch        `json:",omitempty"`
		Weights *WeightsChange   `json:",omitempty"`
		Gone    *ReplicaReplaced `json:",omitempty"`
		Cache   *CacheChange     `json:",omitempty"`

		Crash       *ReplicaCrash    `json:",omitempty"`
		Answered    *PartsAnswered   `json:",omitempty"`
		Survived    *PartsSurvived   `json:",omitempty"`
		Quarantined *PartQuarantined `json:",omitempty"`
		Trial       *PartsOnTrial    `json:",omitempty"`
		Limit       *ReplicaLimit    `json:",omitempty"`

		Origins *StreamOrigins  `json:",omitempty"`
		Leaving *ReplicaLeaving `json:",omitempty"`
	}

	// Socket sends and receives notices over UDP.
	Socket struct {
		conn     *net.UDPConn
		received atomic.Int64
		invalid  atomic.Int64
	}
)

// Listen returns a socket bound to an IP address and port.
func Listen(address string) (*Socket, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve the address for notices")
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "listen for notices")
	}
	return &Socket{conn: c}, nil
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Counts returns the numbers of notices received and of failed reads and invalid datagrams.
func (s *Socket) Counts() (received, invalid int64) { return s.received.Load(), s.invalid.Load() }

// Send sends a notice to each address. It tries all of them and returns the first error.
func (s *Socket) Send(addresses []*net.UDPAddr, n Notice) error {
	data, err := json.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "encode a notice")
	}
	if len(data) > maxDatagramBytes {
		return errors.Newf("a notice of %d bytes is too long for a datagram", len(data))
	}
	var firstErr error
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDP(data, a); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "send a notice")
		}
	}
	return firstErr
}

// Receive calls handle for each notice until the context ends or the socket is closed.
func (s *Socket) Receive(ctx context.Context, handle func(Notice)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.invalid.Add(1)
			continue
		}
		var n Notice
		if err := json.Unmarshal(buffer[:size], &n); err != nil {
			s.invalid.Add(1)
			continue
		}
		s.received.Add(1)
		handle(n)
	}
}
