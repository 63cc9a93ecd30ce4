package fpdispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// runsInCI is the number of seeds; the first is always 1.
	runsInCI = 10_000
	parts    = 24
	ids      = 4
	// maxDelay is the longest time from a call to its run: half the window, and the work around it.
	maxDelay = windowInTests/2 + 5*time.Second
)

type (
	// callRecord is one caller's call and its answer.
	callRecord struct {
		id      string
		host    int
		began   time.Duration
		ended   time.Duration
		result  fpclaimant.Result
		dropped bool
		// ranBefore is how often the request had run before the call began.
		ranBefore int
	}

	// history gathers the calls of one seed.
	history struct {
		mu    sync.Mutex
		calls []callRecord
	}

	// trouble is a fault that a seed may draw.
	trouble func(*world)
)

func troubles() map[string]trouble {
	victim := func(w *world) *host {
		w.mu.Lock()
		n := w.random.IntN(len(w.hosts))
		w.mu.Unlock()
		return w.host(n)
	}
	return map[string]trouble{
		"host killed":     func(w *world) { w.kill(victim(w).number) },
		"host frozen":     func(w *world) { victim(w).set(func(h *host) { h.freeze = 8 * time.Second }) },
		"frozen for long": func(w *world) { victim(w).set(func(h *host) { h.freeze = windowInTests + 12*time.Second }) },
		"answer lost": func(w *world) {
			w.during(2*time.Second, func(f *storeFaults, on bool) { f.loseAnswers = pick(on, 0.7) })
		},
		"write late":     func(w *world) { w.during(2*time.Second, func(f *storeFaults, on bool) { f.late = pick(on, 0.5) }) },
		"platform down":  func(w *world) { w.during(3*time.Second, func(f *storeFaults, on bool) { f.down = on }) },
		"platform out":   func(w *world) { w.during(20*time.Second, func(f *storeFaults, on bool) { f.down = on }) },
		"platform slow":  func(w *world) { w.during(6*time.Second, func(f *storeFaults, on bool) { f.delay = slow(on) }) },
		"cut from store": func(w *world) { cutFor(victim(w), 3*time.Second, func(h *host, on bool) { h.cutStore = on }) },
		"cut from all": func(w *world) {
			cutFor(victim(w), 3*time.Second, func(h *host, on bool) { h.cutStore, h.cutPeers = on, on })
		},
		"silent":         func(w *world) { w.network.Silence(serviceAddress) },
		"answer crossed": func(w *world) { w.service.SetFaults(fpstandin.Faults{CrossAnswers: 1}) },
		"reply lost":     func(w *world) { w.service.SetFaults(fpstandin.Faults{LoseAnswers: 1}) },
		"service gone":   func(w *world) { w.mu.Lock(); w.goneNext = true; w.mu.Unlock() },
		"service refused": func(w *world) {
			w.network.Lose(serviceAddress, true)
			time.Sleep(time.Second)
			w.network.Lose(serviceAddress, false)
		},
	}
}

func pick(on bool, p float64) float64 {
	if on {
		return p
	}
	return 0
}

func slow(on bool) time.Duration {
	if on {
		return 5 * time.Second
	}
	return 0
}

func (w *world) during(d time.Duration, f func(*storeFaults, bool)) {
	w.setFaults(func(s *storeFaults) { f(s, true) })
	time.Sleep(d)
	w.setFaults(func(s *storeFaults) { f(s, false) })
}

func cutFor(h *host, d time.Duration, f func(*host, bool)) {
	h.set(func(h *host) { f(h, true) })
	time.Sleep(d)
	h.set(func(h *host) { f(h, false) })
}

// call makes one non-idempotent call through a host and records its answer.
func (w *world) call(h *history, id string, number int) {
	via := w.host(number)
	c := callRecord{id: id, host: number, began: time.Since(w.started), ranBefore: w.service.Runs()[id]}
	q := Query{Team: "t", RequestID: id, Received: time.Now(), Asked: c.began, Body: 7}
	c.result = via.dispatcher.ServiceOnce(context.Background(), q, ServiceCall{Service: "booking", Method: "POST", Path: "/certificate", Body: []byte(id)})
	c.ended = time.Since(w.started)
	c.dropped = via.is(func(h *host) bool { return h.dead })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// askedBefore reports whether a call for the request began at most d before a time.
func (h *history) askedBefore(id string, at, d time.Duration) bool {
	for _, c := range h.calls {
		if c.id == id && c.began <= at && at-c.began <= d {
			return true
		}
	}
	return false
}

// observed records when each request runs, before the service's own handler.
func (w *world) observed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(fpchat.RequestHeader); id != "" {
			w.mu.Lock()
			w.runs[id] = append(w.runs[id], time.Since(w.started))
			gone := w.goneNext
			w.goneNext = false
			w.mu.Unlock()
			if gone {
				w.network.Lose(r.Host, true)
				time.AfterFunc(20*time.Second, func() { w.network.Lose(r.Host, false) })
			}
		}
		next.ServeHTTP(rw, r)
	})
}

