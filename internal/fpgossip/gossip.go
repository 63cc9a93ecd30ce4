package fpgossip

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuepoint/fescuepoint/internal/fppeer/fppeerv1"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// TagBytes is the length of a datagram's authentication tag.
	TagBytes = 8
	// MaxDatagramBytes bounds a datagram.
	MaxDatagramBytes = 1400
	// IPOverheadBytes is the size of the IP and UDP headers of a datagram.
	IPOverheadBytes = 28
)

// ErrInvalidDatagram is returned for a datagram that is malformed or fails authentication.
var ErrInvalidDatagram = errors.New("datagram is malformed or fails authentication")

type (
	// Message is a heartbeat with the state that is piggybacked on it.
	Message struct {
		fpmember.Heartbeat
		LeavingUpstreams []string
		Demands          []Demand
		Shares           []Demand
		Placements       []Placement
		QuarantinedParts []fpquarantine.Entry
	}

	// Placement is a recent placement that a host sends to the other hosts of its zone. It identifies
	// the replica by the hash of its name and the low bits of its incarnation.
	Placement struct {
		fproute.Placement
		ReplicaHash     uint32
		IncarnationBits uint32
	}

	// Demand is a team's use of its limits at one host, or the host's share of them, per second.
	Demand struct {
		Team     string
		Requests float64
		Tokens   float64
	}

	// Socket sends and receives messages and counts their bytes, headers included.
	Socket struct {
		conn          *net.UDPConn
		secret        []byte
		sentBytes     atomic.Int64
		receivedBytes atomic.Int64
	}
)

// Listen returns a socket bound to an IP address and port.
func Listen(address string, secret []byte) (*Socket, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse datagram address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "open datagram socket")
	}
	return &Socket{conn: conn, secret: secret}, nil
}

// Close closes the socket; Receive then returns.
func (s *Socket) Close() error { return s.conn.Close() }

// ByteCounts returns the bytes sent and received so far.
func (s *Socket) ByteCounts() (sent, received int64) {
	return s.sentBytes.Load(), s.receivedBytes.Load()
}

// Send sends a message to an address; a lost datagram is not an error.
func (s *Socket) Send(to string, m Message) error {
	a, err := netip.ParseAddrPort(to)
	if err != nil {
		return errors.Wrap(err, "parse datagram address")
	}
	data := Encode(m, s.secret)
	s.sentBytes.Add(int64(len(data) + IPOverheadBytes))
	_, err = s.conn.WriteToUDPAddrPort(data, a)
	return errors.Wrap(err, "send datagram")
}

// Receive calls handle with every authentic message until the socket is closed. A read error
// after ctx is done is not reported.
func (s *Socket) Receive(ctx context.Context, handle func(Message)) error {
	buf := make([]byte, MaxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "receive datagram")
		}
		s.receivedBytes.Add(int64(n + IPOverheadBytes))
		if m, err := Decode(buf[:n], s.secret); err == nil {
			handle(m)
		}
	}
}

// Encode returns a message's datagram.
func Encode(m Message, secret []byte) []byte {
	data, err := proto.Marshal(toWire(m))
	if err != nil {
		panic(errors.Wrap(err, "fpgossip: message cannot be encoded"))
	}
	return append(authTag(data, secret), data...)
}

// Decode returns the message of a datagram, or ErrInvalidDatagram.
func Decode(data, secret []byte) (Message, error) {
	if len(data) < TagBytes || !hmac.Equal(data[:TagBytes], authTag(data[TagBytes:], secret)) {
		return Message{}, ErrInvalidDatagram
	}
	var w fppeerv1.Heartbeat
	if err := proto.Unmarshal(data[TagBytes:], &w); err != nil {
		return Message{}, errors.Mark(err, ErrInvalidDatagram)
	}
	return fromWire(&w), nil
}

func authTag(data, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(data)
	return h.Sum(nil)[:TagBytes]
}

