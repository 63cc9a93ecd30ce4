package fpnews

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	procedure = "/fescuepoint.News/After"
	// maxAnswerBytes bounds an answer: all changes that a host keeps, in base 64.
	maxAnswerBytes = 8 << 20
	// idleTimeout is above the pace of questions.
	idleTimeout = 10 * time.Second
)

var (
	// ErrForgotten means that the other host no longer knows what came after the revision.
	ErrForgotten = errors.New("the changes after the revision are no longer known")
	// ErrUnreachable means that the other host gave no usable answer.
	ErrUnreachable = errors.New("the host gave no answer")
)

type (
	// Client asks other hosts.
	Client struct {
		http  *http.Client
		clock fpclock.Clock
	}

	question struct {
		After int64
	}

	answer struct {
		Host     string
		Revision int64
		// AgeMicroseconds is how long ago the call was sent that Revision rests on.
		AgeMicroseconds int64
		Items           []fpstore.Item
	}

	codec struct{}
)

// NewHandler serves a host's history to others.
func NewHandler(host string, h *History, clock fpclock.Clock) http.Handler {
	serve := func(_ context.Context, q *connect.Request[question]) (*connect.Response[answer], error) {
		n, ok := h.After(q.Msg.After)
		if !ok {
			return nil, connect.NewError(connect.CodeOutOfRange, ErrForgotten)
		}
		return connect.NewResponse(&answer{
			Host: host, Revision: n.Revision, Items: n.Items,
			AgeMicroseconds: (clock() - n.Sent).Microseconds(),
		}), nil
	}
	m := http.NewServeMux()
	m.Handle(procedure, connect.NewUnaryHandler(procedure, serve, connect.WithCodec(codec{})))
	return m
}

// NewClient returns a client with connections of its own.
func NewClient(clock fpclock.Clock) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, clock: clock}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// After asks the named host at an address for what changed after a revision.
// Sent is on this host's clock and never later than the true moment, however
// long either host stood still: the other one measured the age after the
// question was sent.
func (c *Client) After(ctx context.Context, address, host string, revision int64) (News, error) {
	asked := c.clock()
	call := connect.NewClient[question, answer](c.http, "http://"+address+procedure,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxAnswerBytes))
	res, err := call.CallUnary(ctx, connect.NewRequest(&question{After: revision}))
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return News{}, ErrForgotten
	case err != nil:
		return News{}, errors.Mark(err, ErrUnreachable)
	case res.Msg.Host != host:
		return News{}, errors.Mark(errors.Newf("%s answered in place of %s", res.Msg.Host, host), ErrUnreachable)
	case res.Msg.AgeMicroseconds < 0:
		return News{}, errors.Mark(errors.New("an age below zero"), ErrUnreachable)
	}
	age := time.Duration(res.Msg.AgeMicroseconds) * time.Microsecond
	return News{Items: res.Msg.Items, Revision: res.Msg.Revision, Sent: asked - age}, nil
}

// Name tells connect that bodies are JSON.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
