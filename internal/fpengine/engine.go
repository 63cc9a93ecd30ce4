package fpengine

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpheap"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// Started marks that prefill began; Cached is known from here on.
	Started Kind = iota + 1
	// FirstToken marks the first token of an answer.
	FirstToken
	// Token marks Settings.TokensPerEvent more tokens.
	Token
	// Finished marks the end of an answer.
	Finished
	// Stored marks a block that is now cached.
	Stored
	// Evicted marks a block that is no longer cached.
	Evicted

	// SoonHorizon is the time ahead that Load.QueuedSoon looks.
	SoonHorizon = 3 * time.Second
)

type (
	// Kind names what happened in the engine.
	Kind int

	// Settings sizes an engine; the zero value takes the defaults.
	Settings struct {
		PrefillTokensPerSecond float64
		CacheBlocks            int
		MaxRunning             int
		TokenInterval          time.Duration
		TokenIntervalPerStream time.Duration
		TokensPerEvent         int
	}

	// Request is one prompt; the earlier deadline goes first. Keys are those of its whole blocks.
	Request struct {
		ID       string
		Keys     []fpprefix.Key
		Tokens   int
		Output   int
		Deadline time.Time
	}

	// Event is something that happened; Tokens counts the answer's tokens so far.
	Event struct {
		At     time.Time
		Kind   Kind
		ID     string
		Cached int
		Tokens int
		Key    fpprefix.Key
	}

	// Load is an engine's load report. QueuedNow and QueuedSoon count the tokens
	// whose deadline has passed or passes within SoonHorizon.
	Load struct {
		QueuedTokens int
		QueuedSoon   int
		QueuedNow    int
		Waiting      int
		Running      int
	}

	// Engine is one engine; it is not safe for concurrent use.
	Engine struct {
		settings Settings
		cache    *cache
		waiting  *fpheap.Heap[*job]
		current  *job
		chunkEnd time.Time
		running  []*job
		serial   int
		blocked  time.Time
	}

	job struct {
		Request
		serial  int
		done    int
		cached  int
		started bool
		emitted int
		nextAt  time.Time
	}
)

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.PrefillTokensPerSecond == 0 {
		s.PrefillTokensPerSecond = 20_000
	}
	if s.CacheBlocks == 0 {
		s.CacheBlocks = 200
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
	return &Engine{settings: s, cache: newCache(s.CacheBlocks), waiting: fpheap.New(urgent)}
}

// urgent reports whether a goes before b: by deadline, then by arrival.
func urgent(a, b *job) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.serial < b.serial
}

// Submit queues a request at time now.
func (e *Engine) Submit(r Request, now time.Time) []Event {
	e.serial++
	e.waiting.Push(&job{Request: r, serial: e.serial})
	return e.start(now)
}

// Cancel removes a request wherever it is; an unknown ID is ignored.
func (e *Engine) Cancel(id string) {
	e.waiting.DeleteFunc(func(j *job) bool { return j.ID == id })
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.ID == id })
	if e.current != nil && e.current.ID == id {
		e.current = nil
	}
}

// Block keeps the engine from starting prefill before t, as a load of weights does.
func (e *Engine) Block(t time.Time) { e.blocked = t }

// Reset empties the cache and drops all work, as a crash or new weights do.
func (e *Engine) Reset() {
	s := e.settings
	blocked := e.blocked
	*e = *New(s)
	e.blocked = blocked
}

// Import stores blocks fetched from elsewhere.
func (e *Engine) Import(keys []fpprefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		e.cache.store(keys[i])
	}
}

// Peek returns how many leading blocks are cached, without using them.
func (e *Engine) Peek(keys []fpprefix.Key) int { return e.cache.peek(keys) }

// Next returns the time of the next event, and whether there is one.
func (e *Engine) Next() (time.Time, bool) {
	var at time.Time
	found := false
	if e.current != nil {
		at, found = e.chunkEnd, true
	}
	for _, j := range e.running {
		if !found || j.nextAt.Before(at) {
			at, found = j.nextAt, true
		}
	}
	if e.current == nil && e.waiting.Len() > 0 && len(e.running) < e.settings.MaxRunning {
		if !found || e.blocked.Before(at) {
			at, found = e.blocked, true
		}
	}
	return at, found
}

// Advance moves the engine to now and returns what happened, in order.
func (e *Engine) Advance(now time.Time) []Event {
	var out []Event
	for {
		at, ok := e.Next()
		if !ok || at.After(now) {
			return out
		}
		out = append(out, e.step(at)...)
	}
}

