package fpstandin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

type (
	// Service is a plain service (not a model engine) that counts how often each request ran.
	Service struct {
		name          string
		callDuration  time.Duration
		faults        faultInjector
		mu            sync.Mutex
		runCounts     map[string]int
		runsByAttempt map[string]*serviceRun
		leaving       bool
		incarnation   uint64
		inFlight      int
	}

	// ServiceAnswer is the plain service's answer; Run is the number of times the request has run.
	ServiceAnswer struct {
		Service   string
		RequestID string
		Run       int
		Echo      string
	}

	// serviceRun is one execution of a request; done is closed at its end.
	serviceRun struct {
		done   chan struct{}
		answer ServiceAnswer
	}
)

// NewService returns a plain service whose calls take the given time.
func NewService(name string, callDuration time.Duration) *Service {
	return &Service{
		name:          name,
		callDuration:  callDuration,
		runCounts:     make(map[string]int),
		runsByAttempt: make(map[string]*serviceRun),
		incarnation:   uint64(time.Now().UnixNano()),
	}
}

// SetFaults sets the faults that the service injects.
func (s *Service) SetFaults(f Faults) { s.faults.setFaults(f) }

// RunsByRequest returns how often each request ran, by request ID.
func (s *Service) RunsByRequest() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runCounts))
	for id, n := range s.runCounts {
		out[id] = n
	}
	return out
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.RunsByRequest()) })
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.loadReport()) })
	m.HandleFunc("GET /v1/attempts/{id}", s.serveAttempt)
	m.HandleFunc("/", s.serveCall)
	return s.faults.wrapHandler(withLeaving(m, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.leaving
	}))
}

func (s *Service) loadReport() fpupstream.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fpupstream.LoadReport{Name: s.name, Incarnation: s.incarnation, Leaving: s.leaving, Running: s.inFlight}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(fpchat.AttemptHeader)
	run := s.beginRun(id, r.Header.Get(fpchat.RequestHeader), string(body))
	time.Sleep(s.callDuration)
	s.endRun(run)
	answer := run.answer
	if s.faults.consumeFault(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "crossed-" + id
		answer = ServiceAnswer{Service: s.name, RequestID: "crossed", Echo: "another request's answer"}
	}
	w.Header().Set(fpchat.AttemptHeader, id)
	writeJSON(w, answer)
}

func (s *Service) beginRun(attemptID, requestID, body string) *serviceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runCounts[requestID]++
	run := &serviceRun{
		done:   make(chan struct{}),
		answer: ServiceAnswer{Service: s.name, RequestID: requestID, Run: s.runCounts[requestID], Echo: body},
	}
	s.runsByAttempt[attemptID] = run
	return run
}

func (s *Service) endRun(run *serviceRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	close(run.done)
}

// serveAttempt returns an attempt's answer; it waits for the end of an attempt that still runs.
func (s *Service) serveAttempt(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	run, ok := s.runsByAttempt[id]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	select {
	case <-run.done:
	case <-r.Context().Done():
		return
	}
	w.Header().Set(fpchat.AttemptHeader, id)
	writeJSON(w, run.answer)
}
