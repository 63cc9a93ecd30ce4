package fpcaller

import (
	"net/http"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

// handleService serves a call of a declared service. A call is idempotent only if the declaration
// and the request's headers both permit it.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	var service fpconfig.Service
	path := "/" + r.PathValue("path")
	q, t, data, ok := s.readRequest(w, r, func(q *fpdispatch.AdmittedRequest) *requestError {
		var found bool
		service, found = s.snapshots.Load().Config.Document.Service(r.PathValue("name"))
		if !found {
			return &requestError{http.StatusNotFound, "unknown_service", "the service is not declared"}
		}
		q.Idempotent = q.Idempotent && service.Idempotent(path)
		return nil
	})
	if !ok {
		return
	}
	q.BodyHash = hashRequest([]byte(r.Method), []byte(service.Name+path), data)
	if refusal := s.admitRequest(&q, t, fpprefix.EstimateTokens(string(data))); refusal != nil {
		s.writeLimitRefusal(w, q, refusal)
		return
	}
	defer s.releaseTeam(t.Name)
	call := fpdispatch.ServiceCall{
		Service:     service.Name,
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        data,
	}
	var result fpclaimant.Result
	if q.Idempotent {
		result = s.dispatcher.DispatchService(r.Context(), q, call)
	} else {
		result = s.dispatcher.DispatchServiceOnce(r.Context(), q, call)
	}
	s.logRequest(q, r.URL.Path, result.Upstream, result.Outcome)
	writeServiceResult(w, q, result)
}

func writeServiceResult(w http.ResponseWriter, q fpdispatch.AdmittedRequest, r fpclaimant.Result) {
	if r.Outcome.Kind() != fpoutcome.Complete {
		writeFailure(w, q, r.Outcome)
		return
	}
	h := w.Header()
	h.Set(fpchat.OutcomeHeader, r.Outcome.Kind().String())
	h.Set(fpchat.UpstreamHeader, r.Upstream)
	h.Set("Content-Type", r.ContentType)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
