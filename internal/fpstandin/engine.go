package fpstandin

import (
	"context"
	"encoding/json"
	"io"
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
	// endedAttemptTTL is how long an ended attempt can still be resumed.
	endedAttemptTTL = time.Minute
	// heartbeatInterval is the time between heartbeats on a stream without new tokens.
	heartbeatInterval   = 500 * time.Millisecond
	defaultOutputTokens = 16
	maxChatBodyBytes    = 16 << 20
	tokenTextBytes      = 4
)

type (
	// EngineSettings configures an engine stand-in.
	EngineSettings struct {
		Name    string
		Model   string
		Weights string
		// SoftwareVersion is what the engine tells in reports and answers; if empty, it tells none.
		SoftwareVersion string
		ChecksFencing   bool
		// WeightStoreAddress is where weights are fetched from; if empty, weights load at once.
		WeightStoreAddress string
		Capacity           fpengine.Settings
		// EventLossRatio is the fraction of cache events that are lost, from 0 to 1.
		EventLossRatio float64
		// EventLag is the delay until a cache event can be read.
		EventLag time.Duration
		// ReportLag is the minimum age of the queue lengths in load reports.
		ReportLag time.Duration
		// CacheStoreAddress is the cache store that blocks are exported to and imported from; if
		// empty, neither is done.
		CacheStoreAddress string
	}

	// Engine serves the model engine's protocol on top of a simulated engine.
	Engine struct {
		settings            EngineSettings
		faults              faultInjector
		mu                  sync.Mutex
		engine              *fpengine.Engine
		attempts            map[string]*attempt
		incarnation         uint64
		weights             string
		softwareVersion     string
		loading             bool
		leaving             bool
		highestFencingToken int64
		acceptedOrders      []fpupstream.Order
		cacheEvents         eventLog
		wake                chan struct{}
		counts              EngineCounts
		loadReports         []timedReport
	}

	timedReport struct {
		fpupstream.LoadReport
		at time.Time
	}

	// EngineCounts counts what the engine did; Runs counts by request ID.
	EngineCounts struct {
		Requests     int
		PromptTokens int
		CachedTokens int
		Resumes      int
		Cancels      int
		Runs         map[string]int
	}

	// attempt is the state of one attempt's answer. Tokens before firstToken were delivered by an
	// earlier attempt; changed is closed whenever the state changes.
	attempt struct {
		id              string
		textSeed        uint64
		promptTokens    int
		cachedTokens    int
		availableTokens int
		firstToken      int
		totalTokens     int
		ended           bool
		endedAt         time.Time
		changed         chan struct{}
	}
)

// NewEngine returns an engine with an empty cache; it makes progress while Run runs.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{
		settings:        s,
		engine:          fpengine.New(s.Capacity),
		attempts:        make(map[string]*attempt),
		incarnation:     uint64(time.Now().UnixNano()),
		weights:         s.Weights,
		softwareVersion: s.SoftwareVersion,
		wake:            make(chan struct{}, 1),
		cacheEvents:     eventLog{lossRatio: s.EventLossRatio, lag: s.EventLag},
		counts:          EngineCounts{Runs: make(map[string]int)},
	}
}

// SetFaults sets the faults that the engine injects.
func (e *Engine) SetFaults(f Faults) { e.faults.setFaults(f) }

// SetSoftwareVersion changes the software version, as a restart in place with another build that takes
// over the attempts does.
func (e *Engine) SetSoftwareVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.softwareVersion = version
}

func (e *Engine) currentSoftwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.softwareVersion
}

// Crash drops all attempts and every cached block, as a crash and restart do.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engine.Reset()
	e.incarnation++
	e.cacheEvents.reset()
	for _, a := range e.attempts {
		close(a.changed)
	}
	e.attempts = make(map[string]*attempt)
}

// BlockPrefill keeps the engine from starting prefill for d.
func (e *Engine) BlockPrefill(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engine.BlockPrefillUntil(time.Now().Add(d))
}

