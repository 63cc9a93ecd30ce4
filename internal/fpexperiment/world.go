package fpexperiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpheap"
	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// tokensPerEvent makes engines emit fewer events; it changes no figure but the end of an answer.
	tokensPerEvent = 8
	// refusalLimit is the time to first token that a refused request counts with.
	refusalLimit = 30 * time.Second
)

type (
	// Settings describes one run.
	Settings struct {
		Shape   fpworkload.Shape
		Seed    uint64
		Warm    time.Duration
		Measure time.Duration
		// ReportEvery and ReportLag are the pace and age of load reports.
		ReportEvery time.Duration
		ReportLag   time.Duration
		// EventLag and EventLoss are the age and loss of cache events.
		EventLag  time.Duration
		EventLoss float64
		Fault     Fault
	}

	// Fault is what goes wrong at Settings.Warm + FaultAfter.
	Fault string

	// world is one run: engines, hosts, the clock and what is under way.
	world struct {
		settings Settings
		start    time.Time
		now      time.Time
		engines  []*engine
		policy   Policy
		random   *rand.Rand
		queue    *fpheap.Heap[event]
		serial   int
		requests map[string]*request
		computed map[fpprefix.Key]bool
		result   *Result
		cutZone  int
	}

	engine struct {
		model       *fpengine.Engine
		name        string
		zone        int
		incarnation uint64
		down        bool
		weights     string
		armed       time.Time
		inFlight    map[string]*request
	}

	request struct {
		fpworkload.Request
		placed  int
		arrived bool
		retries int
		first   bool
		start   time.Time
	}

	event struct {
		at     time.Time
		serial int
		run    func()
	}
)

const (
	// NoFault is a healthy run.
	NoFault Fault = "healthy"
	// EngineCrash empties one engine of a zone, which comes back at once.
	EngineCrash Fault = "engine-crash"
	// ThirdGone takes one of three engines of a zone away for good.
	ThirdGone Fault = "third-gone"
	// ZoneCut cuts one zone off from the others.
	ZoneCut Fault = "zone-cut"
	// RollingWeights gives every engine new weights, two at a time.
	RollingWeights Fault = "rolling-weights"
	// HostsRestart makes all hosts forget everything at once.
	HostsRestart Fault = "hosts-restarted"

	weightLoad = 2 * time.Second
)

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.Warm == 0 {
		s.Warm = 20 * time.Second
	}
	if s.Measure == 0 {
		s.Measure = 60 * time.Second
	}
	if s.ReportEvery == 0 {
		s.ReportEvery = 500 * time.Millisecond
	}
	if s.ReportLag == 0 {
		s.ReportLag = time.Second
	}
	if s.EventLag == 0 {
		s.EventLag = 2 * time.Second
	}
	if s.EventLoss == 0 {
		s.EventLoss = 0.05
	}
	if s.Fault == "" {
		s.Fault = NoFault
	}
	return s
}

// sooner reports whether event a comes before event b.
func sooner(a, b event) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.serial < b.serial
}

// Run plays the workload under a policy and returns what was measured.
func Run(s Settings, maker func(*Topology) Policy) *Result {
	s = s.WithDefaults()
	w := &world{
		settings: s,
		start:    time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(s.Seed, 77)),
		requests: map[string]*request{},
		computed: map[fpprefix.Key]bool{},
		result:   newResult(),
		cutZone:  -1,
		queue:    fpheap.New(sooner),
	}
	w.now = w.start
	w.build()
	w.policy = maker(&Topology{world: w})
	w.reports()
	w.arrive(fpworkload.NewGenerator(s.Shape, s.Seed))
	w.fault()
	w.sample()
	w.loop(w.start.Add(s.Warm + s.Measure + refusalLimit))
	w.result.finish(w)
	return w.result
}

func (w *world) build() {
	sh := w.settings.Shape
	for z := range sh.Zones {
		for i := range sh.ReplicasPerZone {
			w.engines = append(w.engines, &engine{
				model: fpengine.New(fpengine.Settings{
					PrefillTokensPerSecond: sh.PrefillTokensPerSecond,
					CacheCapacityBlocks:    sh.CacheBlocks,
					TokenInterval:          sh.TokenInterval,
					TokensPerEvent:         tokensPerEvent,
				}),
				name:        fmt.Sprintf("%s-%02d", sh.Zones[z], i),
				zone:        z,
				incarnation: 1,
				weights:     "1",
				inFlight:    map[string]*request{},
			})
		}
	}
}

// after runs f a while from now.
func (w *world) after(d time.Duration, f func()) {
	w.serial++
	w.queue.Push(event{at: w.now.Add(d), serial: w.serial, run: f})
}

func (w *world) loop(until time.Time) {
	for w.queue.Len() > 0 {
		e := w.queue.Pop()
		if e.at.After(until) {
			return
		}
		w.now = e.at
		e.run()
	}
}

// arrive schedules the next request of the generator until the measured time is over.
func (w *world) arrive(g *fpworkload.Generator) {
	r := g.Next()
	at := w.start.Add(r.At)
	if r.At > w.settings.Warm+w.settings.Measure {
		return
	}
	w.after(at.Sub(w.now), func() {
		q := &request{Request: r, start: w.now}
		w.requests[q.id()] = q
		w.result.offered(w, q)
		w.place(q)
		w.arrive(g)
	})
}

