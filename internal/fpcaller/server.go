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
	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	maxRequestIDBytes = 128
	bearerPrefix      = "Bearer "
)

type (
	// QuotaSource returns what this host may admit of a team.
	QuotaSource interface {
		Quota(t fpconfig.Team) fplimit.Quota
	}

	// Settings bounds the size of a request body and the time of a write to a caller.
	Settings struct {
		MaxBodyBytes int
		WriteTimeout time.Duration
	}

	// Server serves the callers' requests.
	Server struct {
		settings     Settings
		snapshots    *fpstate.Holder
		dispatcher   *fpdispatch.Dispatcher
		quotas       QuotaSource
		metrics      *fpmetric.Set
		logger       log.Logger
		newRequestID func() string
		mu           sync.Mutex
		limiter      *fplimit.Limiter
		missRatio    float64
	}

	// ErrorBody is the JSON body of every error.
	ErrorBody struct {
		Error ErrorDetail `json:"error"`
	}

	// ErrorDetail describes an error and the request's outcome.
	ErrorDetail struct {
		Message                string `json:"message"`
		Type                   string `json:"type"`
		Outcome                string `json:"outcome"`
		RequestID              string `json:"request_id,omitempty"`
		RetryAfterMilliseconds int64  `json:"retry_after_ms,omitempty"`
	}

	// requestError is the reason why a request is refused before dispatch.
	requestError struct {
		status    int
		errorType string
		message   string
	}
)

// New returns a server; newRequestID generates IDs for requests that carry none.
func New(s Settings, snapshots *fpstate.Holder, d *fpdispatch.Dispatcher, quotas QuotaSource, m *fpmetric.Set, l log.Logger, newRequestID func() string) *Server {
	return &Server{
		settings:     s,
		snapshots:    snapshots,
		dispatcher:   d,
		quotas:       quotas,
		metrics:      m,
		logger:       l,
		newRequestID: newRequestID,
		limiter:      fplimit.NewLimiter(),
		missRatio:    initialMissRatio,
	}
}

// Handler returns the callers' HTTP handler.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.handleChat)
	m.HandleFunc("GET /v1/models", s.handleModels)
	m.HandleFunc("/services/{name}/{path...}", s.handleService)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.HandleFunc("GET /readyz", s.handleReady)
	return m
}

