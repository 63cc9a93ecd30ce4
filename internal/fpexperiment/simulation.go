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
	// tokensPerEvent is the number of output tokens that an engine produces in one event. More than
	// one saves events and affects no measurement, only the time at which a response ends.
	tokensPerEvent = 8
	// refusedFirstTokenTime is the time to first token counted for a refused request. The run
	// also goes on for this long after the measured time.
	refusedFirstTokenTime = 30 * time.Second
)

type (
	// Settings describes one run.
	Settings struct {
		Shape       fpworkload.Shape
		Seed        uint64
		Warmup      time.Duration
		MeasureTime time.Duration
		// ReportInterval and ReportDelay are the interval and the delivery delay of load reports.
		ReportInterval time.Duration
		ReportDelay    time.Duration
		// EventDelay and EventLossRate are the delivery delay and the lost share of cache events.
		// Placements that hosts send each other are lost at the same rate.
		EventDelay    time.Duration
		EventLossRate float64
		Fault         Fault
	}

	// Fault names the fault injected faultDelay after the warmup.
	Fault string

	// simulation is the state of one run: engines, hosts, the clock and pending events.
	simulation struct {
		settings        Settings
		startTime       time.Time
		now             time.Time
		engines         []*engine
		policy          Policy
		random          *rand.Rand
		events          *fpheap.Heap[event]
		eventSerial     int
		pendingRequests map[string]*request
		computedKeys    map[fpprefix.Key]bool
		result          *Result
		isolatedZone    int
	}

	engine struct {
		model       *fpengine.Engine
		name        string
		zone        int
		incarnation uint64
		down        bool
		weights     string
		nextEventAt time.Time
		inFlight    map[string]*request
	}

	request struct {
		fpworkload.Request
		replica        int
		delivered      bool
		retries        int
		firstTokenSeen bool
		submittedAt    time.Time
	}

	event struct {
		dueAt  time.Time
		serial int
		action func()
	}
)

const (
	// NoFault injects nothing.
	NoFault Fault = "healthy"
	// EngineCrash restarts one engine with an empty cache; it is available again at once.
	EngineCrash Fault = "engine-crash"
	// EngineRemoved removes one of a zone's three engines for the rest of the run.
	EngineRemoved Fault = "third-gone"
	// ZonePartition disconnects one zone from the others for partitionDuration.
	ZonePartition Fault = "zone-cut"
	// RollingWeights loads new weights on every engine, two at a time.
	RollingWeights Fault = "rolling-weights"
	// HostsRestart restarts all hosts at once, which lose their state.
	HostsRestart Fault = "hosts-restarted"

	weightLoadTime = 2 * time.Second
)

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.Warmup == 0 {
		s.Warmup = 20 * time.Second
	}
	if s.MeasureTime == 0 {
		s.MeasureTime = 60 * time.Second
	}
	if s.ReportInterval == 0 {
		s.ReportInterval = 500 * time.Millisecond
	}
	if s.ReportDelay == 0 {
		s.ReportDelay = time.Second
	}
	if s.EventDelay == 0 {
		s.EventDelay = 2 * time.Second
	}
	if s.EventLossRate == 0 {
		s.EventLossRate = 0.05
	}
	if s.Fault == "" {
		s.Fault = NoFault
	}
	return s
}

// isEarlier orders events by time, then by the order in which they were scheduled.
func isEarlier(a, b event) bool {
	if !a.dueAt.Equal(b.dueAt) {
		return a.dueAt.Before(b.dueAt)
	}
	return a.serial < b.serial
}

