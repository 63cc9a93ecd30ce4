package fpgateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	// pauseTime is the Retry-After of a replica, pauseReaction the time from its answer in which requests that
	// were sent before may still reach it, and pauseMargin what the clocks of the test may differ.
	pauseTime     = time.Second
	pauseReaction = 100 * time.Millisecond
	pauseMargin   = 20 * time.Millisecond
)

// arrivalsBetween returns how many requests reached a replica in a span of time.
func arrivalsBetween(r *fpfake.Replica, from, to time.Time) int {
	n := 0
	for _, a := range r.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// TestReplicaThatAsksForPauseGetsNoRequest checks that a replica that refuses a request and names the time for
// which it wants none gets none until its end, under concurrent requests, while the other serves all, and that
// it serves again after it.
func TestReplicaThatAsksForPauseGetsNoRequest(t *testing.T) {
	for _, route := range []string{"chat", "hint", "call", "read"} {
		for name, behaviour := range map[string]fpfake.Behaviour{"not run": fpfake.Reject, "says nothing of a run": fpfake.Unavailable} {
			t.Run(route+"/"+name, func(t *testing.T) {
				is := is.New(t)
				tc := newTestCluster(t)
				pausing := tc.replicasOf(route)[0]
				pausing.SetDefaultBehaviour(behaviour)
				pausing.SetRetryAfter(fmt.Sprint(pauseTime.Seconds()))
				tc.waitFor(func() bool {
					tc.sendMany(route, 1)
					return len(pausing.Arrivals()) > 0
				}, "a refusal")
				refusedAt := pausing.Arrivals()[0].At
				pausing.SetDefaultBehaviour(fpfake.Serve)
				stop := sendSteadily([]*testCluster{tc}, route, 1_000_000, time.Now())
				end := refusedAt.Add(pauseTime)
				tc.waitFor(func() bool { return time.Now().After(end) && arrivalsBetween(pausing, end, time.Now()) > 0 }, "used again")
				served, failed := stop()
				early := arrivalsBetween(pausing, refusedAt.Add(pauseReaction), end.Add(-pauseMargin))
				t.Logf("%d requests reached the replica within the pause; %d served, %d not", early, served, failed)
				is.Equal(early, 0)
				is.Equal(failed, 0)
				is.True(tc.linesWith("replica pauses requests") != "")
			})
		}
	}
}

// TestAllReplicasPause checks that a request is rejected at once as not run, with the time until the first
// pause ends, while all replicas of its service pause.
func TestAllReplicasPause(t *testing.T) {
	for _, route := range []string{"chat", "hint", "call", "read"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			replicas := tc.replicasOf(route)
			replicas[0].SetRetryAfter("3")
			replicas[1].SetRetryAfter("60")
			for _, r := range replicas {
				r.SetDefaultBehaviour(fpfake.Reject)
			}
			statuses := tc.sendMany(route, leavingRequests)
			is.Equal(statuses[http.StatusServiceUnavailable], leavingRequests)
			t.Logf("%d and %d of %d requests reached the replicas", len(replicas[0].Arrivals()), len(replicas[1].Arrivals()), leavingRequests)
			is.Equal(len(replicas[0].Arrivals()), 1)
			is.Equal(len(replicas[1].Arrivals()), 1)
			began := time.Now()
			r := tc.sendRequest(route, nil)
			is.True(time.Since(began) < atOnce)
			is.Equal(r.status, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 2)
			is.True(seconds <= 3*1.25)
			is.Equal(len(tc.allRuns()), 0)
		})
	}
}

// TestPausedReplicaIsNotPolled checks that the calls for cache events, too, leave a replica alone that wants no
// requests for a time, and go on after it.
func TestPausedReplicaIsNotPolled(t *testing.T) {
	const pause = 4 * time.Second
	is := is.New(t)
	tc := newTestCluster(t)
	e := tc.engines[0]
	tc.waitFor(func() bool { return len(e.EventPolls()) > 0 }, "a first poll")
	e.SetRetryAfter(fmt.Sprint(pause.Seconds()))
	e.SetDefaultBehaviour(fpfake.Reject)
	tc.waitFor(func() bool {
		tc.sendMany("hint", 1)
		return len(e.Arrivals()) > 0
	}, "a refusal")
	end := e.Arrivals()[0].At.Add(pause)
	// A poll that is held open as the pause begins may end in it.
	tc.waitFor(func() bool { return time.Until(end) < pause-time.Second }, "held polls over")
	before := len(e.EventPolls())
	tc.waitFor(func() bool { return time.Until(end) < pauseReaction }, "the end of the pause is near")
	t.Logf("%d polls within the pause", len(e.EventPolls())-before)
	is.Equal(len(e.EventPolls()), before)
	tc.waitFor(func() bool { return len(e.EventPolls()) > before }, "polled again")
}
