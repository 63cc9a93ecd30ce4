package fpcaller

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	streamHeartbeatInterval = 500 * time.Millisecond
	chatPath                = "/v1/chat/completions"
	maxOutputTokens         = 1 << 17
)

type (
	// streamSink writes an answer to the caller as server-sent events while it arrives.
	streamSink struct {
		mu           sync.Mutex
		writer       http.ResponseWriter
		controller   *http.ResponseController
		model        string
		requestID    string
		writeTimeout time.Duration
		textBytes    int
		begun        bool
		ended        bool
		closed       chan struct{}
	}

	// bufferSink collects an answer that is sent when it is complete.
	bufferSink struct {
		text     strings.Builder
		upstream string
		reason   string
	}
)

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	q, t, data, ok := s.readRequest(w, r, func(*fpdispatch.AdmittedRequest) *requestError { return nil })
	if !ok {
		return
	}
	req, m, reqErr := s.parseChat(data)
	if reqErr != nil {
		s.writeRefusal(w, q.RequestID, reqErr)
		return
	}
	q.BodyHash = hashRequest([]byte(chatPath), data)
	tokens := fpprefix.EstimateTokens(req.PromptText())
	if refusal := s.admitRequest(&q, t, tokens); refusal != nil {
		s.writeLimitRefusal(w, q, refusal)
		return
	}
	defer s.releaseTeam(t.Name)
	if req.Stream {
		s.serveStream(w, r, q, req, m)
		return
	}
	s.serveBuffered(w, r, q, req, m)
}

// parseChat decodes a chat request, checks it against the configuration and clears the fields that
// callers may not set.
func (s *Server) parseChat(data []byte) (fpchat.Request, fpconfig.Model, *requestError) {
	var req fpchat.Request
	if err := json.Unmarshal(data, &req); err != nil {
		return req, fpconfig.Model{}, &requestError{http.StatusBadRequest, "bad_json", err.Error()}
	}
	m, ok := s.snapshots.Load().Config.Document.Model(req.Model)
	if !ok {
		return req, m, &requestError{http.StatusNotFound, "unknown_model", "the model is not declared"}
	}
	if _, ok := m.AdapterVersion(req.Adapter); !ok {
		return req, m, &requestError{http.StatusNotFound, "unknown_adapter", "the adapter is not declared"}
	}
	if len(req.Messages) == 0 {
		return req, m, &requestError{http.StatusBadRequest, "no_messages", "the request has no messages"}
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxOutputTokens {
		return req, m, &requestError{http.StatusBadRequest, "bad_max_tokens", "max_tokens is out of range"}
	}
	req.CacheSalt = ""
	req.Priority = 0
	req.ContinueFinalMessage = false
	return req, m, nil
}

// serveStream dispatches a chat request and streams the answer.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, q fpdispatch.AdmittedRequest, req fpchat.Request, m fpconfig.Model) {
	sink := &streamSink{
		writer:       w,
		controller:   http.NewResponseController(w),
		model:        m.Name,
		requestID:    q.RequestID,
		writeTimeout: s.settings.WriteTimeout,
		closed:       make(chan struct{}),
	}
	defer sink.close()
	var final fpdispatch.RequestResult
	if q.Idempotent {
		final = s.dispatcher.DispatchChat(r.Context(), q, req, m, sink)
		s.updateMissRatio(final.Usage.PromptTokens, final.Usage.PromptTokensDetails.CachedTokens)
	} else {
		result, first := s.dispatcher.DispatchChatOnce(r.Context(), q, req, m, sink)
		final.Outcome = result.Outcome
		final.Upstream = result.Upstream
		if !first && result.Outcome.Kind() == fpoutcome.Complete {
			sink.BeginAnswer(result.Upstream, "answer of an earlier attempt")
			_ = sink.WriteText(0, string(result.Body))
		}
	}
	s.logRequest(q, chatPath, final.Upstream, final.Outcome)
	if final.Outcome.Kind() == fpoutcome.Complete {
		sink.writeEnd(final.Usage)
		return
	}
	sink.writeError(q, final.Outcome)
}

