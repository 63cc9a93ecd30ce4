package fpcaller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	maxRequestIDBytes = 128
	bearer            = "Bearer "
)

type (
	// Shares tells what this host may admit of a team.
	Shares interface {
		Quota(t fpconfig.Team) fplimit.Quota
	}

	// Settings bounds what callers may send.
	Settings struct {
		MaxBodyBytes int
		WriteTimeout time.Duration
	}

	// Server serves callers.
	Server struct {
		settings   Settings
		state      *fpstate.Holder
		dispatcher *fpdispatch.Dispatcher
		shares     Shares
		metrics    *fpmetric.Set
		logger     log.Logger
		newID      func() string
		mu         sync.Mutex
		limiter    *fplimit.Limiter
		missRatio  float64
	}

	// ErrorBody is the JSON body of every error.
	ErrorBody struct {
		Error ErrorDetail `json:"error"`
	}

	// ErrorDetail says what went wrong and what became of the request.
	ErrorDetail struct {
		Message           string `json:"message"`
		Type              string `json:"type"`
		Outcome           string `json:"outcome"`
		RequestID         string `json:"request_id,omitempty"`
		RetryMilliseconds int64  `json:"retry_after_ms,omitempty"`
	}

	// fault is a request that is refused before dispatch.
	fault struct {
		status int
		kind   string
		text   string
	}
)

// New returns a server; newID makes IDs for requests that carry none.
func New(s Settings, state *fpstate.Holder, d *fpdispatch.Dispatcher, shares Shares, m *fpmetric.Set, l log.Logger, newID func() string) *Server {
	return &Server{
		settings:   s,
		state:      state,
		dispatcher: d,
		shares:     shares,
		metrics:    m,
		logger:     l,
		newID:      newID,
		limiter:    fplimit.NewLimiter(),
		missRatio:  missUnknown,
	}
}

// Handler returns the callers' HTTP handler.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.chat)
	m.HandleFunc("GET /v1/models", s.models)
	m.HandleFunc("/services/{name}/{path...}", s.service)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.HandleFunc("GET /readyz", s.ready)
	return m
}

