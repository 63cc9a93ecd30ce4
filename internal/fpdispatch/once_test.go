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
	// seedCount is the number of seeds; the first seed is 1.
	seedCount    = 10_000
	subtestCount = 24
	requestCount = 4
	// maxRunDelay is the longest permitted time from a call to its run: half the window, plus time
	// for the work itself.
	maxRunDelay = testDedupWindow/2 + 5*time.Second
)

type (
	// callRecord is one caller's call and its result.
	callRecord struct {
		requestID  string
		host       int
		beganAt    time.Duration
		endedAt    time.Duration
		result     fpclaimant.Result
		hostKilled bool
		// runsBefore is how often the request had run when the call began.
		runsBefore int
	}

	// history holds the calls made under one seed.
	history struct {
		mu    sync.Mutex
		calls []callRecord
	}

	// faultFunc injects a fault into the fleet; a seed selects none, one or two of them.
	faultFunc func(*testFleet)
)

func faultFuncs() map[string]faultFunc {
	randomHost := func(tf *testFleet) *host {
		tf.mu.Lock()
		n := tf.random.IntN(len(tf.hosts))
		tf.mu.Unlock()
		return tf.host(n)
	}
	return map[string]faultFunc{
		"host killed": func(tf *testFleet) { tf.replaceHost(randomHost(tf).index) },
		"host frozen": func(tf *testFleet) { randomHost(tf).update(func(h *host) { h.pendingFreeze = 8 * time.Second }) },
		"host frozen beyond the window": func(tf *testFleet) {
			randomHost(tf).update(func(h *host) { h.pendingFreeze = testDedupWindow + 12*time.Second })
		},
		"store answer lost": func(tf *testFleet) {
			tf.withStoreFault(2*time.Second, func(f *storeFaults, on bool) { f.lostAnswerRate = rateWhen(on, 0.7) })
		},
		"store write delayed": func(tf *testFleet) {
			tf.withStoreFault(2*time.Second, func(f *storeFaults, on bool) { f.lateWriteRate = rateWhen(on, 0.5) })
		},
		"platform down for 3 s": func(tf *testFleet) {
			tf.withStoreFault(3*time.Second, func(f *storeFaults, on bool) { f.unreachable = on })
		},
		"platform down for 20 s": func(tf *testFleet) {
			tf.withStoreFault(20*time.Second, func(f *storeFaults, on bool) { f.unreachable = on })
		},
		"platform slow": func(tf *testFleet) {
			tf.withStoreFault(6*time.Second, func(f *storeFaults, on bool) { f.delay = delayWhen(on) })
		},
		"host cut off from the store": func(tf *testFleet) {
			withHostFault(randomHost(tf), 3*time.Second, func(h *host, on bool) { h.storeUnreachable = on })
		},
		"host isolated": func(tf *testFleet) {
			withHostFault(randomHost(tf), 3*time.Second, func(h *host, on bool) { h.storeUnreachable, h.peersUnreachable = on, on })
		},
		"service connection silent":  func(tf *testFleet) { tf.network.SilenceConnections(serviceAddress) },
		"service answer mismatched":  func(tf *testFleet) { tf.service.SetFaults(fpstandin.Faults{CrossAnswers: 1}) },
		"service answer lost":        func(tf *testFleet) { tf.service.SetFaults(fpstandin.Faults{LoseAnswers: 1}) },
		"replica lost while running": func(tf *testFleet) { tf.mu.Lock(); tf.isolateNext = true; tf.mu.Unlock() },
		"service refuses connections": func(tf *testFleet) {
			tf.network.SetUnreachable(serviceAddress, true)
			time.Sleep(time.Second)
			tf.network.SetUnreachable(serviceAddress, false)
		},
	}
}

func rateWhen(on bool, rate float64) float64 {
	if on {
		return rate
	}
	return 0
}

func delayWhen(on bool) time.Duration {
	if on {
		return 5 * time.Second
	}
	return 0
}

func (tf *testFleet) withStoreFault(d time.Duration, set func(*storeFaults, bool)) {
	tf.updateFaults(func(s *storeFaults) { set(s, true) })
	time.Sleep(d)
	tf.updateFaults(func(s *storeFaults) { set(s, false) })
}

func withHostFault(h *host, d time.Duration, set func(*host, bool)) {
	h.update(func(h *host) { set(h, true) })
	time.Sleep(d)
	h.update(func(h *host) { set(h, false) })
}

// callAndRecord makes one non-idempotent call through a host and records its result.
func (tf *testFleet) callAndRecord(h *history, id string, hostIndex int) {
	via := tf.host(hostIndex)
	c := callRecord{requestID: id, host: hostIndex, beganAt: time.Since(tf.started), runsBefore: tf.service.RunsByRequest()[id]}
	q := AdmittedRequest{Team: "t", RequestID: id, ReceivedAt: time.Now(), BodyReadAt: c.beganAt, BodyHash: 7}
	c.result = via.dispatcher.DispatchServiceOnce(context.Background(), q, ServiceCall{Service: "booking", Method: "POST", Path: "/certificate", Body: []byte(id)})
	c.endedAt = time.Since(tf.started)
	c.hostKilled = via.holds(func(h *host) bool { return h.killed })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// calledWithin reports whether a call for the request began at most d before the time at.
func (h *history) calledWithin(id string, at, d time.Duration) bool {
	for _, c := range h.calls {
		if c.requestID == id && c.beganAt <= at && at-c.beganAt <= d {
			return true
		}
	}
	return false
}

// recordRuns wraps the service's handler and records when each request runs.
func (tf *testFleet) recordRuns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(fpchat.RequestHeader); id != "" {
			tf.mu.Lock()
			tf.runTimes[id] = append(tf.runTimes[id], time.Since(tf.started))
			isolate := tf.isolateNext
			tf.isolateNext = false
			tf.mu.Unlock()
			if isolate {
				tf.network.SetUnreachable(r.Host, true)
				time.AfterFunc(20*time.Second, func() { tf.network.SetUnreachable(r.Host, false) })
			}
		}
		next.ServeHTTP(rw, r)
	})
}