// Run advances the simulated engine with the clock until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(e.advanceEngine(time.Now()))
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
	m.HandleFunc("POST /v1/chat/completions", e.serveChat)
	m.HandleFunc("GET /v1/attempts/{id}", e.serveResume)
	m.HandleFunc("DELETE /v1/attempts/{id}", e.serveCancel)
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.delayedLoadReport(time.Now())) })
	m.HandleFunc("GET /v1/events", e.serveEvents)
	m.HandleFunc("POST /v1/orders", e.serveOrder)
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	m.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		writeJSON(w, e.loadReport())
	})
	m.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
		writeJSON(w, e.loadReport())
	})
	return e.faults.wrapHandler(withLeaving(m, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.leaving
	}))
}

// Counts returns a copy of the engine's counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Runs = make(map[string]int, len(e.counts.Runs))
	for id, n := range e.counts.Runs {
		c.Runs[id] = n
	}
	return c
}

func (e *Engine) loadReport() fpupstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.engine.Load(time.Now())
	return fpupstream.LoadReport{
		Name:                   e.settings.Name,
		Incarnation:            e.incarnation,
		Model:                  e.settings.Model,
		Weights:                e.weights,
		SoftwareVersion:        e.softwareVersion,
		Loading:                e.loading,
		Leaving:                e.leaving,
		QueuedTokens:           l.QueuedTokens,
		QueuedSoon:             l.QueuedSoon,
		QueuedNow:              l.QueuedNow,
		Waiting:                l.Waiting,
		Running:                l.Running,
		PrefillTokensPerSecond: e.settings.Capacity.WithDefaults().PrefillTokensPerSecond,
	}
}

// delayedLoadReport returns the newest load report that is at least ReportLag old. Only the queue
// lengths are delayed; the engine's identity and whether it leaves or loads are current.
func (e *Engine) delayedLoadReport(now time.Time) fpupstream.LoadReport {
	current := e.loadReport()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadReports = append(e.loadReports, timedReport{LoadReport: current, at: now})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.settings.ReportLag {
		e.loadReports = e.loadReports[1:]
	}
	if now.Sub(e.loadReports[0].at) < e.settings.ReportLag {
		current.QueuedTokens, current.QueuedSoon, current.QueuedNow, current.Waiting, current.Running = 0, 0, 0, 0, 0
		return current
	}
	delayed := e.loadReports[0].LoadReport
	current.QueuedTokens, current.QueuedSoon, current.QueuedNow = delayed.QueuedTokens, delayed.QueuedSoon, delayed.QueuedNow
	current.Waiting, current.Running = delayed.Waiting, delayed.Running
	return current
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req fpchat.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Header.Get(fpchat.ImportHeader) != "" {
		e.importBlocks(r.Context(), blockKeys(req.CacheSalt, req.PromptText()))
	}
	id := r.Header.Get(fpchat.AttemptHeader)
	a, status := e.admitAttempt(id, r.Header.Get(fpchat.RequestHeader), r.Header.Get(fpchat.WeightsHeader), req)
	if status != http.StatusOK {
		w.Header().Set(fpchat.AttemptHeader, id)
		http.Error(w, "not run", status)
		return
	}
	e.serveAnswer(w, r, a, req.Stream, a.firstToken*tokenTextBytes)
}

// admitAttempt submits a request to the simulated engine, or returns the HTTP status of its
// refusal. An attempt with a known ID joins the one that exists.
func (e *Engine) admitAttempt(id, requestID, weights string, req fpchat.Request) (*attempt, int) {
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
	text := req.PromptText()
	a := e.newAttempt(id, req, text)
	e.attempts[id] = a
	e.counts.Requests++
	e.counts.Runs[requestID]++
	e.applyEvents(e.engine.Submit(fpengine.Request{
		ID:           id,
		BlockKeys:    blockKeys(req.CacheSalt, text),
		PromptTokens: a.promptTokens,
		OutputTokens: a.totalTokens - a.firstToken,
		Deadline:     time.UnixMilli(req.Priority),
	}, time.Now()))
	e.wakeRunLoop()
	return a, http.StatusOK
}