// Load returns the engine's load at now; work under way counts with its rest.
func (e *Engine) Load(now time.Time) Load {
	l := Load{Waiting: e.waiting.Len(), Running: len(e.running)}
	add := func(tokens int, deadline time.Time) {
		l.QueuedTokens += tokens
		if !deadline.After(now.Add(SoonHorizon)) {
			l.QueuedSoon += tokens
		}
		if !deadline.After(now) {
			l.QueuedNow += tokens
		}
	}
	for _, j := range e.waiting.Items() {
		add(j.rest(e.cache), j.Deadline)
	}
	if e.current != nil {
		add(e.current.Tokens-e.current.done, e.current.Deadline)
	}
	return l
}

// Queued returns the tokens that stand before a new request of that deadline,
// with the cache as it is now.
func (e *Engine) Queued(deadline time.Time) int {
	sum := 0
	if e.current != nil {
		sum += e.current.Tokens - e.current.done
	}
	for _, j := range e.waiting.Items() {
		if !j.Deadline.After(deadline) {
			sum += j.rest(e.cache)
		}
	}
	return sum
}

func (j *job) rest(c *cache) int {
	if j.started {
		return j.Tokens - j.done
	}
	return j.Tokens - c.peek(j.Keys)*fpprefix.BlockTokens
}

func (e *Engine) step(at time.Time) []Event {
	if e.current != nil && !e.chunkEnd.After(at) {
		return e.endChunk(at)
	}
	for _, j := range e.running {
		if !j.nextAt.After(at) {
			return e.token(j, at)
		}
	}
	return e.start(at)
}

// start begins a chunk of the most urgent request when the prefill unit is free.
func (e *Engine) start(now time.Time) []Event {
	if e.current != nil || e.waiting.Len() == 0 || len(e.running) >= e.settings.MaxRunning || now.Before(e.blocked) {
		return nil
	}
	j := e.waiting.Pop()
	var out []Event
	if !j.started {
		j.started = true
		n := e.cache.match(j.Keys)
		j.cached = n * fpprefix.BlockTokens
		j.done = j.cached
		out = append(out, Event{At: now, Kind: Started, ID: j.ID, Cached: j.cached})
	}
	e.current = j
	chunk := min(j.Tokens-j.done, fpprefix.BlockTokens)
	e.chunkEnd = now.Add(time.Duration(float64(max(chunk, 1)) / e.settings.PrefillTokensPerSecond * float64(time.Second)))
	return out
}

func (e *Engine) endChunk(at time.Time) []Event {
	j := e.current
	e.current = nil
	var out []Event
	if b := j.done / fpprefix.BlockTokens; b < len(j.Keys) {
		out = e.stored(j.Keys[b], at)
	}
	j.done = min(j.done+fpprefix.BlockTokens, j.Tokens)
	if j.done < j.Tokens {
		e.waiting.Push(j)
		return append(out, e.start(at)...)
	}
	e.cache.use(j.Keys)
	out = append(out, Event{At: at, Kind: FirstToken, ID: j.ID, Cached: j.cached, Tokens: 1})
	j.emitted = 1
	if j.Output <= 1 {
		out = append(out, Event{At: at, Kind: Finished, ID: j.ID, Cached: j.cached, Tokens: j.emitted})
	} else {
		e.running = append(e.running, j)
		j.nextAt = at.Add(e.interval(j))
	}
	return append(out, e.start(at)...)
}

func (e *Engine) stored(k fpprefix.Key, at time.Time) []Event {
	out := []Event{{At: at, Kind: Stored, Key: k}}
	for _, old := range e.cache.store(k) {
		out = append(out, Event{At: at, Kind: Evicted, Key: old})
	}
	return out
}

func (e *Engine) interval(j *job) time.Duration {
	n := min(e.settings.TokensPerEvent, j.Output-j.emitted)
	each := e.settings.TokenInterval + e.settings.TokenIntervalPerStream*time.Duration(len(e.running))
	return each * time.Duration(n)
}

func (e *Engine) token(j *job, at time.Time) []Event {
	j.emitted = min(j.emitted+e.settings.TokensPerEvent, j.Output)
	out := []Event{{At: at, Kind: Token, ID: j.ID, Cached: j.cached, Tokens: j.emitted}}
	if j.emitted < j.Output {
		j.nextAt = at.Add(e.interval(j))
		return out
	}
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	out = append(out, Event{At: at, Kind: Finished, ID: j.ID, Cached: j.cached, Tokens: j.emitted})
	return append(out, e.start(at)...)
}
