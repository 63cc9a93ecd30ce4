package fpstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// attemptKept is how long an ended attempt can still be resumed.
	attemptKept = time.Minute
	// heartbeatEvery is the pace of heartbeats on a quiet stream.
	heartbeatEvery  = 500 * time.Millisecond
	defaultOutput   = 16
	maxPromptBytes  = 16 << 20
	tokenTextLength = 4
)

type (
	// EngineSettings describes an engine stand-in.
	EngineSettings struct {
		Name          string
		Model         string
		Weights       string
		ChecksFencing bool
		// WeightStore is the address that weights are fetched from; empty loads them at once.
		WeightStore string
		Sizes       fpengine.Settings
		// EventLoss is the share of cache events that are lost, from 0 to 1.
		EventLoss float64
		// EventLag is how late cache events can be read.
		EventLag time.Duration
		// ReportLag is how old load reports are.
		ReportLag time.Duration
		// CacheStore is the address that stored blocks are exported to; empty exports none.
		CacheStore string
	}

	// Engine serves the model engine's protocol around the engine model.
	Engine struct {
		settings    EngineSettings
		faults      faultSwitch
		mu          sync.Mutex
		model       *fpengine.Engine
		attempts    map[string]*attempt
		incarnation uint64
		weights     string
		loading     bool
		leaving     bool
		fencing     int64
		orders      []fpupstream.Order
		events      eventLog
		wake        chan struct{}
		counts      EngineCounts
		reports     []timedReport
	}

	timedReport struct {
		fpupstream.LoadReport
		at time.Time
	}

	// EngineCounts tells what the engine did.
	EngineCounts struct {
		Requests     int
		PromptTokens int
		CachedTokens int
		Resumes      int
		Cancels      int
		Runs         map[string]int
	}

	attempt struct {
		id      string
		seed    uint64
		prompt  int
		cached  int
		tokens  int
		from    int
		total   int
		ended   bool
		endedAt time.Time
		changed chan struct{}
	}
)

// NewEngine returns an engine with an empty cache; run it with Run.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{
		settings:    s,
		model:       fpengine.New(s.Sizes),
		attempts:    make(map[string]*attempt),
		incarnation: uint64(time.Now().UnixNano()),
		weights:     s.Weights,
		wake:        make(chan struct{}, 1),
		events:      eventLog{loss: s.EventLoss, lag: s.EventLag},
		counts:      EngineCounts{Runs: make(map[string]int)},
	}
}

// SetFaults changes how the engine misbehaves.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Crash drops all work and every cached block, as a crash and restart do.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Reset()
	e.incarnation++
	e.events.restart()
	for _, a := range e.attempts {
		close(a.changed)
	}
	e.attempts = make(map[string]*attempt)
}

// Hold keeps the engine from starting any prompt for a while.
func (e *Engine) Hold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Block(time.Now().Add(d))
}

// Run moves the engine's model along with the clock until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(e.advance(time.Now()))
		select {
		case <-t.C:
		case <-e.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.chat)
	m.HandleFunc("GET /v1/attempts/{id}", e.resume)
	m.HandleFunc("DELETE /v1/attempts/{id}", e.cancel)
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.lagging(time.Now())) })
	m.HandleFunc("GET /v1/events", e.serveEvents)
	m.HandleFunc("POST /v1/orders", e.order)
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	m.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		writeJSON(w, e.report())
	})
	m.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
		writeJSON(w, e.report())
	})
	return e.faults.wrap(m)
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Runs = make(map[string]int, len(e.counts.Runs))
	for k, n := range e.counts.Runs {
		c.Runs[k] = n
	}
	return c
}

func (e *Engine) report() fpupstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.model.Load(time.Now())
	return fpupstream.LoadReport{
		Name:                   e.settings.Name,
		Incarnation:            e.incarnation,
		Model:                  e.settings.Model,
		Weights:                e.weights,
		Loading:                e.loading,
		Leaving:                e.leaving,
		QueuedTokens:           l.QueuedTokens,
		QueuedSoon:             l.QueuedSoon,
		QueuedNow:              l.QueuedNow,
		Waiting:                l.Waiting,
		Running:                l.Running,
		PrefillTokensPerSecond: e.settings.Sizes.WithDefaults().PrefillTokensPerSecond,
	}
}

// lagging returns the newest report that is as old as the settings say; the
// engine's identity and whether it leaves or loads are never late.
func (e *Engine) lagging(now time.Time) fpupstream.LoadReport {
	fresh := e.report()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, timedReport{LoadReport: fresh, at: now})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
	}
	if now.Sub(e.reports[0].at) < e.settings.ReportLag {
		fresh.QueuedTokens, fresh.QueuedSoon, fresh.QueuedNow, fresh.Waiting, fresh.Running = 0, 0, 0, 0, 0
		return fresh
	}
	old := e.reports[0].LoadReport
	fresh.QueuedTokens, fresh.QueuedSoon, fresh.QueuedNow = old.QueuedTokens, old.QueuedSoon, old.QueuedNow
	fresh.Waiting, fresh.Running = old.Waiting, old.Running
	return fresh
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req fpchat.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Header.Get(fpchat.ImportHeader) != "" {
		e.importBlocks(r.Context(), chain(req.CacheSalt, req.Text()))
	}
	id := r.Header.Get(fpchat.AttemptHeader)
	a, status := e.admit(id, r.Header.Get(fpchat.RequestHeader), r.Header.Get(fpchat.WeightsHeader), req)
	if status != http.StatusOK {
		http.Error(w, "not run", status)
		return
	}
	e.answer(w, r, a, req.Stream, a.from*tokenTextLength)
}