// ForEachDemand calls f with the demand at this host of each team.
func (s *Server) ForEachDemand(now time.Time, f func(team string, demand fplimit.Rates)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.ForEachTeam(now, f)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.snapshots.Load()
	switch {
	case snapshot.Draining:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !snapshot.Ready:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	if _, reqErr := s.authenticateTeam(r); reqErr != nil {
		s.writeRefusal(w, "", reqErr)
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
	for _, m := range s.snapshots.Load().Config.Document.Models {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

// authenticateTeam returns the team whose key the request carries.
func (s *Server) authenticateTeam(r *http.Request) (fpconfig.Team, *requestError) {
	snapshot := s.snapshots.Load()
	if !snapshot.Ready {
		return fpconfig.Team{}, &requestError{http.StatusServiceUnavailable, "not_ready", "this host has no configuration yet"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return fpconfig.Team{}, &requestError{http.StatusUnauthorized, "no_key", "the request carries no team's key"}
	}
	sum := sha256.Sum256([]byte(key))
	t, ok := snapshot.Teams[hex.EncodeToString(sum[:])]
	if !ok {
		return fpconfig.Team{}, &requestError{http.StatusUnauthorized, "unknown_key", "no team has this key"}
	}
	if name := r.Header.Get(fpchat.TeamHeader); name != "" && name != t.Name {
		return fpconfig.Team{}, &requestError{http.StatusForbidden, "other_team", "the key belongs to another team"}
	}
	return t, nil
}

// parseHeaders returns the class, the idempotence and the ID that the request's headers state.
func (s *Server) parseHeaders(r *http.Request, t fpconfig.Team) (fpdispatch.AdmittedRequest, *requestError) {
	q := fpdispatch.AdmittedRequest{Team: t.Name, ReceivedAt: time.Now(), Idempotent: true}
	class, err := fproute.ParseClass(r.Header.Get(fpchat.ClassHeader))
	if err != nil {
		return q, &requestError{http.StatusBadRequest, "bad_class", err.Error()}
	}
	q.Class = class
	if text := r.Header.Get(fpchat.IdempotentHeader); text != "" {
		q.Idempotent, err = strconv.ParseBool(text)
		if err != nil {
			return q, &requestError{http.StatusBadRequest, "bad_header", fpchat.IdempotentHeader + " must be true or false"}
		}
	}
	q.RequestID = r.Header.Get(fpchat.RequestHeader)
	if len(q.RequestID) > maxRequestIDBytes {
		return q, &requestError{http.StatusBadRequest, "bad_request_id", "the request ID is longer than 128 bytes"}
	}
	return q, nil
}

// readRequest authenticates the team and reads the headers and the body, as every
// request needs. Before the body is read, applyDeclaration may change or refuse the
// request according to the configuration. If ok is false, the refusal has been written.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, applyDeclaration func(*fpdispatch.AdmittedRequest) *requestError) (q fpdispatch.AdmittedRequest, t fpconfig.Team, data []byte, ok bool) {
	t, reqErr := s.authenticateTeam(r)
	if reqErr == nil {
		q, reqErr = s.parseHeaders(r, t)
	}
	if reqErr == nil {
		reqErr = applyDeclaration(&q)
	}
	if reqErr == nil {
		reqErr = s.ensureRequestID(&q)
	}
	if reqErr == nil {
		w.Header().Set(fpchat.RequestHeader, q.RequestID)
		data, reqErr = s.readBody(w, r)
	}
	if reqErr != nil {
		s.writeRefusal(w, q.RequestID, reqErr)
		return q, t, nil, false
	}
	q.BodyReadAt, q.AnswerMemory = s.dispatcher.Now(), fpingress.AnswerMemory(r)
	return q, t, data, true
}

// ensureRequestID gives an ID to an idempotent request without one; it refuses a non-idempotent
// one.
func (s *Server) ensureRequestID(q *fpdispatch.AdmittedRequest) *requestError {
	if q.RequestID != "" {
		return nil
	}
	if !q.Idempotent {
		return &requestError{http.StatusBadRequest, "no_request_id", "a non-idempotent request must carry " + fpchat.RequestHeader}
	}
	q.RequestID = s.newRequestID()
	return nil
}

// admitRequest checks the team's limits and sets the request's scheduling deadline. If it returns
// no refusal, releaseTeam must be called when the request ends.
func (s *Server) admitRequest(q *fpdispatch.AdmittedRequest, t fpconfig.Team, tokens int) *fplimit.Refusal {
	quota := s.quotas.Quota(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.limiter.Admit(t.Name, quota, float64(tokens), q.ReceivedAt); r != nil {
		return r
	}
	snapshot := s.snapshots.Load()
	deadline, refusal := s.schedulingDeadline(t.Name, q.Class, tokens, snapshot, q.ReceivedAt)
	if refusal != nil {
		s.limiter.Release(t.Name)
	}
	q.Deadline = deadline
	return refusal
}

func (s *Server) releaseTeam(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release(team)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *requestError) {
	data, err := fpingress.ReadBody(w, r, int64(s.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, fpingress.ErrNoMemory):
		setRetryAfter(w, fpingress.RetryAfter)
		return nil, &requestError{http.StatusServiceUnavailable, "no_memory", "this host has no memory for the body now"}
	case errors.As(err, &tooLarge):
		return nil, &requestError{http.StatusRequestEntityTooLarge, "too_large", "the body is larger than " + strconv.Itoa(s.settings.MaxBodyBytes) + " bytes"}
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, "cut_body", "the body ended early"}
	}
	return data, nil
}

// writeRefusal writes the error of a request that was refused before dispatch and so did not run.
func (s *Server) writeRefusal(w http.ResponseWriter, requestID string, reqErr *requestError) {
	w.Header().Set(fpchat.OutcomeHeader, fpoutcome.NotRun.String())
	writeJSON(w, reqErr.status, ErrorBody{Error: ErrorDetail{
		Message:   reqErr.message,
		Type:      reqErr.errorType,
		Outcome:   fpoutcome.NotRun.String(),
		RequestID: requestID,
	}})
}

// writeLimitRefusal writes the error of a request that exceeds its team's limits.
func (s *Server) writeLimitRefusal(w http.ResponseWriter, q fpdispatch.AdmittedRequest, r *fplimit.Refusal) {
	s.metrics.Series(q.Team, q.Class.String()).CountOutcome(fpoutcome.NotRun.String(), "limit")
	setRetryAfter(w, r.RetryAfter)
	w.Header().Set(fpchat.OutcomeHeader, fpoutcome.NotRun.String())
	writeJSON(w, http.StatusTooManyRequests, ErrorBody{Error: ErrorDetail{
		Message:                "the team's limit of " + string(r.Limit) + " is reached",
		Type:                   "limit",
		Outcome:                fpoutcome.NotRun.String(),
		RequestID:              q.RequestID,
		RetryAfterMilliseconds: r.RetryAfter.Milliseconds(),
	}})
}

// writeFailure writes the error of an admitted request that did not complete.
func writeFailure(w http.ResponseWriter, q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) {
	setRetryAfter(w, o.RetryAfter())
	w.Header().Set(fpchat.OutcomeHeader, o.Kind().String())
	writeJSON(w, failureStatus(o), failureBody(q, o))
}

func failureBody(q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:                o.Reason(),
		Type:                   "upstream",
		Outcome:                o.Kind().String(),
		RequestID:              q.RequestID,
		RetryAfterMilliseconds: o.RetryAfter().Milliseconds(),
	}}
}

func failureStatus(o fpoutcome.Outcome) int {
	switch {
	case o.Reason() == fpdispatch.ErrRequestIDReused.Error():
		return http.StatusUnprocessableEntity
	case o.Kind() == fpoutcome.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds, if the delay is positive.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// hashRequest returns a hash of the parts of a request, which tells whether a request ID is used
// again with another request.
func hashRequest(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.Write(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (s *Server) logRequest(q fpdispatch.AdmittedRequest, path, upstream string, o fpoutcome.Outcome) {
	_ = s.logger.Log("Message", "request", "RequestID", q.RequestID, "Team", q.Team, "Class", q.Class.String(),
		"Path", path, "Upstream", upstream, "Outcome", o.Kind().String(), "Reason", o.Reason(),
		"Milliseconds", time.Since(q.ReceivedAt).Milliseconds())
}