// checkInvariants checks a seed's history: no request runs twice within the window or long after
// its call, an answer belongs to its request, and NotRun is not reported for a request that had run
// before the call.
func (tf *testFleet) checkInvariants(t *testing.T, seed uint64, h *history) {
	t.Helper()
	for id, times := range tf.runTimes {
		for i := 1; i < len(times); i++ {
			if gap := times[i] - times[i-1]; gap <= testDedupWindow {
				t.Errorf("seed %d: request %s ran twice, %v apart", seed, id, gap)
			}
		}
		for _, at := range times {
			if !h.calledWithin(id, at, maxRunDelay) {
				t.Errorf("seed %d: request %s ran at %v, more than the permitted delay after its calls", seed, id, at)
			}
		}
	}
	for _, c := range h.calls {
		switch c.result.Outcome.Kind() {
		case fpoutcome.Complete:
			var a fpstandin.ServiceAnswer
			if err := json.Unmarshal(c.result.Body, &a); err != nil || a.RequestID != c.requestID || a.Echo != c.requestID {
				t.Errorf("seed %d: call %s got the answer of %q", seed, c.requestID, a.RequestID)
			}
		case fpoutcome.NotRun:
			if c.runsBefore > 0 && !c.hostKilled {
				t.Errorf("seed %d: %s through host %d returned NotRun at %v although it had run before the call: %s",
					seed, c.requestID, c.host, c.endedAt, c.result.Outcome.Reason())
			}
		case fpoutcome.Unknown:
		default:
			t.Errorf("seed %d: call %s ended without an outcome", seed, c.requestID)
		}
	}
}

// runSeed runs one seed: a few requests, each called several times through randomly chosen hosts,
// while the given faults are injected.
func runSeed(t *testing.T, seed uint64, hosts int, faults []string) *history {
	t.Helper()
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(seed, hosts)
		stop := tf.network.Serve(serviceAddress, tf.recordRuns(tf.service.Handler()))
		stopSecond := tf.network.Serve(secondAddress, tf.recordRuns(tf.service.Handler()))
		var wg sync.WaitGroup
		inject := faultFuncs()
		for _, name := range faults {
			at := time.Duration(tf.random.IntN(4000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(at)
				inject[name](tf)
			})
		}
		for i := range requestCount {
			for range 2 + tf.random.IntN(3) {
				at := time.Duration(tf.random.IntN(12))*700*time.Millisecond + time.Duration(tf.random.IntN(20))*time.Millisecond
				hostIndex := tf.random.IntN(hosts)
				wg.Go(func() {
					time.Sleep(at)
					tf.callAndRecord(h, fmt.Sprintf("id-%d", i), hostIndex)
				})
			}
		}
		if slices.Contains(faults, "host frozen beyond the window") {
			hostIndex := tf.random.IntN(hosts)
			wg.Go(func() {
				time.Sleep(testDedupWindow + 9*time.Second)
				tf.callAndRecord(h, "id-0", hostIndex)
			})
		}
		wg.Wait()
		tf.checkInvariants(t, seed, h)
		if t.Failed() {
			for i := range requestCount {
				tf.logRecords(t, fmt.Sprintf("id-%d", i))
			}
		}
		tf.close()
		stop()
		stopSecond()
		time.Sleep(20 * time.Second)
		synctest.Wait()
	})
	return h
}

// faultsOfSeed returns the faults that a seed selects: none, one or a pair.
func faultsOfSeed(seed uint64) []string {
	names := []string{
		"host killed", "host frozen", "host frozen beyond the window", "store answer lost", "store write delayed",
		"platform down for 3 s", "platform down for 20 s", "platform slow", "host cut off from the store", "host isolated",
		"service connection silent", "service answer mismatched", "service answer lost", "service refuses connections",
		"replica lost while running",
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

// TestAtMostOnce runs seeds that cover every fault alone and every pair of faults. It guards
// against a request that runs twice within the window. FESCUEPOINT_SEED runs a single seed.
func TestAtMostOnce(t *testing.T) {
	if text := os.Getenv("FESCUEPOINT_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runSeed(t, seed, 3, faultsOfSeed(seed))
		return
	}
	for p := range uint64(subtestCount) {
		t.Run(fmt.Sprintf("part-%02d", p), func(t *testing.T) {
			t.Parallel()
			for seed := p + 1; seed <= seedCount; seed += subtestCount {
				runSeed(t, seed, 3, faultsOfSeed(seed))
				if t.Failed() {
					return
				}
			}
		})
	}
}
