package fpexperiment

import (
	"time"
)

const (
	// faultAfter is the time from the start of measuring to the fault.
	faultAfter = 10 * time.Second
	cutFor     = 20 * time.Second
)

// fault schedules what goes wrong in this run.
func (w *world) fault() {
	at := w.settings.Warm + faultAfter
	switch w.settings.Fault {
	case EngineCrash:
		w.after(at, func() { w.crash(w.engines[0]) })
	case ThirdGone:
		w.after(at, func() {
			w.crash(w.engines[0])
			w.engines[0].down = true
		})
	case ZoneCut:
		w.after(at, func() { w.cutZone = 0 })
		w.after(at+cutFor, func() { w.cutZone = -1 })
	case RollingWeights:
		w.after(at, func() { w.roll(0) })
	case HostsRestart:
		w.after(at, func() { w.policy.Restart() })
	}
}

// crash empties an engine; what it was doing is placed again.
func (w *world) crash(e *engine) {
	lost := e.inFlight
	e.inFlight = map[string]*request{}
	e.model.Reset()
	e.incarnation++
	e.armed = time.Time{}
	for _, q := range sorted(lost) {
		if q.arrived {
			w.retry(q, q.placed, true)
		} else {
			e.inFlight[q.id()] = q
		}
	}
}

// roll gives two engines new weights and goes on with the next two; engines
// of different zones go together.
func (w *world) roll(done int) {
	order := w.rollOrder()
	if done >= len(order) {
		return
	}
	for _, e := range order[done:min(done+2, len(order))] {
		w.crash(e)
		e.down = true
		w.after(weightLoad, func() {
			e.down = false
			e.weights = "2"
		})
	}
	w.after(weightLoad+time.Second, func() { w.roll(done + 2) })
}

func (w *world) rollOrder() []*engine {
	sh := w.settings.Shape
	var out []*engine
	for i := range sh.ReplicasPerZone {
		for z := range sh.Zones {
			out = append(out, w.engines[z*sh.ReplicasPerZone+i])
		}
	}
	return out
}

// sorted returns requests in the order of their serial numbers.
func sorted(m map[string]*request) []*request {
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