func toWire(m Message) *fppeerv1.Heartbeat {
	w := &fppeerv1.Heartbeat{
		Host:             m.Name,
		Incarnation:      m.Incarnation,
		Zone:             m.Zone,
		Sequence:         m.Sequence,
		ConfigVersion:    m.ConfigVersion,
		ConfigChecksum:   m.Checksum,
		Leaving:          m.Leaving,
		PeerAddress:      m.Address,
		LeavingUpstreams: m.LeavingUpstreams,
	}
	for _, s := range m.Suspicions {
		w.Suspicions = append(w.Suspicions, &fppeerv1.Suspicion{Host: s.Host, Incarnation: s.Incarnation, Sequence: s.Sequence})
	}
	for _, d := range m.Demands {
		w.Demands = append(w.Demands, &fppeerv1.Demand{Team: d.Team, Requests: float32(d.Requests), Tokens: float32(d.Tokens)})
	}
	for _, d := range m.Shares {
		w.Shares = append(w.Shares, &fppeerv1.Share{Team: d.Team, Requests: float32(d.Requests), Tokens: float32(d.Tokens)})
	}
	for _, e := range m.QuarantinedParts {
		w.QuarantinedParts = append(w.QuarantinedParts, &fppeerv1.QuarantinedPart{Id: e.ID, AgeMilliseconds: uint32(e.Age / time.Millisecond)})
	}
	for _, p := range m.Placements {
		w.Placements = append(w.Placements, placementToWire(p))
	}
	return w
}

// HashReplicaName returns the hash that identifies a replica in placements.
func HashReplicaName(replica string) uint32 { return uint32(xxhash.Sum64String(replica)) }

func placementToWire(p Placement) *fppeerv1.Placement {
	w := &fppeerv1.Placement{
		Replica:         p.ReplicaHash,
		Incarnation:     p.IncarnationBits,
		Class:           uint32(p.Class),
		MissTokens:      uint32(p.MissTokens),
		AgeMilliseconds: uint32(p.Age / time.Millisecond),
	}
	for _, k := range p.Keys {
		w.Keys = append(w.Keys, uint64(k))
	}
	return w
}

func placementFromWire(w *fppeerv1.Placement) Placement {
	p := Placement{ReplicaHash: w.GetReplica(), IncarnationBits: w.GetIncarnation()}
	p.Class = min(fproute.Class(w.GetClass()), fproute.Bulk)
	p.MissTokens = float64(w.GetMissTokens())
	p.Age = time.Duration(w.GetAgeMilliseconds()) * time.Millisecond
	for _, k := range w.GetKeys() {
		p.Keys = append(p.Keys, fpprefix.Key(k))
	}
	return p
}

func fromWire(w *fppeerv1.Heartbeat) Message {
	var m Message
	m.Name = w.GetHost()
	m.Incarnation = w.GetIncarnation()
	m.Zone = w.GetZone()
	m.Sequence = w.GetSequence()
	m.ConfigVersion = w.GetConfigVersion()
	m.Checksum = w.GetConfigChecksum()
	m.Leaving = w.GetLeaving()
	m.Address = w.GetPeerAddress()
	m.LeavingUpstreams = w.GetLeavingUpstreams()
	for _, s := range w.GetSuspicions() {
		m.Suspicions = append(m.Suspicions, fpmember.Suspicion{Host: s.GetHost(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence()})
	}
	for _, d := range w.GetDemands() {
		m.Demands = append(m.Demands, Demand{Team: d.GetTeam(), Requests: float64(d.GetRequests()), Tokens: float64(d.GetTokens())})
	}
	for _, d := range w.GetShares() {
		m.Shares = append(m.Shares, Demand{Team: d.GetTeam(), Requests: float64(d.GetRequests()), Tokens: float64(d.GetTokens())})
	}
	for _, p := range w.GetQuarantinedParts() {
		m.QuarantinedParts = append(m.QuarantinedParts, fpquarantine.Entry{ID: p.GetId(), Age: time.Duration(p.GetAgeMilliseconds()) * time.Millisecond})
	}
	for _, p := range w.GetPlacements() {
		m.Placements = append(m.Placements, placementFromWire(p))
	}
	return m
}
