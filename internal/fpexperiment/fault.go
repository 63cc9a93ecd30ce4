package fpexperiment

import (
	"time"
)

const (
	// faultDelay is the time from the end of the warmup to the fault.
	faultDelay        = 10 * time.Second
	partitionDuration = 20 * time.Second
)

// scheduleFault schedules the run's fault.
func (sm *simulation) scheduleFault() {
	at := sm.settings.Warmup + faultDelay
	switch sm.settings.Fault {
	case EngineCrash:
		sm.schedule(at, func() { sm.crashEngine(sm.engines[0]) })
	case EngineRemoved:
		sm.schedule(at, func() {
			sm.crashEngine(sm.engines[0])
			sm.engines[0].down = true
		})
	case ZonePartition:
		sm.schedule(at, func() { sm.isolatedZone = 0 })
		sm.schedule(at+partitionDuration, func() { sm.isolatedZone = -1 })
	case RollingWeights:
		sm.schedule(at, func() { sm.rollWeights(0) })
	case HostsRestart:
		sm.schedule(at, func() { sm.policy.RestartHosts() })
	}
}

// crashEngine restarts an engine with an empty cache. Requests that it had received are placed
// again; requests in transit still arrive.
func (sm *simulation) crashEngine(e *engine) {
	lost := e.inFlight
	e.inFlight = map[string]*request{}
	e.model.Reset()
	e.incarnation++
	e.nextEventAt = time.Time{}
	for _, q := range sortedBySerial(lost) {
		if q.delivered {
			sm.retryRequest(q, q.replica, true)
		} else {
			e.inFlight[q.id()] = q
		}
	}
}

// rollWeights loads new weights on two engines, from different zones if possible, and schedules
// the next two.
func (sm *simulation) rollWeights(done int) {
	order := sm.rolloutOrder()
	if done >= len(order) {
		return
	}
	for _, e := range order[done:min(done+2, len(order))] {
		sm.crashEngine(e)
		e.down = true
		sm.schedule(weightLoadTime, func() {
			e.down = false
			e.weights = "2"
		})
	}
	sm.schedule(weightLoadTime+time.Second, func() { sm.rollWeights(done + 2) })
}

func (sm *simulation) rolloutOrder() []*engine {
	sh := sm.settings.Shape
	var out []*engine
	for i := range sh.ReplicasPerZone {
		for z := range sh.Zones {
			out = append(out, sm.engines[z*sh.ReplicasPerZone+i])
		}
	}
	return out
}

// sortedBySerial returns requests in the order of their serial numbers, so that runs are repeatable.
func sortedBySerial(m map[string]*request) []*request {
	out := make([]*request, 0, len(m))
	for _, q := range m {
		out = append(out, q)
	}
	for i := 1; i < len(out); i++ {
		for j := i; j > 0 && out[j].Serial < out[j-1].Serial; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}