// check holds a seed's history against what must always hold.
func (w *world) check(t *testing.T, seed uint64, h *history) {
	t.Helper()
	for id, times := range w.runs {
		for i := 1; i < len(times); i++ {
			if gap := times[i] - times[i-1]; gap <= windowInTests {
				t.Errorf("seed %d: request %s ran twice, %v apart", seed, id, gap)
			}
		}
		for _, at := range times {
			if !h.askedBefore(id, at, maxDelay) {
				t.Errorf("seed %d: request %s ran at %v, long after it was asked for", seed, id, at)
			}
		}
	}
	for _, c := range h.calls {
		switch c.result.Outcome.Kind() {
		case fpoutcome.Complete:
			var a fpstandin.ServiceAnswer
			if err := json.Unmarshal(c.result.Body, &a); err != nil || a.RequestID != c.id || a.Echo != c.id {
				t.Errorf("seed %d: call %s got the answer of %q", seed, c.id, a.RequestID)
			}
		case fpoutcome.NotRun:
			if c.ranBefore > 0 && !c.dropped {
				t.Errorf("seed %d: %s through host %d said NotRun at %v, it had run before the call: %s",
					seed, c.id, c.host, c.ended, c.result.Outcome.Reason())
			}
		case fpoutcome.Unknown:
		default:
			t.Errorf("seed %d: call %s ended without an outcome", seed, c.id)
		}
	}
}

// play runs one seed: a few requests, each called several times through any
// host, with the given troubles under way.
func play(t *testing.T, seed uint64, hosts int, names []string) *history {
	t.Helper()
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, hosts)
		stop := w.network.Serve(serviceAddress, w.observed(w.service.Handler()))
		stopSecond := w.network.Serve(secondAddress, w.observed(w.service.Handler()))
		var wg sync.WaitGroup
		all := troubles()
		for _, name := range names {
			at := time.Duration(w.random.IntN(4000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(at)
				all[name](w)
			})
		}
		for i := range ids {
			for range 2 + w.random.IntN(3) {
				at := time.Duration(w.random.IntN(12))*700*time.Millisecond + time.Duration(w.random.IntN(20))*time.Millisecond
				number := w.random.IntN(hosts)
				wg.Go(func() {
					time.Sleep(at)
					w.call(h, fmt.Sprintf("id-%d", i), number)
				})
			}
		}
		if slices.Contains(names, "frozen for long") {
			number := w.random.IntN(hosts)
			wg.Go(func() {
				time.Sleep(windowInTests + 9*time.Second)
				w.call(h, "id-0", number)
			})
		}
		wg.Wait()
		w.check(t, seed, h)
		if t.Failed() {
			for i := range ids {
				w.trace(t, fmt.Sprintf("id-%d", i))
			}
		}
		w.close()
		stop()
		stopSecond()
		time.Sleep(20 * time.Second)
		synctest.Wait()
	})
	return h
}

// draw returns the troubles of a seed: none, one or a pair.
func draw(seed uint64) []string {
	names := []string{
		"host killed", "host frozen", "frozen for long", "answer lost", "write late", "platform down", "platform out", "platform slow",
		"cut from store", "cut from all", "silent", "answer crossed", "reply lost", "service refused", "service gone",
	}
	n := uint64(len(names))
	pair := seed % (n*n + 1)
	if pair == 0 {
		return nil
	}
	first, second := (pair-1)/n, (pair-1)%n
	if first == second {
		return []string{names[first]}
	}
	return []string{names[first], names[second]}
}

// TestAtMostOnce plays seeds with every trouble alone and every pair of them.
// FESCUEPOINT_SEED plays one seed.
func TestAtMostOnce(t *testing.T) {
	if text := os.Getenv("FESCUEPOINT_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		play(t, seed, 3, draw(seed))
		return
	}
	for p := range uint64(parts) {
		t.Run(fmt.Sprintf("part-%02d", p), func(t *testing.T) {
			t.Parallel()
			for seed := p + 1; seed <= runsInCI; seed += parts {
				play(t, seed, 3, draw(seed))
				if t.Failed() {
					return
				}
			}
		})
	}
}