// Run simulates the workload under a policy and returns the measurements.
func Run(s Settings, newPolicy func(*Topology) Policy) *Result {
	s = s.WithDefaults()
	sm := &simulation{
		settings:        s,
		startTime:       time.Unix(1_000_000, 0),
		random:          rand.New(rand.NewPCG(s.Seed, 77)),
		pendingRequests: map[string]*request{},
		computedKeys:    map[fpprefix.Key]bool{},
		result:          newResult(),
		isolatedZone:    -1,
		events:          fpheap.New(isEarlier),
	}
	sm.now = sm.startTime
	sm.createEngines()
	sm.policy = newPolicy(&Topology{sim: sm})
	sm.sendLoadReports()
	sm.scheduleArrival(fpworkload.NewGenerator(s.Shape, s.Seed))
	sm.scheduleFault()
	sm.scheduleSampling()
	sm.runUntil(sm.startTime.Add(s.Warmup + s.MeasureTime + refusedFirstTokenTime))
	sm.result.recordUnanswered(sm)
	return sm.result
}

func (sm *simulation) createEngines() {
	sh := sm.settings.Shape
	for z := range sh.Zones {
		for i := range sh.ReplicasPerZone {
			sm.engines = append(sm.engines, &engine{
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

// schedule calls f after d of virtual time.
func (sm *simulation) schedule(d time.Duration, f func()) {
	sm.eventSerial++
	sm.events.Push(event{dueAt: sm.now.Add(d), serial: sm.eventSerial, action: f})
}

func (sm *simulation) runUntil(until time.Time) {
	for sm.events.Len() > 0 {
		e := sm.events.Pop()
		if e.dueAt.After(until) {
			return
		}
		sm.now = e.dueAt
		e.action()
	}
}

// scheduleArrival schedules the generator's next request, until the measured time is over.
func (sm *simulation) scheduleArrival(g *fpworkload.Generator) {
	r := g.Next()
	at := sm.startTime.Add(r.At)
	if r.At > sm.settings.Warmup+sm.settings.MeasureTime {
		return
	}
	sm.schedule(at.Sub(sm.now), func() {
		q := &request{Request: r, submittedAt: sm.now}
		sm.pendingRequests[q.id()] = q
		sm.result.recordArrival(sm, q)
		sm.placeRequest(q)
		sm.scheduleArrival(g)
	})
}

func (r *request) id() string { return fmt.Sprintf("r%d", r.Serial) }

// placeRequest asks the policy for a replica and schedules the delivery of the request.
func (sm *simulation) placeRequest(q *request) {
	i, ok := sm.policy.Place(sm.zoneView(q), q, sm.now)
	if !ok || sm.isUnreachable(q.Zone, sm.engines[i]) {
		sm.retryRequest(q, i, ok)
		return
	}
	e := sm.engines[i]
	q.replica = i
	q.delivered = false
	e.inFlight[q.id()] = q
	sm.result.recordDispatch(sm, q)
	sm.schedule(sm.oneWayDelay(q.Zone, e.zone), func() { sm.deliverRequest(q, e) })
}

// retryRequest places a request again after a failure. It refuses the request after three retries
// or if the policy found no replica.
func (sm *simulation) retryRequest(q *request, replica int, placed bool) {
	q.retries++
	if !placed || q.retries > 3 {
		sm.result.recordRefusal(sm, q)
		return
	}
	sm.policy.RecordFailure(q, replica, sm.now)
	sm.schedule(sm.settings.Shape.InZoneLatency, func() { sm.placeRequest(q) })
}

func (sm *simulation) isUnreachable(zone int, e *engine) bool {
	return e.down || sm.isolatedZone >= 0 && e.zone != zone && (e.zone == sm.isolatedZone || zone == sm.isolatedZone)
}

func (sm *simulation) oneWayDelay(from, to int) time.Duration {
	sh := sm.settings.Shape
	if from == to {
		return sh.InZoneLatency
	}
	return sh.InterRegionLatency
}

func (sm *simulation) deliverRequest(q *request, e *engine) {
	if e.down {
		delete(e.inFlight, q.id())
		sm.retryRequest(q, q.replica, true)
		return
	}
	q.delivered = true
	sm.handleEngineEvents(e, e.model.Submit(fpengine.Request{
		ID:           q.id(),
		BlockKeys:    q.keysForWeights(e.weights),
		PromptTokens: q.Prompt.Tokens,
		OutputTokens: q.OutputTokens,
		Deadline:     q.submittedAt.Add(q.Class.Slack()),
	}, sm.now))
	sm.scheduleEngineEvent(e)
}

// scheduleEngineEvent schedules the engine's next event unless it is scheduled already.
func (sm *simulation) scheduleEngineEvent(e *engine) {
	at, ok := e.model.NextEventTime()
	if !ok || at.Equal(e.nextEventAt) {
		return
	}
	e.nextEventAt = at
	sm.schedule(at.Sub(sm.now), func() {
		if e.nextEventAt != at {
			return
		}
		e.nextEventAt = time.Time{}
		sm.handleEngineEvents(e, e.model.AdvanceTo(sm.now))
		sm.scheduleEngineEvent(e)
	})
}

// handleEngineEvents updates the measurements and informs the policy of an engine's events.
func (sm *simulation) handleEngineEvents(e *engine, events []fpengine.Event) {
	for _, v := range events {
		switch v.Kind {
		case fpengine.PrefillStarted:
			sm.result.recordPrefillStart(sm, sm.pendingRequests[v.RequestID], v.CachedTokens, sm.computedKeys)
		case fpengine.BlockStored:
			sm.computedKeys[v.BlockKey] = true
			sm.forwardCacheEvent(e, v)
		case fpengine.BlockEvicted:
			sm.forwardCacheEvent(e, v)
		case fpengine.FirstToken:
			sm.handleFirstToken(e, v)
		}
	}
}

func (sm *simulation) handleFirstToken(e *engine, v fpengine.Event) {
	q := sm.pendingRequests[v.RequestID]
	delete(e.inFlight, v.RequestID)
	incarnation := e.incarnation
	sm.schedule(sm.oneWayDelay(q.Zone, e.zone), func() {
		if e.incarnation == incarnation {
			sm.policy.RecordFirstToken(q, q.replica, v.CachedTokens, sm.now)
		}
		sm.result.recordFirstToken(sm, q)
		delete(sm.pendingRequests, q.id())
	})
}

func (sm *simulation) forwardCacheEvent(e *engine, v fpengine.Event) {
	if sm.random.Float64() < sm.settings.EventLossRate {
		return
	}
	incarnation := e.incarnation
	sm.schedule(sm.settings.EventDelay, func() { sm.policy.RecordCacheEvent(e, v, incarnation, sm.now) })
}

// sendLoadReports delivers every engine's current load to the policy after ReportDelay, once every
// ReportInterval.
func (sm *simulation) sendLoadReports() {
	for i, e := range sm.engines {
		if e.down {
			continue
		}
		l := e.model.Load(sm.now)
		at := sm.now
		incarnation, weights := e.incarnation, e.weights
		sm.schedule(sm.settings.ReportDelay, func() { sm.policy.RecordLoadReport(i, l, incarnation, weights, at) })
	}
	sm.schedule(sm.settings.ReportInterval, sm.sendLoadReports)
}

// keysForWeights returns the request's block keys under a weights version. A new version has other
// keys because the blocks cached under the old one can't be used.
func (r *request) keysForWeights(weights string) []fpprefix.Key {
	if weights == "1" {
		return r.Keys
	}
	out := make([]fpprefix.Key, len(r.Keys))
	for i, k := range r.Keys {
		out[i] = k ^ 0x5bd1e9955bd1e995
	}
	return out
}

// promptForWeights returns the request's prompt under a weights version.
func (r *request) promptForWeights(weights string) fpprefix.Prompt {
	if weights == "1" {
		return r.Prompt
	}
	p := fpprefix.Prompt{Tokens: r.Prompt.Tokens}
	for _, l := range r.Prompt.Levels {
		p.Levels = append(p.Levels, fpprefix.Level{Key: l.Key ^ 0x5bd1e9955bd1e995, Tokens: l.Tokens})
	}
	return p
}

// zoneView returns the zone of the request's host and the number of hosts there, without replicas.
func (sm *simulation) zoneView(q *request) fproute.View {
	return fproute.View{Zone: sm.settings.Shape.Zones[q.Zone], Hosts: sm.settings.Shape.HostsPerZone}
}
