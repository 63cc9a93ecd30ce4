package fpengine

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpheap"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// PrefillStarted reports that prefill began; from it on, events carry the cached prompt tokens.
	PrefillStarted EventKind = iota + 1
	// FirstToken reports the first token of an answer.
	FirstToken
	// TokensGenerated reports up to Settings.TokensPerEvent more tokens.
	TokensGenerated
	// Finished reports the end of an answer.
	Finished
	// BlockStored reports a block added to the cache.
	BlockStored
	// BlockEvicted reports a block evicted from the cache.
	BlockEvicted

	// QueuedSoonHorizon is how far ahead of now a deadline may lie to count in Load.QueuedSoon.
	QueuedSoonHorizon = 3 * time.Second
)

type (
	// EventKind is the kind of an Event.
	EventKind int

	// Settings holds the capacity and speed of an engine; zero fields take the defaults.
	Settings struct {
		PrefillTokensPerSecond float64
		CacheCapacityBlocks    int
		MaxRunning             int
		TokenInterval          time.Duration
		TokenIntervalPerStream time.Duration
		TokensPerEvent         int
	}

	// Request is one prompt with its length in tokens, the keys of its whole blocks and the length
	// of its answer. Requests are served by earliest deadline.
	Request struct {
		ID           string
		BlockKeys    []fpprefix.Key
		PromptTokens int
		OutputTokens int
		Deadline     time.Time
	}

	// Event reports progress of a request, with the prompt tokens found in the cache and the
	// answer's tokens so far, or a change of the cache.
	Event struct {
		At           time.Time
		Kind         EventKind
		RequestID    string
		CachedTokens int
		OutputTokens int
		BlockKey     fpprefix.Key
	}

	// Load is an engine's load report. QueuedNow counts the queued tokens whose deadline has
	// passed, QueuedSoon those whose deadline passes within QueuedSoonHorizon.
	Load struct {
		QueuedTokens int
		QueuedSoon   int
		QueuedNow    int
		Waiting      int
		Running      int
	}

	// Engine is one simulated engine; it is not safe for concurrent use.
	Engine struct {
		settings            Settings
		cache               *blockCache
		waiting             *fpheap.Heap[*job]
		prefilling          *job
		chunkEndsAt         time.Time
		running             []*job
		lastArrival         int
		prefillBlockedUntil time.Time
	}

	// job is a request with its progress in the engine.
	job struct {
		Request
		arrival         int
		prefilledTokens int
		cachedTokens    int
		prefillStarted  bool
		emittedTokens   int
		nextTokensAt    time.Time
	}
)

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.PrefillTokensPerSecond == 0 {
		s.PrefillTokensPerSecond = 20_000
	}
	if s.CacheCapacityBlocks == 0 {
		s.CacheCapacityBlocks = 200
	}
	if s.MaxRunning == 0 {
		s.MaxRunning = 64
	}
	if s.TokenInterval == 0 {
		s.TokenInterval = 12 * time.Millisecond
	}
	if s.TokenIntervalPerStream == 0 {
		s.TokenIntervalPerStream = 300 * time.Microsecond
	}
	if s.TokensPerEvent == 0 {
		s.TokensPerEvent = 1
	}
	return s
}

// New returns an engine with an empty cache.
func New(s Settings) *Engine {
	s = s.WithDefaults()
	return &Engine{settings: s, cache: newBlockCache(s.CacheCapacityBlocks), waiting: fpheap.New(earlierDeadlineFirst)}
}

// earlierDeadlineFirst orders jobs by deadline, then by arrival.
func earlierDeadlineFirst(a, b *job) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.arrival < b.arrival
}

// Submit queues a request that arrives at now and returns the events if its prefill starts at once.
func (e *Engine) Submit(r Request, now time.Time) []Event {
	e.lastArrival++
	e.waiting.Push(&job{Request: r, arrival: e.lastArrival})
	return e.startChunk(now)
}

