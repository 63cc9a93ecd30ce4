package fpfeed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	changesProcedure = "/fescuepoint.News/After"
	// maxResponseBytes bounds a response: all changes that a host keeps, in base64.
	maxResponseBytes = 8 << 20
	// idleTimeout is longer than the interval between requests to a peer.
	idleTimeout = 10 * time.Second
)

var (
	// ErrHistoryTrimmed means that the peer no longer has all changes after the position.
	ErrHistoryTrimmed = errors.New("the changes after the position are not known")
	// ErrUnreachable means that the peer gave no valid response.
	ErrUnreachable = errors.New("the peer gave no valid response")
)

type (
	// Client fetches changes from peers.
	Client struct {
		httpClient *http.Client
		clock      fpclock.Clock
	}

	changesRequest struct {
		After fpstore.Position
	}

	changesResponse struct {
		Host     string
		Position fpstore.Position
		// AgeMicroseconds is how long ago the store call that returned Position was sent.
		AgeMicroseconds int64
		Items           []fpstore.Item
	}

	jsonCodec struct{}
)

// NewHandler returns a handler that serves a host's history to its peers.
func NewHandler(host string, h *History, clock fpclock.Clock) http.Handler {
	serve := func(_ context.Context, q *connect.Request[changesRequest]) (*connect.Response[changesResponse], error) {
		changes, ok := h.ChangesSince(q.Msg.After)
		if !ok {
			return nil, connect.NewError(connect.CodeOutOfRange, ErrHistoryTrimmed)
		}
		return connect.NewResponse(&changesResponse{
			Host: host, Position: changes.Position, Items: changes.Items,
			AgeMicroseconds: (clock() - changes.SentAt).Microseconds(),
		}), nil
	}
	m := http.NewServeMux()
	m.Handle(changesProcedure, connect.NewUnaryHandler(changesProcedure, serve, connect.WithCodec(jsonCodec{})))
	return m
}

// NewClient returns a client with its own connection pool.
func NewClient(clock fpclock.Clock) *Client {
	t := fpconn.NewTransport((&net.Dialer{}).DialContext, nil)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = 1, idleTimeout, true
	return &Client{httpClient: &http.Client{Transport: t}, clock: clock}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// FetchChanges fetches the changes after a position from the given host at an address.
// The time in the result is on this host's clock. It is never later than the actual
// time of the store call, even if either host was suspended meanwhile, because the
// peer measured the age after this host had read its clock and sent the request.
func (c *Client) FetchChanges(ctx context.Context, address, host string, after fpstore.Position) (ChangeSet, error) {
	requestedAt := c.clock()
	client := connect.NewClient[changesRequest, changesResponse](c.httpClient, "http://"+address+changesProcedure,
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxResponseBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(&changesRequest{After: after}))
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return ChangeSet{}, ErrHistoryTrimmed
	case err != nil:
		return ChangeSet{}, errors.Mark(err, ErrUnreachable)
	case res.Msg.Host != host:
		return ChangeSet{}, errors.Mark(errors.Newf("response from host %s instead of %s", res.Msg.Host, host), ErrUnreachable)
	case res.Msg.AgeMicroseconds < 0:
		return ChangeSet{}, errors.Mark(errors.New("negative age in the response"), ErrUnreachable)
	}
	age := time.Duration(res.Msg.AgeMicroseconds) * time.Microsecond
	return ChangeSet{Items: res.Msg.Items, Position: res.Msg.Position, SentAt: requestedAt - age}, nil
}

// Name returns the codec's name, which connect puts into the content type.
func (jsonCodec) Name() string { return "json" }

// Marshal encodes a message.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes a message.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
