package fpgateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// rejectOnce lets each engine turn one request away, with a time in which it wants no requests from the first host.
func (b *buildTest) rejectOnce(retryAfter string) {
	for _, e := range b.engines {
		e.SetRetryAfter(retryAfter)
		e.SetNextBehaviours(fpfake.Reject)
	}
	for range len(b.engines) {
		_ = b.sendRequest("hint", nil)
	}
}

// beginStreamsTogether begins streams at the first host at the same time, each of which breaks at its client after the
// first event, and calls during once all of them have reached an engine.
func (b *buildTest) beginStreamsTogether(during func()) []brokenStream {
	b.t.Helper()
	var mu sync.Mutex
	var out []brokenStream
	var clients sync.WaitGroup
	arrived := func() int {
		n := 0
		for _, e := range b.engines {
			n += len(e.Arrivals())
		}
		return n
	}
	before := arrived()
	for range takenUpStreams {
		b.requests++
		number := b.requests
		clients.Go(func() {
			res, id, err := b.openStream(context.Background(), number, nil)
			if err != nil {
				b.t.Error(err)
				return
			}
			text, err := readEvent(res)
			if err != nil {
				b.t.Error(res.StatusCode, err)
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, brokenStream{id: id, text: text})
		})
	}
	b.waitFor(func() bool { return arrived() >= before+takenUpStreams }, "streams at the engines")
	during()
	clients.Wait()
	return out
}

// takeUpTogether takes streams up at the same time, and returns how many were joined and how many went on.
func (b *buildTest) takeUpTogether(streams []brokenStream) (joinedCount, wentOn int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, s := range streams {
		clients.Go(func() {
			text, status := b.takeUp(s, "")
			mu.Lock()
			defer mu.Unlock()
			if joined(text) {
				joinedCount++
			}
			if status == http.StatusOK {
				wentOn++
			}
		})
	}
	clients.Wait()
	return joinedCount, wentOn
}

// configDocumentWithTimeout is configDocument with the time that the operator wants requests kept waiting at most.
func configDocumentWithTimeout(version int, timeout time.Duration) map[string]any {
	c := configDocument(version)
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = timeout.Milliseconds()
	}
	return c
}

// TestStreamBegunWithoutProofOfStart lets streams begin on new connections while their replicas' starts can't be read.
// It guards against one missing answer that makes a stream's software version unknown for good and at all hosts: each
// stream has to go on, though not where the replica had restarted.
func TestStreamBegunWithoutProofOfStart(t *testing.T) {
	setReports := func(b *buildTest, d time.Duration) {
		for _, e := range b.engines {
			e.SetReportDelay(d)
		}
	}
	pause := func(b *buildTest) { b.rejectOnce("1") }
	awaitProof := func(b *buildTest) {
		b.waitFor(func() bool { return strings.Contains(b.logs.String(), "stream origins confirmed") }, "proof")
	}
	tests := map[string]struct {
		second string
		// before happens before the streams begin.
		before func(*buildTest)
		// during happens once the streams have reached their engines, before their first event.
		during func(*buildTest)
		// after happens before the streams are taken up.
		after func(*buildTest)
		// refused says that no stream may go on.
		refused bool
	}{
		"replicas pause, at a second host": {second: "v1", during: pause, after: func(b *buildTest) { b.takenUpAt = b.other }},
		"replicas pause, at the same host": {second: "v1", during: pause, after: awaitProof},
		"replicas pause, two versions":     {second: "v2", during: pause, after: func(b *buildTest) { b.takenUpAt = b.other }},
		"reports take long, at a second host": {
			second: "v1", during: func(b *buildTest) { setReports(b, 900*time.Millisecond) },
			after: func(b *buildTest) { b.takenUpAt = b.other },
		},
		"reports take long, at the same host": {second: "v1", during: func(b *buildTest) { setReports(b, 900*time.Millisecond) }},
		"no reports for some time": {
			second: "v1", during: func(b *buildTest) { setReports(b, time.Hour) },
			after: func(b *buildTest) { b.takenUpAt = b.other; setReports(b, 0) },
		},
		"replicas leave": {
			second: "v2", during: func(*buildTest) {},
			before: func(b *buildTest) {
				for _, e := range b.engines[:2] {
					e.SetLeaving("1")
				}
			},
			after: func(b *buildTest) { b.takenUpAt = b.other },
		},
		"replicas pause, the first host restarts": {
			second: "v1", during: pause,
			after: func(b *buildTest) { b.restart(b.testCluster) },
		},
		"replicas pause, restarted at another version": {
			second: "v1", refused: true,
			during: func(b *buildTest) {
				pause(b)
				for _, e := range b.engines {
					e.SetReportDelay(time.Hour)
				}
			},
			after: func(b *buildTest) {
				b.takenUpAt = b.other
				for _, e := range b.engines {
					e.SetReportDelay(0)
					e.RestartAs("v2")
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBuildTest(t, tt.second)
			b.store.Put("op/config", configDocumentWithTimeout(2, 6*time.Second))
			for _, o := range []*testCluster{b.testCluster, b.other} {
				b.waitFor(func() bool { return strings.Contains(o.logs.String(), `"ConfigVersion":2`) }, "the longer time")
			}
			for _, e := range b.engines {
				e.SetEventDelay(300 * time.Millisecond)
			}
			if tt.before != nil {
				tt.before(b)
			}
			streams := b.beginStreamsTogether(func() { tt.during(b) })
			is.Equal(len(streams), takenUpStreams)
			for _, e := range b.engines {
				e.SetEventDelay(10 * time.Millisecond)
			}
			fpclock.Sleep(context.Background(), 150*time.Millisecond) // origins are shared
			if tt.after != nil {
				tt.after(b)
			}
			joinedCount, wentOn := b.takeUpTogether(streams)
			t.Logf("%d of %d streams went on, %d were joined", wentOn, len(streams), joinedCount)
			is.Equal(joinedCount, 0)
			if tt.refused {
				is.Equal(wentOn, 0)
				return
			}
			is.Equal(wentOn, len(streams))
		})
	}
}
