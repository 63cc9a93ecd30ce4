package fpcaller

import (
	"net/http"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	t, f := s.team(r)
	if f != nil {
		s.refuse(w, "", f)
		return
	}
	q, f := s.query(r, t)
	if f != nil {
		s.refuse(w, q.RequestID, f)
		return
	}
	declared, ok := s.state.Load().Config.Document.Service(r.PathValue("name"))
	if !ok {
		s.refuse(w, q.RequestID, &fault{http.StatusNotFound, "unknown_service", "the service is not declared"})
		return
	}
	path := "/" + r.PathValue("path")
	q.Idempotent = q.Idempotent && declared.Idempotent(path)
	if f := s.identify(&q); f != nil {
		s.refuse(w, q.RequestID, f)
		return
	}
	w.Header().Set(fpchat.RequestHeader, q.RequestID)
	data, f := s.body(w, r)
	if f != nil {
		s.refuse(w, q.RequestID, f)
		return
	}
	q.Asked = s.dispatcher.Clock()
	q.Body = hashBody([]byte(r.Method), []byte(declared.Name+path), data)
	if refusal := s.admit(&q, t, fpprefix.Tokens(string(data))); refusal != nil {
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
		result = s.dispatcher.Service(r.Context(), q, call)
	} else {
		result = s.dispatcher.ServiceOnce(r.Context(), q, call)
	}
	s.log(q, r.URL.Path, result.Upstream, result.Outcome)
	answerService(w, q, result)
}

func answerService(w http.ResponseWriter, q fpdispatch.Query, r fpclaimant.Result) {
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