// newAttempt returns the state of a new answer. Its text depends on the prompt, the weights
// and the software version alone, without the part that an earlier attempt delivered, so that a continuation yields the same
// text.
func (e *Engine) newAttempt(id string, req fpchat.Request, text string) *attempt {
	a := &attempt{id: id, promptTokens: fpprefix.EstimateTokens(text), totalTokens: req.MaxTokens, changed: make(chan struct{})}
	if a.totalTokens == 0 {
		a.totalTokens = defaultOutputTokens
	}
	seedText := text
	if n := len(req.Messages); req.ContinueFinalMessage && n > 0 {
		delivered := req.Messages[n-1].Content
		a.firstToken = min(len(delivered)/tokenTextBytes, a.totalTokens)
		seedText = text[:len(text)-len(delivered)-1]
	}
	a.textSeed = xxhash.Sum64String(seedText + e.weights + e.softwareVersion)
	a.availableTokens = a.firstToken
	return a
}

// blockKeys returns the keys of a text's whole blocks under a cache salt, which is the prefix seed
// in hexadecimal.
func blockKeys(salt, text string) []fpprefix.Key {
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

// advanceEngine advances the simulated engine to now and returns the time until its next event.
func (e *Engine) advanceEngine(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyEvents(e.engine.AdvanceTo(now))
	e.dropEndedAttempts(now)
	at, ok := e.engine.NextEventTime()
	if !ok {
		return heartbeatInterval
	}
	return max(at.Sub(now), 0)
}

// applyEvents updates the attempts, and logs and exports changes of the cache.
func (e *Engine) applyEvents(events []fpengine.Event) {
	for _, v := range events {
		switch v.Kind {
		case fpengine.BlockStored, fpengine.BlockEvicted:
			e.cacheEvents.appendEvent(v)
			e.exportBlock(v)
			continue
		case fpengine.PrefillStarted:
			e.recordPrefillStart(v)
			continue
		}
		a, ok := e.attempts[v.RequestID]
		if !ok {
			continue
		}
		a.availableTokens = a.firstToken + v.OutputTokens
		if v.Kind == fpengine.Finished {
			a.ended = true
			a.endedAt = v.At
		}
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

func (e *Engine) recordPrefillStart(v fpengine.Event) {
	a, ok := e.attempts[v.RequestID]
	if !ok {
		return
	}
	a.cachedTokens = v.CachedTokens
	e.counts.CachedTokens += v.CachedTokens
	e.counts.PromptTokens += a.promptTokens
}

func (e *Engine) dropEndedAttempts(now time.Time) {
	for id, a := range e.attempts {
		if a.ended && now.Sub(a.endedAt) > endedAttemptTTL {
			delete(e.attempts, id)
		}
	}
}

func (e *Engine) wakeRunLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.attempts[r.PathValue("id")]
	e.counts.Resumes++
	e.mu.Unlock()
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil || offset < 0 {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	if e.faults.consumeFault(func(f *Faults) *int { return &f.FailedResumes }) {
		w.Header().Set(fpchat.AttemptHeader, a.id)
		http.Error(w, "failed\n", http.StatusInternalServerError)
		return
	}
	if e.faults.consumeFault(func(f *Faults) *int { return &f.ResumePages }) {
		w.Header().Set(fpchat.AttemptHeader, a.id)
		_, _ = io.WriteString(w, "<p>failed</p>\n\ndata: <p>failed</p>\n\n")
		return
	}
	e.serveAnswer(w, r, a, true, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	e.counts.Cancels++
	e.engine.Cancel(id)
	if a, ok := e.attempts[id]; ok {
		close(a.changed)
		delete(e.attempts, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

// tokenText returns the text of the tokens in [first, end) of an answer, which depends on the seed
// alone. Each token is three letters and a space.
func tokenText(seed uint64, first, end int) string {
	var b strings.Builder
	for i := first; i < end; i++ {
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

// textFrom returns the answer's text from a byte offset up to the end of the first so many tokens.
func (a *attempt) textFrom(offset, tokens int) string {
	first := offset / tokenTextBytes
	if first >= tokens {
		return ""
	}
	return tokenText(a.textSeed, first, tokens)[offset-first*tokenTextBytes:]
}
