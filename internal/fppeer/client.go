package fppeer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fppeer/fppeerv1"
	"github.com/fescuepoint/fescuepoint/internal/fppeer/fppeerv1/fppeerv1connect"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// callTimeout bounds a call that returns without waiting at the other host.
	callTimeout = time.Second
	// waitMargin is added to a waiting call's wait to get its timeout.
	waitMargin   = time.Second
	secretHeader = "X-Fescuepoint-Secret"
)

// ErrUnreachable means that the call to the other host failed.
var ErrUnreachable = errors.New("the host did not answer")

type (
	// Client calls the peer protocol of other hosts.
	Client struct {
		http   *http.Client
		scheme string
		secret string
	}

	// Patches holds the patches, or the snapshot, that lead to another host's current version.
	Patches struct {
		Version  uint64
		Patches  []fpconfig.Patch
		Snapshot *fpconfig.Snapshot
	}
)

// NewClient returns a client; transport holds the TLS settings, scheme is http or https.
func NewClient(transport http.RoundTripper, scheme string, secret []byte) *Client {
	return &Client{http: &http.Client{Transport: transport}, scheme: scheme, secret: string(secret)}
}

func (c *Client) peerClient(address string) fppeerv1connect.PeerClient {
	return fppeerv1connect.NewPeerClient(c.http, c.scheme+"://"+address, connect.WithInterceptors(c.addSecret()), connect.WithReadMaxBytes(maxMessageBytes))
}

// addSecret returns an interceptor that sends the secret and marks errors with ErrUnreachable.
func (c *Client) addSecret() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set(secretHeader, c.secret)
			res, err := next(ctx, r)
			if err != nil {
				return nil, errors.Mark(err, ErrUnreachable)
			}
			return res, nil
		}
	})
}

// Patches asks a host for the patches, or the snapshot, that lead from version since to its
// current one.
func (c *Client) Patches(ctx context.Context, address string, since uint64) (Patches, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.peerClient(address).Patches(ctx, connect.NewRequest(&fppeerv1.PatchesRequest{Since: since}))
	if err != nil {
		return Patches{}, err
	}
	out := Patches{Version: res.Msg.GetVersion()}
	for _, data := range res.Msg.GetPatches() {
		var p fpconfig.Patch
		if err := json.Unmarshal(data, &p); err != nil {
			return Patches{}, errors.Wrap(err, "decode patch")
		}
		out.Patches = append(out.Patches, p)
	}
	if data := res.Msg.GetSnapshot(); len(data) > 0 {
		out.Snapshot = new(fpconfig.Snapshot)
		if err := json.Unmarshal(data, out.Snapshot); err != nil {
			return Patches{}, errors.Wrap(err, "decode configuration snapshot")
		}
	}
	return out, nil
}

// Claim asks a host to settle a claim for this one.
func (c *Client) Claim(ctx context.Context, address string, claim fpclaim.Claim, wait time.Duration) (fpclaimant.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	res, err := c.peerClient(address).Claim(ctx, connect.NewRequest(&fppeerv1.ClaimRequest{
		Key:              string(claim.Key),
		Body:             claim.Body,
		Attempt:          claim.Attempt,
		Host:             claim.Host,
		Incarnation:      claim.Incarnation,
		Released:         claim.Released,
		WaitMilliseconds: uint32(wait / time.Millisecond),
	}))
	if err != nil {
		return fpclaimant.ClaimResult{Verdict: fpclaim.Unavailable}, err
	}
	return fpclaimant.ClaimResult{
		Verdict: fpclaim.Verdict(res.Msg.GetVerdict()),
		Holder: fpclaim.Claim{
			Key:         claim.Key,
			Body:        res.Msg.GetHolderBody(),
			Attempt:     res.Msg.GetHolderAttempt(),
			Host:        res.Msg.GetHolderHost(),
			Incarnation: res.Msg.GetHolderIncarnation(),
		},
	}, nil
}

// Answer asks a host for the state and result of its attempt, waiting up to wait while it runs.
func (c *Client) Answer(ctx context.Context, address string, holder fpclaim.Claim, wait time.Duration) (fpclaimant.State, fpclaimant.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	res, err := c.peerClient(address).Answer(ctx, connect.NewRequest(&fppeerv1.AnswerRequest{
		Key:              string(holder.Key),
		Attempt:          holder.Attempt,
		Incarnation:      holder.Incarnation,
		WaitMilliseconds: uint32(wait / time.Millisecond),
	}))
	if err != nil {
		return fpclaimant.Unreachable, fpclaimant.Result{}, err
	}
	r := fpclaimant.Result{
		Status:      int(res.Msg.GetStatus()),
		ContentType: res.Msg.GetContentType(),
		Body:        res.Msg.GetBody(),
		Upstream:    res.Msg.GetUpstream(),
	}
	return stateFromWire(res.Msg.GetState()), r, nil
}

// MayHaveDispatched asks a host whether it may have dispatched a request.
func (c *Client) MayHaveDispatched(ctx context.Context, address string, key fpclaim.Key) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.peerClient(address).Knows(ctx, connect.NewRequest(&fppeerv1.KnowsRequest{Key: string(key)}))
	if err != nil {
		return false, err
	}
	return res.Msg.GetKnows(), nil
}

// Records asks a host for its decision records of a request.
func (c *Client) Records(ctx context.Context, address, requestID string) ([]fprecord.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.peerClient(address).Records(ctx, connect.NewRequest(&fppeerv1.RecordsRequest{RequestId: requestID}))
	if err != nil {
		return nil, err
	}
	var out []fprecord.Record
	for _, data := range res.Msg.GetRecords() {
		var r fprecord.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, errors.Wrap(err, "decode decision record")
		}
		out = append(out, r)
	}
	return out, nil
}

// Status asks a host for its status in the form that the operators' interface returns.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.peerClient(address).Status(ctx, connect.NewRequest(&fppeerv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetStatus(), nil
}

func stateFromWire(s fppeerv1.AnswerResponse_State) fpclaimant.State {
	switch s {
	case fppeerv1.AnswerResponse_STATE_RUNNING:
		return fpclaimant.Running
	case fppeerv1.AnswerResponse_STATE_KEPT:
		return fpclaimant.Kept
	case fppeerv1.AnswerResponse_STATE_NEVER_DISPATCHED:
		return fpclaimant.NeverDispatched
	default:
		return fpclaimant.ResultUnknown
	}
}
