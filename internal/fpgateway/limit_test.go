package fpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	// A replica may get in any limitWindow limitTolerance times what its limit allows, and
	// limitSlack requests, from limitReaction after it first named the limit.
	limitReaction  = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	namedLimit     = 4.0
	// minLimitUse is the least share of its limit that a replica still gets under more traffic.
	minLimitUse     = 0.4
	trafficInterval = 10 * time.Millisecond
)

// TestLogsNamedLimit checks that the limit that a replica names, and its end, are logged once, and that
// the caller sees the replica's header.
func TestLogsNamedLimit(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.serviceReplicas[1].Close()
	tc.store.Delete("servers/s2")
	tc.waitFor(func() bool { return tc.linesWith("replica entry deleted") != "" }, "one replica left")
	tc.serviceReplicas[0].SetLimit("50.5")
	r := tc.sendRequest("call", nil)
	is.Equal(r.header.Get("Server-Limit"), "50.5")
	is.Equal(tc.sendRequest("call", nil).status, 200)
	tc.serviceReplicas[0].SetLimit("")
	is.Equal(tc.sendRequest("call", nil).status, 200)
	tc.waitFor(func() bool { return tc.linesWith("replica limit changed") != "" }, "logged")
	tc.waitFor(func() bool { return tc.linesWith(`"Named":false`) != "" }, "its end logged")
	is.Equal(countLines(tc.linesWith("replica limit changed")), 2)
}

// mostInWindow returns the largest number of times within limitWindow, from a time on.
func mostInWindow(times []time.Time, from time.Time) int {
	most, first := 0, 0
	slices.SortFunc(times, time.Time.Compare)
	times = slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(from) })
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// runTimes returns when a replica got the requests that it ran.
func runTimes(r *fpfake.Replica) []time.Time {
	var out []time.Time
	for _, e := range r.ExecutedRequests() {
		out = append(out, e.At)
	}
	return out
}

// sendSteadily sends requests of a route to hosts in turn until the returned function is called, which
// returns how many were answered with success, and how many were not, from a time on. The requests are
// numbered from first.
func sendSteadily(hosts []*testCluster, route string, first int, from time.Time) func() (served, failed int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, failed := 0, 0
	stop := make(chan struct{})
	wg.Go(func() {
		tick := time.NewTicker(trafficInterval)
		defer tick.Stop()
		for i := first; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				began := time.Now()
				r := hosts[i%len(hosts)].sendNumberedRequest(route, i, withPrompt(fmt.Sprintf("p%d:1200,own%d:20", i, i)))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case began.Before(from):
				case r.err == nil && r.status == http.StatusOK:
					served++
				default:
					failed++
				}
			})
		}
	})
	return func() (int, int) {
		close(stop)
		wg.Wait()
		return served, failed
	}
}

// TestReplicaOverItsNamedLimit checks, for an engine and a plain service, that a replica that names a
// limit gets no more than that from two hosts together while another replica takes the rest, that it
// still gets a part of it, and that it gets its share of the work again once it names none.
func TestReplicaOverItsNamedLimit(t *testing.T) {
	for _, route := range []string{"hint", "read"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.store.Put("op/config", configDocument(1))
			other, _ := tc.addHost(func(*fpgateway.Settings) {})
			replicas := tc.engines
			if route == "read" {
				replicas = tc.serviceReplicas
			}
			limited := replicas[0]
			limited.SetLimit(fmt.Sprint(namedLimit))
			from := time.Now().Add(limitReaction)
			stop := sendSteadily([]*testCluster{tc, other}, route, 0, from)
			fpclock.Sleep(context.Background(), limitReaction+limitWindow+2*time.Second)
			served, failed := stop()
			most := mostInWindow(runTimes(limited), from)
			t.Logf("%d requests in %v at a limit of %v a second; %d served, %d not", most, limitWindow, namedLimit, served, failed)
			allowed := limitTolerance*namedLimit*limitWindow.Seconds() + limitSlack
			is.True(float64(most) <= allowed)
			is.True(float64(most) >= minLimitUse*namedLimit*limitWindow.Seconds())
			is.Equal(failed, 0)

			limited.SetLimit("")
			before := len(limited.ExecutedRequests())
			stop = sendSteadily([]*testCluster{tc, other}, route, 1_000_000, time.Now())
			fpclock.Sleep(context.Background(), 3*time.Second)
			stop()
			is.True(float64(len(limited.ExecutedRequests())-before) > 2*3*namedLimit)
		})
	}
}

// TestLimitsOfAllReplicas checks that while all replicas of a service name limits, what they allow is
// served and the rest is refused as not run at once, with a time to come back.
func TestLimitsOfAllReplicas(t *testing.T) {
	const limit, requests = 10.0, 120
	is := is.New(t)
	tc := newTestCluster(t)
	for _, r := range tc.serviceReplicas {
		r.SetLimit(fmt.Sprint(limit))
	}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range requests {
		wg.Go(func() {
			sentAt := time.Now()
			r := tc.sendNumberedRequest("call", i)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil && r.status == http.StatusOK:
				served++
			case r.err == nil && r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
				refused++
				if took := time.Since(sentAt); took > 200*time.Millisecond {
					t.Errorf("refused after %v", took)
				}
			default:
				t.Errorf("status %d, %v", r.status, r.err)
			}
		})
		fpclock.Sleep(context.Background(), 25*time.Millisecond)
	}
	wg.Wait()
	is.Equal(served+refused, requests)
	is.Equal(len(tc.allRuns()), served)
	expected := 2 * limit * time.Since(began).Seconds()
	is.True(float64(served) >= 0.7*expected)
	is.True(float64(served) <= limitTolerance*expected+2*limitSlack)
	is.True(refused > 0)
}
