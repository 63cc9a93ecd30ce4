package fppeer

import (
	"context"
	"crypto/subtle"
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
	// maxRequestedWait bounds the wait that a calling host may request.
	maxRequestedWait = 30 * time.Second
	// maxMessageBytes bounds a message between hosts; the largest is a configuration with its patches.
	maxMessageBytes = 16 << 20
)

var errWrongSecret = errors.New("the secret is not that of this fleet")

type (
	// Backend is the part of the host that the server calls.
	Backend interface {
		Replica() (fpconfig.Replica, bool)
		SettleClaim(ctx context.Context, c fpclaim.Claim, wait time.Duration) fpclaimant.ClaimResult
		MayHaveDispatched(key fpclaim.Key) bool
		LocalAttemptResult(ctx context.Context, holder fpclaim.Claim) (fpclaimant.State, fpclaimant.Result)
		Records(requestID string) []fprecord.Record
		StatusJSON() []byte
	}

	server struct {
		backend Backend
	}
)

// NewHandler returns the handler for calls of other hosts, which must send the secret.
func NewHandler(b Backend, secret []byte) http.Handler {
	checkSecret := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if subtle.ConstantTimeCompare([]byte(r.Header().Get(secretHeader)), secret) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errWrongSecret)
			}
			return next(ctx, r)
		}
	})
	mux := http.NewServeMux()
	mux.Handle(fppeerv1connect.NewPeerHandler(&server{backend: b}, connect.WithInterceptors(checkSecret), connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// Patches returns the patches from a version to this host's current one, or a snapshot if they
// are no longer kept.
func (s *server) Patches(_ context.Context, r *connect.Request[fppeerv1.PatchesRequest]) (*connect.Response[fppeerv1.PatchesResponse], error) {
	replica, loaded := s.backend.Replica()
	if !loaded {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration yet"))
	}
	res := &fppeerv1.PatchesResponse{Version: replica.Current().Version}
	patches, retained := replica.PatchesSince(r.Msg.GetSince())
	if !retained {
		res.Snapshot = encodeJSON(replica.Snapshot())
		return connect.NewResponse(res), nil
	}
	for _, p := range patches {
		res.Patches = append(res.Patches, encodeJSON(p))
	}
	return connect.NewResponse(res), nil
}

// Claim settles a claim for another host.
func (s *server) Claim(ctx context.Context, r *connect.Request[fppeerv1.ClaimRequest]) (*connect.Response[fppeerv1.ClaimResponse], error) {
	m := r.Msg
	claim := fpclaim.Claim{
		Key:         fpclaim.Key(m.GetKey()),
		Body:        m.GetBody(),
		Attempt:     m.GetAttempt(),
		Host:        m.GetHost(),
		Incarnation: m.GetIncarnation(),
		Released:    m.GetReleased(),
		At:          time.Now().UnixMilli(),
	}
	settled := s.backend.SettleClaim(ctx, claim, boundedWait(m.GetWaitMilliseconds()))
	return connect.NewResponse(&fppeerv1.ClaimResponse{
		Verdict:           uint32(settled.Verdict),
		HolderBody:        settled.Holder.Body,
		HolderAttempt:     settled.Holder.Attempt,
		HolderHost:        settled.Holder.Host,
		HolderIncarnation: settled.Holder.Incarnation,
	}), nil
}

// Answer returns the state and result of an attempt of this host, waiting while it runs.
func (s *server) Answer(ctx context.Context, r *connect.Request[fppeerv1.AnswerRequest]) (*connect.Response[fppeerv1.AnswerResponse], error) {
	m := r.Msg
	ctx, cancel := context.WithTimeout(ctx, boundedWait(m.GetWaitMilliseconds()))
	defer cancel()
	state, result := s.backend.LocalAttemptResult(ctx, fpclaim.Claim{
		Key:         fpclaim.Key(m.GetKey()),
		Attempt:     m.GetAttempt(),
		Incarnation: m.GetIncarnation(),
	})
	return connect.NewResponse(&fppeerv1.AnswerResponse{
		State:       stateToWire(state),
		Status:      uint32(result.Status),
		ContentType: result.ContentType,
		Body:        result.Body,
		Upstream:    result.Upstream,
	}), nil
}

// Knows reports whether this host may have dispatched a request.
func (s *server) Knows(_ context.Context, r *connect.Request[fppeerv1.KnowsRequest]) (*connect.Response[fppeerv1.KnowsResponse], error) {
	mayHave := s.backend.MayHaveDispatched(fpclaim.Key(r.Msg.GetKey()))
	return connect.NewResponse(&fppeerv1.KnowsResponse{Knows: mayHave}), nil
}

// Records returns this host's decision records of a request.
func (s *server) Records(_ context.Context, r *connect.Request[fppeerv1.RecordsRequest]) (*connect.Response[fppeerv1.RecordsResponse], error) {
	res := &fppeerv1.RecordsResponse{}
	for _, v := range s.backend.Records(r.Msg.GetRequestId()) {
		res.Records = append(res.Records, encodeJSON(v))
	}
	return connect.NewResponse(res), nil
}

// Status returns this host's status as JSON.
func (s *server) Status(context.Context, *connect.Request[fppeerv1.StatusRequest]) (*connect.Response[fppeerv1.StatusResponse], error) {
	return connect.NewResponse(&fppeerv1.StatusResponse{Status: s.backend.StatusJSON()}), nil
}

func stateToWire(s fpclaimant.State) fppeerv1.AnswerResponse_State {
	switch s {
	case fpclaimant.Running:
		return fppeerv1.AnswerResponse_STATE_RUNNING
	case fpclaimant.Kept:
		return fppeerv1.AnswerResponse_STATE_KEPT
	case fpclaimant.NeverDispatched:
		return fppeerv1.AnswerResponse_STATE_NEVER_DISPATCHED
	default:
		return fppeerv1.AnswerResponse_STATE_UNKNOWN
	}
}

func boundedWait(milliseconds uint32) time.Duration {
	return min(time.Duration(milliseconds)*time.Millisecond, maxRequestedWait)
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "fppeer: value cannot be encoded"))
	}
	return data
}