// Cancel removes a waiting or running request; an unknown ID is ignored.
func (e *Engine) Cancel(id string) {
	e.waiting.DeleteFunc(func(j *job) bool { return j.ID == id })
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.ID == id })
	if e.prefilling != nil && e.prefilling.ID == id {
		e.prefilling = nil
	}
}

// BlockPrefillUntil keeps the engine from starting prefill before t, as loading weights does.
func (e *Engine) BlockPrefillUntil(t time.Time) { e.prefillBlockedUntil = t }

// Reset empties the cache and drops all requests, as a crash or new weights do.
func (e *Engine) Reset() {
	s := e.settings
	blockedUntil := e.prefillBlockedUntil
	*e = *New(s)
	e.prefillBlockedUntil = blockedUntil
}

// ImportBlocks adds blocks fetched from a cache store.
func (e *Engine) ImportBlocks(keys []fpprefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		e.cache.insert(keys[i])
	}
}

// CachedPrefixBlocks returns how many leading blocks are cached, without changing their recency.
func (e *Engine) CachedPrefixBlocks(keys []fpprefix.Key) int { return e.cache.peekPrefix(keys) }

// NextEventTime returns the time of the next event and whether there is one.
func (e *Engine) NextEventTime() (time.Time, bool) {
	var at time.Time
	found := false
	if e.prefilling != nil {
		at, found = e.chunkEndsAt, true
	}
	for _, j := range e.running {
		if !found || j.nextTokensAt.Before(at) {
			at, found = j.nextTokensAt, true
		}
	}
	if e.prefilling == nil && e.waiting.Len() > 0 && len(e.running) < e.settings.MaxRunning {
		if !found || e.prefillBlockedUntil.Before(at) {
			at, found = e.prefillBlockedUntil, true
		}
	}
	return at, found
}

// AdvanceTo processes all events up to now and returns them in order.
func (e *Engine) AdvanceTo(now time.Time) []Event {
	var out []Event
	for {
		at, ok := e.NextEventTime()
		if !ok || at.After(now) {
			return out
		}
		out = append(out, e.processNextEvent(at)...)
	}
}

// Load returns the engine's load at now; a started prefill counts with its remaining tokens.
func (e *Engine) Load(now time.Time) Load {
	l := Load{Waiting: e.waiting.Len(), Running: len(e.running)}
	add := func(tokens int, deadline time.Time) {
		l.QueuedTokens += tokens
		if !deadline.After(now.Add(QueuedSoonHorizon)) {
			l.QueuedSoon += tokens
		}
		if !deadline.After(now) {
			l.QueuedNow += tokens
		}
	}
	for _, j := range e.waiting.Items() {
		add(j.remainingPrefillTokens(e.cache), j.Deadline)
	}
	if e.prefilling != nil {
		add(e.prefilling.PromptTokens-e.prefilling.prefilledTokens, e.prefilling.Deadline)
	}
	return l
}

// QueuedTokensBefore returns the prefill tokens queued ahead of a new request with this deadline,
// given the present cache contents.
func (e *Engine) QueuedTokensBefore(deadline time.Time) int {
	sum := 0
	if e.prefilling != nil {
		sum += e.prefilling.PromptTokens - e.prefilling.prefilledTokens
	}
	for _, j := range e.waiting.Items() {
		if !j.Deadline.After(deadline) {
			sum += j.remainingPrefillTokens(e.cache)
		}
	}
	return sum
}

// remainingPrefillTokens returns the prompt tokens still to be computed; before prefill starts it
// discounts the blocks cached at present.
func (j *job) remainingPrefillTokens(c *blockCache) int {
	if j.prefillStarted {
		return j.PromptTokens - j.prefilledTokens
	}
	return j.PromptTokens - c.peekPrefix(j.BlockKeys)*fpprefix.BlockTokens
}

func (e *Engine) processNextEvent(at time.Time) []Event {
	if e.prefilling != nil && !e.chunkEndsAt.After(at) {
		return e.endChunk(at)
	}
	for _, j := range e.running {
		if !j.nextTokensAt.After(at) {
			return e.emitTokens(j, at)
		}
	}
	return e.startChunk(at)
}

