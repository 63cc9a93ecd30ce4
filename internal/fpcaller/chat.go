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
	heartbeatEvery  = 500 * time.Millisecond
	chatPath        = "/v1/chat/completions"
	maxOutputTokens = 1 << 17
)

type (
	// streamSink writes an answer as server-sent events as it comes.
	streamSink struct {
		mu      sync.Mutex
		w       http.ResponseWriter
		control *http.ResponseController
		model   string
		id      string
		timeout time.Duration
		total   int
		begun   bool
		ended   bool
		stop    chan struct{}
	}

	// wholeSink collects an answer that is sent at its end.
	wholeSink struct {
		text     strings.Builder
		upstream string
		reason   string
	}
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	q, t, data, ok := s.begin(w, r, func(*fpdispatch.AdmittedRequest) *fault { return nil })
	if !ok {
		return
	}
	req, m, f := s.parse(data)
	if f != nil {
		s.refuse(w, q.RequestID, f)
		return
	}
	q.BodyHash = hashBody([]byte(chatPath), data)
	tokens := fpprefix.EstimateTokens(req.PromptText())
	if refusal := s.admit(&q, t, tokens); refusal != nil {
		s.limited(w, q, refusal)
		return
	}
	defer s.done(t.Name)
	if req.Stream {
		s.streamed(w, r, q, req, m)
		return
	}
	s.whole(w, r, q, req, m)
}

// parse checks a chat request against the configuration.
func (s *Server) parse(data []byte) (fpchat.Request, fpconfig.Model, *fault) {
	var req fpchat.Request
	if err := json.Unmarshal(data, &req); err != nil {
		return req, fpconfig.Model{}, &fault{http.StatusBadRequest, "bad_json", err.Error()}
	}
	m, ok := s.state.Load().Config.Document.Model(req.Model)
	if !ok {
		return req, m, &fault{http.StatusNotFound, "unknown_model", "the model is not declared"}
	}
	if _, ok := m.AdapterVersion(req.Adapter); !ok {
		return req, m, &fault{http.StatusNotFound, "unknown_adapter", "the adapter is not declared"}
	}
	if len(req.Messages) == 0 {
		return req, m, &fault{http.StatusBadRequest, "no_messages", "the request has no messages"}
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxOutputTokens {
		return req, m, &fault{http.StatusBadRequest, "bad_max_tokens", "max_tokens is out of range"}
	}
	req.CacheSalt = ""
	req.Priority = 0
	req.ContinueFinalMessage = false
	return req, m, nil
}

func (s *Server) streamed(w http.ResponseWriter, r *http.Request, q fpdispatch.AdmittedRequest, req fpchat.Request, m fpconfig.Model) {
	sink := &streamSink{
		w:       w,
		control: http.NewResponseController(w),
		model:   m.Name,
		id:      q.RequestID,
		timeout: s.settings.WriteTimeout,
		stop:    make(chan struct{}),
	}
	defer sink.close()
	var final fpdispatch.RequestResult
	if q.Idempotent {
		final = s.dispatcher.DispatchChat(r.Context(), q, req, m, sink)
		s.learnMisses(final.Usage.PromptTokens, final.Usage.PromptTokensDetails.CachedTokens)
	} else {
		result, first := s.dispatcher.DispatchChatOnce(r.Context(), q, req, m, sink)
		final.Outcome = result.Outcome
		final.Upstream = result.Upstream
		if !first && result.Outcome.Kind() == fpoutcome.Complete {
			sink.BeginAnswer(result.Upstream, "answer of an earlier attempt")
			_ = sink.WriteText(0, string(result.Body))
		}
	}
	s.log(q, chatPath, final.Upstream, final.Outcome)
	if final.Outcome.Kind() == fpoutcome.Complete {
		sink.end(final.Usage)
		return
	}
	sink.fail(q, final.Outcome)
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, q fpdispatch.AdmittedRequest, req fpchat.Request, m fpconfig.Model) {
	sink := &wholeSink{}
	var final fpdispatch.RequestResult
	var text string
	if q.Idempotent {
		final = s.dispatcher.DispatchChat(r.Context(), q, req, m, sink)
		s.learnMisses(final.Usage.PromptTokens, final.Usage.PromptTokensDetails.CachedTokens)
		text = sink.text.String()
	} else {
		result, _ := s.dispatcher.DispatchChatOnce(r.Context(), q, req, m, sink)
		final.Outcome = result.Outcome
		final.Upstream = result.Upstream
		text = string(result.Body)
	}
	s.log(q, chatPath, final.Upstream, final.Outcome)
	if final.Outcome.Kind() != fpoutcome.Complete {
		failed(w, q, final.Outcome)
		return
	}
	w.Header().Set(fpchat.UpstreamHeader, final.Upstream)
	w.Header().Set(fpchat.ReasonHeader, sink.reason)
	writeJSON(w, http.StatusOK, fpchat.NewWholeAnswer(q.RequestID, m.Name, text, final.Usage))
}

// BeginAnswer keeps where the answer comes from.
func (b *wholeSink) BeginAnswer(upstream, reason string) {
	b.upstream = upstream
	b.reason = reason
}

// WriteText keeps the text.
func (b *wholeSink) WriteText(_ int, text string) error {
	b.text.WriteString(text)
	return nil
}

// BeginAnswer starts the stream and its heartbeats.
func (b *streamSink) BeginAnswer(upstream, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.begun {
		return
	}
	b.begun = true
	h := b.w.Header()
	h.Set("Content-Type", fpchat.EventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(fpchat.UpstreamHeader, upstream)
	h.Set(fpchat.ReasonHeader, reason)
	b.w.WriteHeader(http.StatusOK)
	_ = b.control.Flush()
	go b.beat()
}

// WriteText sends the next text; a caller that does not read for the write timeout is given up.
func (b *streamSink) WriteText(offset int, text string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = offset + len(text)
	return b.write(func() error { return fpchat.WriteEvent(b.w, fpchat.NewChunk(b.id, b.model, offset, text)) })
}

// write sends one event; the lock is held.
func (b *streamSink) write(send func() error) error {
	_ = b.control.SetWriteDeadline(time.Now().Add(b.timeout))
	if err := send(); err != nil {
		return err
	}
	return b.control.Flush()
}

func (b *streamSink) beat() {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-b.stop:
			return
		}
		b.mu.Lock()
		if !b.ended {
			_ = b.write(func() error { _, err := io.WriteString(b.w, fpchat.Heartbeat); return err })
		}
		b.mu.Unlock()
	}
}

// end states the answer's total and ends the stream.
func (b *streamSink) end(u fpchat.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.write(func() error {
		if err := fpchat.WriteEvent(b.w, fpchat.NewFinalChunk(b.id, b.model, b.total, u)); err != nil {
			return err
		}
		return fpchat.WriteDone(b.w)
	})
}

// fail answers with an error: as a status when nothing was sent, as an event otherwise.
func (b *streamSink) fail(q fpdispatch.AdmittedRequest, o fpoutcome.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if !b.begun {
		failed(b.w, q, o)
		return
	}
	data, err := json.Marshal(bodyOf(q, o))
	if err != nil {
		return
	}
	_ = b.write(func() error {
		_, err := b.w.Write([]byte("data: " + string(data) + "\n\n"))
		return err
	})
}

// close stops the heartbeats.
func (b *streamSink) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	close(b.stop)
}