// serveBuffered dispatches a chat request and writes the answer when it is complete.
func (s *Server) serveBuffered(w http.ResponseWriter, r *http.Request, q fpdispatch.AdmittedRequest, req fpchat.Request, m fpconfig.Model) {
	sink := &bufferSink{}
	var final fpdispatch.RequestResult
	var text string
	if q.Idempotent {
		final = s.dispatcher.DispatchChat(r.Context(), q, req, m, sink)
		s.updateMissRatio(final.Usage.PromptTokens, final.Usage.PromptTokensDetails.CachedTokens)
		text = sink.text.String()
	} else {
		result, _ := s.dispatcher.DispatchChatOnce(r.Context(), q, req, m, sink)
		final.Outcome = result.Outcome
		final.Upstream = result.Upstream
		text = string(result.Body)
	}
	s.logRequest(q, chatPath, final.Upstream, final.Outcome)
	if final.Outcome.Kind() != fpoutcome.Complete {
		writeFailure(w, q, final.Outcome)
		return
	}
	w.Header().Set(fpchat.UpstreamHeader, final.Upstream)
	w.Header().Set(fpchat.ReasonHeader, sink.reason)
	writeJSON(w, http.StatusOK, fpchat.NewWholeAnswer(q.RequestID, m.Name, text, final.Usage))
}

// BeginAnswer stores the upstream of the answer and the reason for its choice.
func (s *bufferSink) BeginAnswer(upstream, reason string) {
	s.upstream = upstream
	s.reason = reason
}

// WriteText appends to the text.
func (s *bufferSink) WriteText(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

// BeginAnswer writes the header of the stream and starts its heartbeats; only the first call has an
// effect.
func (s *streamSink) BeginAnswer(upstream, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begun = true
	h := s.writer.Header()
	h.Set("Content-Type", fpchat.EventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(fpchat.UpstreamHeader, upstream)
	h.Set(fpchat.ReasonHeader, reason)
	s.writer.WriteHeader(http.StatusOK)
	_ = s.controller.Flush()
	go s.sendHeartbeats()
}

// WriteText writes the next text. It fails if the caller reads nothing for the write timeout.
func (s *streamSink) WriteText(offset int, text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.textBytes = offset + len(text)
	return s.writeFlushed(func() error { return fpchat.WriteEvent(s.writer, fpchat.NewChunk(s.requestID, s.model, offset, text)) })
}

// writeFlushed writes one event with the write timeout and flushes it. The caller must hold mu.
func (s *streamSink) writeFlushed(writeEvent func() error) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if err := writeEvent(); err != nil {
		return err
	}
	return s.controller.Flush()
}

// sendHeartbeats writes a heartbeat every heartbeatInterval until the sink is closed.
func (s *streamSink) sendHeartbeats() {
	t := time.NewTicker(streamHeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.closed:
			return
		}
		s.mu.Lock()
		if !s.ended {
			_ = s.writeFlushed(func() error { _, err := io.WriteString(s.writer, fpchat.Heartbeat); return err })
		}
		s.mu.Unlock()
	}
}

// writeEnd writes the final event, which carries the answer's length and usage, and ends the
// stream.
func (s *streamSink) writeEnd(u fpchat.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.writeFlushed(func() error {
		if err := fpchat.WriteEvent(s.writer, fpchat.NewFinalChunk(s.requestID, s.model, s.textBytes, u)); err != nil {
			return err
		}
		return fpchat.WriteDone(s.writer)
	})
}

// writeError writes an error: as an HTTP status when the stream has not begun, as an event
// otherwise.
func (s *streamSink) writeError(q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if !s.begun {
		writeFailure(s.writer, q, o)
		return
	}
	data, err := json.Marshal(failureBody(q, o))
	if err != nil {
		return
	}
	_ = s.writeFlushed(func() error {
		_, err := s.writer.Write([]byte("data: " + string(data) + "\n\n"))
		return err
	})
}

// close stops the heartbeats.
func (s *streamSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	close(s.closed)
}
