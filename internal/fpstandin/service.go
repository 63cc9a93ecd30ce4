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
	// Service is a plain service that counts how often each request ran.
	Service struct {
		name     string
		work     time.Duration
		faults   faultSwitch
		mu       sync.Mutex
		runs     map[string]int
		answers  map[string]*serviceRun
		leaving  bool
		started  uint64
		inFlight int
	}

	// ServiceAnswer is what the plain service answers.
	ServiceAnswer struct {
		Service   string
		RequestID string
		Run       int
		Echo      string
	}

	serviceRun struct {
		done   chan struct{}
		answer ServiceAnswer
	}
)

// NewService returns a plain service whose calls take the given time.
func NewService(name string, work time.Duration) *Service {
	return &Service{
		name:    name,
		work:    work,
		runs:    make(map[string]int),
		answers: make(map[string]*serviceRun),
		started: uint64(time.Now().UnixNano()),
	}
}

// SetFaults changes how the service misbehaves.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// Runs returns how often each request ID ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.load()) })
	m.HandleFunc("GET /v1/attempts/{id}", s.ask)
	m.HandleFunc("/", s.call)
	return s.faults.wrap(m)
}

func (s *Service) load() fpupstream.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fpupstream.LoadReport{Name: s.name, Incarnation: s.started, Leaving: s.leaving, Running: s.inFlight}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(fpchat.AttemptHeader)
	run := s.begin(id, r.Header.Get(fpchat.RequestHeader), string(body))
	time.Sleep(s.work)
	s.end(run)
	answer := run.answer
	if s.faults.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "crossed-" + id
		answer = ServiceAnswer{Service: s.name, RequestID: "crossed", Echo: "another request's answer"}
	}
	w.Header().Set(fpchat.AttemptHeader, id)
	writeJSON(w, answer)
}

func (s *Service) begin(attempt, request, body string) *serviceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runs[request]++
	run := &serviceRun{
		done:   make(chan struct{}),
		answer: ServiceAnswer{Service: s.name, RequestID: request, Run: s.runs[request], Echo: body},
	}
	s.answers[attempt] = run
	return run
}

func (s *Service) end(run *serviceRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	close(run.done)
}

// ask returns an attempt's answer, waiting for it while it runs.
func (s *Service) ask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	run, ok := s.answers[id]
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
