package fpgateway_test

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	endlessReplicas = 50
	// endlessHeapBytes is far below the memory of the smallest host, 184 MB, and includes the
	// replicas, which run in the same process.
	endlessHeapBytes = 100 << 20
)

// TestServesBesideEndlessAnswers checks that a host whose upstreams include fifty that send bytes
// without end stays within its memory, answers each caller by its deadline, and never with a
// success that is not the answer.
func TestServesBesideEndlessAnswers(t *testing.T) {
	for name, b := range map[string]fpfake.Behaviour{
		"header": fpfake.EndlessHeader, "body": fpfake.EndlessBody, "rejection": fpfake.EndlessRejection,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.hostSettings.MemoryBytes = 184 << 20
			for i := range endlessReplicas {
				service, model := "app", ""
				if i%2 == 0 {
					service, model = "llm", "m"
				}
				r := fpfake.NewReplica("x"+string(rune('A'+i)), service, "z1", model)
				t.Cleanup(r.Close)
				r.SetDefaultBehaviour(b)
				tc.store.Put("servers/"+r.ID, r.Registration("ready"))
			}
			tc.chooseAddresses()
			tc.store.Put("op/config", configDocument(1))
			tc.startHost()
			tc.waitFor(tc.isReady, "ready")
			var answers sync.Map
			peak := heapPeakDuring(func() {
				var wg sync.WaitGroup
				for i := range 2 * endlessReplicas {
					route := []string{"read", "chat", "call", "hint"}[i%4]
					wg.Go(func() { answers.Store(i, tc.sendNumberedRequest(route, i)) })
				}
				wg.Wait()
			})
			t.Logf("the heap reached %d MB", peak>>20)
			if peak > endlessHeapBytes {
				t.Errorf("the heap reached %d MB", peak>>20)
			}
			answers.Range(func(_, v any) bool {
				r := v.(response)
				if r.err == nil && r.status == http.StatusOK {
					is.True(r.body == "answer to "+r.header.Get("Attempt-Id") || r.body == wholeStream)
				}
				return true
			})
			// The failing replicas are avoided by now.
			tc.waitFor(func() bool { return tc.sendNumberedRequest("read", 1000).status == http.StatusOK }, "a plain request served")
			tc.waitFor(func() bool { return tc.sendNumberedRequest("hint", 1001).status == http.StatusOK }, "a stream served")
		})
	}
}

// heapPeakDuring returns the largest heap seen while f runs.
func heapPeakDuring(f func()) uint64 {
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		largest := uint64(0)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc)
			select {
			case <-ticker.C:
			case <-done:
				peak <- largest
				return
			}
		}
	}()
	f()
	close(done)
	return <-peak
}