func (r *request) id() string { return fmt.Sprintf("r%d", r.Serial) }

// place asks the policy and sends the request on its way.
func (w *world) place(q *request) {
	i, ok := w.policy.Place(w.view(q), q, w.now)
	if !ok || w.unreachable(q.Zone, w.engines[i]) {
		w.retry(q, i, ok)
		return
	}
	e := w.engines[i]
	q.placed = i
	q.arrived = false
	e.inFlight[q.id()] = q
	w.result.placed(w, q)
	w.after(w.oneWay(q.Zone, e.zone), func() { w.deliver(q, e) })
}

// retry places a request again whose replica refused it, a few times.
func (w *world) retry(q *request, replica int, placed bool) {
	q.retries++
	if !placed || q.retries > 3 {
		w.result.refused(w, q)
		return
	}
	w.policy.Failed(q, replica, w.now)
	w.after(w.settings.Shape.InZoneLatency, func() { w.place(q) })
}

func (w *world) unreachable(zone int, e *engine) bool {
	return e.down || w.cutZone >= 0 && e.zone != zone && (e.zone == w.cutZone || zone == w.cutZone)
}

func (w *world) oneWay(from, to int) time.Duration {
	sh := w.settings.Shape
	if from == to {
		return sh.InZoneLatency
	}
	return sh.InterRegionLatency
}

func (w *world) deliver(q *request, e *engine) {
	if e.down {
		delete(e.inFlight, q.id())
		w.retry(q, q.placed, true)
		return
	}
	q.arrived = true
	w.handle(e, e.model.Submit(fpengine.Request{
		ID:           q.id(),
		BlockKeys:    q.keysUnder(e.weights),
		PromptTokens: q.Prompt.Tokens,
		OutputTokens: q.OutputTokens,
		Deadline:     q.start.Add(q.Class.Slack()),
	}, w.now))
	w.arm(e)
}

// arm schedules the engine's next event.
func (w *world) arm(e *engine) {
	at, ok := e.model.NextEventTime()
	if !ok || at.Equal(e.armed) {
		return
	}
	e.armed = at
	w.after(at.Sub(w.now), func() {
		if e.armed != at {
			return
		}
		e.armed = time.Time{}
		w.handle(e, e.model.AdvanceTo(w.now))
		w.arm(e)
	})
}

// handle takes in what happened in an engine.
func (w *world) handle(e *engine, events []fpengine.Event) {
	for _, v := range events {
		switch v.Kind {
		case fpengine.PrefillStarted:
			w.result.started(w, w.requests[v.RequestID], v.CachedTokens, w.computed)
		case fpengine.BlockStored:
			w.computed[v.BlockKey] = true
			w.cacheEvent(e, v)
		case fpengine.BlockEvicted:
			w.cacheEvent(e, v)
		case fpengine.FirstToken:
			w.firstToken(e, v)
		}
	}
}

func (w *world) firstToken(e *engine, v fpengine.Event) {
	q := w.requests[v.RequestID]
	delete(e.inFlight, v.RequestID)
	incarnation := e.incarnation
	w.after(w.oneWay(q.Zone, e.zone), func() {
		if e.incarnation == incarnation {
			w.policy.FirstToken(q, q.placed, v.CachedTokens, w.now)
		}
		w.result.first(w, q)
		delete(w.requests, q.id())
	})
}

func (w *world) cacheEvent(e *engine, v fpengine.Event) {
	if w.random.Float64() < w.settings.EventLoss {
		return
	}
	incarnation := e.incarnation
	w.after(w.settings.EventLag, func() { w.policy.CacheEvent(e, v, incarnation, w.now) })
}

// reports sends every engine's load report, late, to the policy.
func (w *world) reports() {
	for i, e := range w.engines {
		if e.down {
			continue
		}
		l := e.model.Load(w.now)
		at := w.now
		incarnation, weights := e.incarnation, e.weights
		w.after(w.settings.ReportLag, func() { w.policy.Report(i, l, incarnation, weights, at) })
	}
	w.after(w.settings.ReportEvery, w.reports)
}

// keysUnder returns the request's block keys under a weights version.
func (r *request) keysUnder(weights string) []fpprefix.Key {
	if weights == "1" {
		return r.Keys
	}
	out := make([]fpprefix.Key, len(r.Keys))
	for i, k := range r.Keys {
		out[i] = k ^ 0x5bd1e9955bd1e995
	}
	return out
}

// promptUnder returns the request's prompt under a weights version.
func (r *request) promptUnder(weights string) fpprefix.Prompt {
	if weights == "1" {
		return r.Prompt
	}
	p := fpprefix.Prompt{Tokens: r.Prompt.Tokens}
	for _, l := range r.Prompt.Levels {
		p.Levels = append(p.Levels, fpprefix.Level{Key: l.Key ^ 0x5bd1e9955bd1e995, Tokens: l.Tokens})
	}
	return p
}

// view returns what the request's host can see of distances.
func (w *world) view(q *request) fproute.View {
	return fproute.View{Zone: w.settings.Shape.Zones[q.Zone], Hosts: w.settings.Shape.HostsPerZone}
}
