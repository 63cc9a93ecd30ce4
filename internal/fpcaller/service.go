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

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	var declared fpconfig.Service
	path := "/" + r.PathValue("path")
	q, t, data, ok := s.begin(w, r, func(q *fpdispatch.AdmittedRequest) *fault {
		var known bool
		declared, known = s.state.Load().Config.Document.Service(r.PathValue("name"))
		if !known {
			return &fault{http.StatusNotFound, "unknown_service", "the service is not declared"}
		}
		q.Idempotent = q.Idempotent && declared.Idempotent(path)
		return nil
	})
	if !ok {
		return
	}
	q.BodyHash = hashBody([]byte(r.Method), []byte(declared.Name+path), data)
	if refusal := s.admit(&q, t, fpprefix.EstimateTokens(string(data))); refusal != nil {
		s.limited(w, q, refusal)
		return
	}
	defer s.done(t.Name)
	call := fpdispatch.ServiceCall{
		Service:     declared.Name,
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
	s.log(q, r.URL.Path, result.Upstream, result.Outcome)
	answerService(w, q, result)
}

func answerService(w http.ResponseWriter, q fpdispatch.AdmittedRequest, r fpclaimant.Result) {
	if r.Outcome.Kind() != fpoutcome.Complete {
		failed(w, q, r.Outcome)
		return
	}
	h := w.Header()
	h.Set(fpchat.OutcomeHeader, r.Outcome.Kind().String())
	h.Set(fpchat.UpstreamHeader, r.Upstream)
	h.Set("Content-Type", r.ContentType)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