// Demands calls f with each team's demand at this host.
func (s *Server) Demands(now time.Time, f func(team string, demand fplimit.Rates)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.ForEachTeam(now, f)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	n := s.state.Load()
	switch {
	case n.Draining:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !n.Ready:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	if _, f := s.team(r); f != nil {
		s.refuse(w, "", f)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, m := range s.state.Load().Config.Document.Models {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

// team returns the team whose key the request carries.
func (s *Server) team(r *http.Request) (fpconfig.Team, *fault) {
	n := s.state.Load()
	if !n.Ready {
		return fpconfig.Team{}, &fault{http.StatusServiceUnavailable, "not_ready", "this host has no configuration yet"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return fpconfig.Team{}, &fault{http.StatusUnauthorized, "no_key", "the request carries no team's key"}
	}
	sum := sha256.Sum256([]byte(key))
	t, ok := n.Teams[hex.EncodeToString(sum[:])]
	if !ok {
		return fpconfig.Team{}, &fault{http.StatusUnauthorized, "unknown_key", "no team has this key"}
	}
	if name := r.Header.Get(fpchat.TeamHeader); name != "" && name != t.Name {
		return fpconfig.Team{}, &fault{http.StatusForbidden, "other_team", "the key belongs to another team"}
	}
	return t, nil
}

// query returns what the request's headers say.
func (s *Server) query(r *http.Request, t fpconfig.Team) (fpdispatch.AdmittedRequest, *fault) {
	q := fpdispatch.AdmittedRequest{Team: t.Name, ReceivedAt: time.Now(), Idempotent: true}
	class, err := fproute.ParseClass(r.Header.Get(fpchat.ClassHeader))
	if err != nil {
		return q, &fault{http.StatusBadRequest, "bad_class", err.Error()}
	}
	q.Class = class
	if text := r.Header.Get(fpchat.IdempotentHeader); text != "" {
		q.Idempotent, err = strconv.ParseBool(text)
		if err != nil {
			return q, &fault{http.StatusBadRequest, "bad_header", fpchat.IdempotentHeader + " must be true or false"}
		}
	}
	q.RequestID = r.Header.Get(fpchat.RequestHeader)
	if len(q.RequestID) > maxRequestIDBytes {
		return q, &fault{http.StatusBadRequest, "bad_request_id", "the request ID is longer than 128 bytes"}
	}
	return q, nil
}

// begin takes in what all requests have in common: the team, the headers and
// the body. Between headers and body, declared may correct what the headers
// say. When ok is false the request has been refused.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, declared func(*fpdispatch.AdmittedRequest) *fault) (q fpdispatch.AdmittedRequest, t fpconfig.Team, data []byte, ok bool) {
	t, f := s.team(r)
	if f == nil {
		q, f = s.query(r, t)
	}
	if f == nil {
		f = declared(&q)
	}
	if f == nil {
		f = s.identify(&q)
	}
	if f == nil {
		w.Header().Set(fpchat.RequestHeader, q.RequestID)
		data, f = s.body(w, r)
	}
	if f != nil {
		s.refuse(w, q.RequestID, f)
		return q, t, nil, false
	}
	q.BodyReadAt = s.dispatcher.Now()
	return q, t, data, true
}

// identify makes sure that a non-idempotent request has an ID and gives the others one.
func (s *Server) identify(q *fpdispatch.AdmittedRequest) *fault {
	if q.RequestID != "" {
		return nil
	}
	if !q.Idempotent {
		return &fault{http.StatusBadRequest, "no_request_id", "a non-idempotent request must carry " + fpchat.RequestHeader}
	}
	q.RequestID = s.newID()
	return nil
}

// admit holds the team to its limits and sets the deadline that orders its work.
func (s *Server) admit(q *fpdispatch.AdmittedRequest, t fpconfig.Team, tokens int) *fplimit.Refusal {
	quota := s.shares.Quota(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.limiter.Admit(t.Name, quota, float64(tokens), q.ReceivedAt); r != nil {
		return r
	}
	n := s.state.Load()
	deadline, refusal := s.deadline(t.Name, q.Class, tokens, n, q.ReceivedAt)
	if refusal != nil {
		s.limiter.Release(t.Name)
	}
	q.Deadline = deadline
	return refusal
}

func (s *Server) done(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release(team)
}

func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.settings.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &fault{http.StatusRequestEntityTooLarge, "too_large", "the body is larger than " + strconv.Itoa(s.settings.MaxBodyBytes) + " bytes"}
	case err != nil:
		return nil, &fault{http.StatusBadRequest, "cut_body", "the body ended early"}
	}
	return data, nil
}

// refuse answers a request that was refused before dispatch: it did not run.
func (s *Server) refuse(w http.ResponseWriter, requestID string, f *fault) {
	w.Header().Set(fpchat.OutcomeHeader, fpoutcome.NotRun.String())
	writeJSON(w, f.status, ErrorBody{Error: ErrorDetail{
		Message:   f.text,
		Type:      f.kind,
		Outcome:   fpoutcome.NotRun.String(),
		RequestID: requestID,
	}})
}

// limited answers a request beyond its team's limits.
func (s *Server) limited(w http.ResponseWriter, q fpdispatch.AdmittedRequest, r *fplimit.Refusal) {
	s.metrics.Series(q.Team, q.Class.String()).CountOutcome(fpoutcome.NotRun.String(), "limit")
	setRetry(w, r.RetryAfter)
	w.Header().Set(fpchat.OutcomeHeader, fpoutcome.NotRun.String())
	writeJSON(w, http.StatusTooManyRequests, ErrorBody{Error: ErrorDetail{
		Message:           "the team's limit of " + string(r.Limit) + " is reached",
		Type:              "limit",
		Outcome:           fpoutcome.NotRun.String(),
		RequestID:         q.RequestID,
		RetryMilliseconds: r.RetryAfter.Milliseconds(),
	}})
}

// failed answers a request that did not complete.
func failed(w http.ResponseWriter, q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) {
	setRetry(w, o.RetryAfter())
	w.Header().Set(fpchat.OutcomeHeader, o.Kind().String())
	writeJSON(w, statusOf(o), bodyOf(q, o))
}

func bodyOf(q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:           o.Reason(),
		Type:              "upstream",
		Outcome:           o.Kind().String(),
		RequestID:         q.RequestID,
		RetryMilliseconds: o.RetryAfter().Milliseconds(),
	}}
}

func statusOf(o fpoutcome.Outcome) int {
	switch {
	case o.Reason() == fpdispatch.ErrRequestIDReused.Error():
		return http.StatusUnprocessableEntity
	case o.Kind() == fpoutcome.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

func setRetry(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func hashBody(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.Write(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (s *Server) log(q fpdispatch.AdmittedRequest, path, upstream string, o fpoutcome.Outcome) {
	_ = s.logger.Log("Message", "request", "RequestID", q.RequestID, "Team", q.Team, "Class", q.Class.String(),
		"Path", path, "Upstream", upstream, "Outcome", o.Kind().String(), "Reason", o.Reason(),
		"Milliseconds", time.Since(q.ReceivedAt).Milliseconds())
}