// startChunk starts a prefill chunk of the request with the earliest deadline, unless a chunk is in
// progress, the batch is full or prefill is blocked.
func (e *Engine) startChunk(now time.Time) []Event {
	if e.prefilling != nil || e.waiting.Len() == 0 || len(e.running) >= e.settings.MaxRunning || now.Before(e.prefillBlockedUntil) {
		return nil
	}
	j := e.waiting.Pop()
	var out []Event
	if !j.prefillStarted {
		j.prefillStarted = true
		blocks := e.cache.matchPrefix(j.BlockKeys)
		j.cachedTokens = blocks * fpprefix.BlockTokens
		j.prefilledTokens = j.cachedTokens
		out = append(out, Event{At: now, Kind: PrefillStarted, RequestID: j.ID, CachedTokens: j.cachedTokens})
	}
	e.prefilling = j
	chunk := min(j.PromptTokens-j.prefilledTokens, fpprefix.BlockTokens)
	e.chunkEndsAt = now.Add(time.Duration(float64(max(chunk, 1)) / e.settings.PrefillTokensPerSecond * float64(time.Second)))
	return out
}

// endChunk caches the chunk's block and either queues the request for its next chunk or emits its
// first token.
func (e *Engine) endChunk(at time.Time) []Event {
	j := e.prefilling
	e.prefilling = nil
	var out []Event
	if block := j.prefilledTokens / fpprefix.BlockTokens; block < len(j.BlockKeys) {
		out = e.storeBlock(j.BlockKeys[block], at)
	}
	j.prefilledTokens = min(j.prefilledTokens+fpprefix.BlockTokens, j.PromptTokens)
	if j.prefilledTokens < j.PromptTokens {
		e.waiting.Push(j)
		return append(out, e.startChunk(at)...)
	}
	e.cache.touch(j.BlockKeys)
	out = append(out, Event{At: at, Kind: FirstToken, RequestID: j.ID, CachedTokens: j.cachedTokens, OutputTokens: 1})
	j.emittedTokens = 1
	if j.OutputTokens <= 1 {
		out = append(out, Event{At: at, Kind: Finished, RequestID: j.ID, CachedTokens: j.cachedTokens, OutputTokens: j.emittedTokens})
	} else {
		e.running = append(e.running, j)
		j.nextTokensAt = at.Add(e.nextTokensInterval(j))
	}
	return append(out, e.startChunk(at)...)
}

func (e *Engine) storeBlock(k fpprefix.Key, at time.Time) []Event {
	out := []Event{{At: at, Kind: BlockStored, BlockKey: k}}
	for _, victim := range e.cache.insert(k) {
		out = append(out, Event{At: at, Kind: BlockEvicted, BlockKey: victim})
	}
	return out
}

// nextTokensInterval returns the time until the next TokensGenerated event of a job; tokens take
// longer the more answers run.
func (e *Engine) nextTokensInterval(j *job) time.Duration {
	tokens := min(e.settings.TokensPerEvent, j.OutputTokens-j.emittedTokens)
	perToken := e.settings.TokenInterval + e.settings.TokenIntervalPerStream*time.Duration(len(e.running))
	return perToken * time.Duration(tokens)
}

func (e *Engine) emitTokens(j *job, at time.Time) []Event {
	j.emittedTokens = min(j.emittedTokens+e.settings.TokensPerEvent, j.OutputTokens)
	out := []Event{{At: at, Kind: TokensGenerated, RequestID: j.ID, CachedTokens: j.cachedTokens, OutputTokens: j.emittedTokens}}
	if j.emittedTokens < j.OutputTokens {
		j.nextTokensAt = at.Add(e.nextTokensInterval(j))
		return out
	}
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	out = append(out, Event{At: at, Kind: Finished, RequestID: j.ID, CachedTokens: j.cachedTokens, OutputTokens: j.emittedTokens})
	return append(out, e.startChunk(at)...)
}