// admit takes a request into the model, or returns the status of its refusal.
func (e *Engine) admit(id, request, weights string, req fpchat.Request) (*attempt, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return nil, http.StatusServiceUnavailable
	case e.loading || weights != "" && weights != e.weights:
		return nil, http.StatusConflict
	case req.Model != e.settings.Model:
		return nil, http.StatusNotFound
	}
	if a, ok := e.attempts[id]; ok {
		return a, http.StatusOK
	}
	text := req.Text()
	a := e.newAttempt(id, req, text)
	e.attempts[id] = a
	e.counts.Requests++
	e.counts.Runs[request]++
	e.apply(e.model.Submit(fpengine.Request{
		ID:       id,
		Keys:     chain(req.CacheSalt, text),
		Tokens:   a.prompt,
		Output:   a.total - a.from,
		Deadline: time.UnixMilli(req.Priority),
	}, time.Now()))
	e.signal()
	return a, http.StatusOK
}

func (e *Engine) newAttempt(id string, req fpchat.Request, text string) *attempt {
	a := &attempt{id: id, prompt: fpprefix.EstimateTokens(text), total: req.MaxTokens, changed: make(chan struct{})}
	if a.total == 0 {
		a.total = defaultOutput
	}
	seeded := text
	if n := len(req.Messages); req.ContinueFinalMessage && n > 0 {
		delivered := req.Messages[n-1].Content
		a.from = min(len(delivered)/tokenTextLength, a.total)
		seeded = text[:len(text)-len(delivered)-1]
	}
	a.seed = xxhash.Sum64String(seeded + e.weights)
	a.tokens = a.from
	return a
}

// chain returns the block keys under a salt, which is a prefix seed in hexadecimal.
func chain(salt, text string) []fpprefix.Key {
	seed, _ := strconv.ParseUint(salt, 16, 64)
	k := fpprefix.Key(seed)
	keys := make([]fpprefix.Key, 0, len(text)/fpprefix.BlockBytes)
	for len(text) >= fpprefix.BlockBytes {
		k = k.Next(text[:fpprefix.BlockBytes])
		keys = append(keys, k)
		text = text[fpprefix.BlockBytes:]
	}
	return keys
}

// advance moves the model to now and returns the time to its next event.
func (e *Engine) advance(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.model.Advance(now))
	e.forgetEnded(now)
	at, ok := e.model.Next()
	if !ok {
		return heartbeatEvery
	}
	return max(at.Sub(now), 0)
}

func (e *Engine) apply(events []fpengine.Event) {
	for _, v := range events {
		switch v.Kind {
		case fpengine.Stored, fpengine.Evicted:
			e.events.add(v)
			e.export(v)
			continue
		case fpengine.Started:
			e.started(v)
			continue
		}
		a, ok := e.attempts[v.ID]
		if !ok {
			continue
		}
		a.tokens = a.from + v.Tokens
		if v.Kind == fpengine.Finished {
			a.ended = true
			a.endedAt = v.At
		}
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

func (e *Engine) started(v fpengine.Event) {
	a, ok := e.attempts[v.ID]
	if !ok {
		return
	}
	a.cached = v.Cached
	e.counts.CachedTokens += v.Cached
	e.counts.PromptTokens += a.prompt
}

func (e *Engine) forgetEnded(now time.Time) {
	for id, a := range e.attempts {
		if a.ended && now.Sub(a.endedAt) > attemptKept {
			delete(e.attempts, id)
		}
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.attempts[r.PathValue("id")]
	e.counts.Resumes++
	e.mu.Unlock()
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil || offset < 0 {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	e.answer(w, r, a, true, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	e.counts.Cancels++
	e.model.Cancel(id)
	if a, ok := e.attempts[id]; ok {
		close(a.changed)
		delete(e.attempts, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

// tokenText returns the text of tokens from to to of an answer, which depends
// on the prompt and weights alone.
func tokenText(seed uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		h := seed ^ uint64(i)*0x9e3779b97f4a7c15
		h ^= h >> 29
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 32
		b.WriteByte(byte('a' + h%26))
		b.WriteByte(byte('a' + h/26%26))
		b.WriteByte(byte('a' + h/676%26))
		b.WriteByte(' ')
	}
	return b.String()
}

// textFrom returns the answer's text from an offset in bytes up to a token.
func (a *attempt) textFrom(offset, tokens int) string {
	first := offset / tokenTextLength
	if first >= tokens {
		return ""
	}
	return tokenText(a.seed, first, tokens)[offset-first*tokenTextLength:]
}
