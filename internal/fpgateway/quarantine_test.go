package fpgateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	deadlyPart = "dead"
	// reactionTime is the time in which all hosts must know a deadly part, counted from the crash
	// of deadlyCrashes replicas; maxLateArrivals may reach replicas after it.
	reactionTime    = 4 * time.Second
	deadlyCrashes   = 5
	maxLateArrivals = 3
	// afterReaction is how long such requests go on after reactionTime.
	afterReaction    = 3 * time.Second
	deadlyInterval   = 150 * time.Millisecond
	harmlessInterval = 15 * time.Millisecond
	// replicaDowntime is how long a crashed replica is away, and silentDowntime one that falls silent, whose
	// entry takes long to go.
	replicaDowntime = 400 * time.Millisecond
	silentDowntime  = 2 * time.Second
	// minServedShare is the least share of harmless requests that are served once the deadly ones
	// are kept from replicas.
	minServedShare = 0.5
)

type (
	// crashingFleet is a set of replicas of a service that some requests crash; each crashed replica is
	// replaced by a new one.
	crashingFleet struct {
		tc      *testCluster
		service string
		model   string
		// settle sets what crashes a new replica.
		settle func(*fpfake.Replica)
		// onCrash is called after each crash of a replica, unless it is nil.
		onCrash func(*fpfake.Replica)
		mu      sync.Mutex
		engines []*fpfake.Replica
		crashes []time.Time
		closed  bool
		// downtime is how long a crashed replica is away.
		downtime time.Duration
	}
)

// newCrashingFleet registers the given number of replicas.
func newCrashingFleet(tc *testCluster, service, model string, count int, settle func(*fpfake.Replica)) *crashingFleet {
	f := &crashingFleet{tc: tc, service: service, model: model, settle: settle, downtime: replicaDowntime}
	for range count {
		f.start()
	}
	tc.t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, e := range f.engines {
			e.Close()
		}
	})
	return f
}

func (f *crashingFleet) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	e := fpfake.NewReplica(fmt.Sprintf("d%d", len(f.engines)), f.service, "z1", f.model)
	e.EventDelay = 20 * time.Millisecond
	f.settle(e)
	e.OnCrash = sync.OnceFunc(func() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		downtime := f.downtime
		f.mu.Unlock()
		if f.onCrash != nil {
			f.onCrash(e)
		}
		time.AfterFunc(downtime, func() {
			f.tc.store.Delete("servers/" + e.ID)
			f.start()
		})
	})
	f.engines = append(f.engines, e)
	f.tc.store.Put("servers/"+e.ID, e.Registration("ready"))
}

// setDowntime sets how long replicas are away that crash from now on.
func (f *crashingFleet) setDowntime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downtime = d
}

// crashOne crashes the replica that started last.
func (f *crashingFleet) crashOne() {
	f.mu.Lock()
	e := f.engines[len(f.engines)-1]
	f.mu.Unlock()
	e.Crash()
}

// crashCount returns the number of crashes, and the time of the one with the given number, from 1.
func (f *crashingFleet) crashCount(number int) (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < number {
		return len(f.crashes), time.Time{}
	}
	return len(f.crashes), f.crashes[number-1]
}

// arrivals returns the number of requests of a kind that reached replicas after a time.
func (f *crashingFleet) arrivals(after time.Time, isOfKind func(fpfake.ExecutedRequest) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		for _, r := range e.ExecutedRequests() {
			if r.At.After(after) && isOfKind(r) {
				n++
			}
		}
	}
	return n
}

// deadlyArrivals returns the number of requests with the deadly part that reached replicas after a
// time.
func (f *crashingFleet) deadlyArrivals(after time.Time) int {
	return f.arrivals(after, func(r fpfake.ExecutedRequest) bool { return r.HasPromptPart(deadlyPart) })
}

// newCrashingCluster starts two hosts, without the engines of the usual cluster.
func newCrashingCluster(t *testing.T, engines int) (*crashingFleet, []*testCluster) {
	t.Helper()
	tc := prepareTestCluster(t)
	for _, e := range tc.engines {
		tc.store.Delete("servers/" + e.ID)
	}
	f := newCrashingFleet(tc, "llm", "m", engines, func(e *fpfake.Replica) { e.CrashParts = []string{deadlyPart} })
	tc.chooseAddresses()
	tc.store.Put("op/config", configDocument(1))
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	return f, []*testCluster{tc, other}
}

// sendEvery calls send with rising numbers at an interval, in goroutines of wg, until stop is closed.
func sendEvery(wg *sync.WaitGroup, stop <-chan struct{}, interval time.Duration, send func(number int)) {
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
				wg.Go(func() { send(i) })
			case <-stop:
				return
			}
		}
	})
}

// TestDeadlyPartEndsReplicaAfterReplica sends requests with a prompt part that crashes each replica to
// all hosts, amid harmless ones that share their other parts, and checks that soon none reaches a
// replica, also through a host that starts later, and that the harmless ones are served.
func TestDeadlyPartEndsReplicaAfterReplica(t *testing.T) {
	is := is.New(t)
	f, hosts := newCrashingCluster(t, 6)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	served, sent, refused := 0, 0, 0
	var lateFrom time.Time
	sendEvery(&wg, stop, harmlessInterval, func(i int) {
		began := time.Now()
		session := rand.IntN(20)
		r := hosts[i%len(hosts)].sendNumberedRequest("hint", 1_000_000+i, withPrompt(fmt.Sprintf("aa:1200,s%d:40,own%d:20", session, i)))
		mu.Lock()
		defer mu.Unlock()
		if !lateFrom.IsZero() && began.After(lateFrom) {
			sent++
			if r.err == nil && r.status == http.StatusOK {
				served++
			}
		}
	})
	sendEvery(&wg, stop, deadlyInterval, func(i int) {
		began := time.Now()
		r := hosts[i%len(hosts)].sendNumberedRequest("hint", 2_000_000+i, withPrompt(fmt.Sprintf("aa:1200,s%d:40,%s:60,own-d%d:20", rand.IntN(20), deadlyPart, i)))
		mu.Lock()
		defer mu.Unlock()
		if !lateFrom.IsZero() && began.After(lateFrom) && r.err == nil && r.status == http.StatusServiceUnavailable {
			refused++
		}
	})
	hosts[0].waitFor(func() bool { n, _ := f.crashCount(deadlyCrashes); return n >= deadlyCrashes }, "five crashes")
	_, fifth := f.crashCount(deadlyCrashes)
	late := fifth.Add(reactionTime)
	fpclock.Sleep(context.Background(), time.Until(late)) // the requests go on in real time
	mu.Lock()
	lateFrom = late
	mu.Unlock()
	fpclock.Sleep(context.Background(), afterReaction)
	crashes, _ := f.crashCount(deadlyCrashes)
	t.Logf("%d crashes, %d requests with the part reached replicas too late", crashes, f.deadlyArrivals(late))
	is.True(f.deadlyArrivals(late) <= maxLateArrivals)

	later := &testCluster{t: t, store: hosts[0].store, hostSettings: hosts[0].hostSettings, logs: &syncBuffer{}}
	later.hostSettings.Host = "h3"
	later.chooseAddresses()
	later.startHost()
	later.waitFor(later.isReady, "the later host is ready")
	for i := range 4 {
		r := later.sendNumberedRequest("hint", 3_000_000+i, withPrompt(fmt.Sprintf("aa:1200,%s:60,own-l%d:20", deadlyPart, i)))
		requireNoError(t, r)
		is.Equal(r.status, http.StatusServiceUnavailable)
	}
	close(stop)
	wg.Wait()
	is.True(f.deadlyArrivals(late) <= maxLateArrivals)
	is.True(sent > 0 && float64(served) >= minServedShare*float64(sent))
	is.True(refused > 0) // as not run
}

// TestQuarantineFollowsItsEntry checks that a part whose entry is in the store is refused as not run,
// also in the middle of a prompt but not as its last part, and served once an operator has deleted the
// entry.
func TestQuarantineFollowsItsEntry(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.store.Put("fescuepoint/quarantine/dead", "by hand")
	status := func(prompt string) int { return tc.sendRequest("chat", withPrompt(prompt)).status }
	tc.waitFor(func() bool { return status("aa:1200,dead:40,own:20") == http.StatusServiceUnavailable }, "refused")
	before := len(tc.allRuns())
	r := tc.sendRequest("chat", withPrompt("aa:1200,dead:40,own:20"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(tc.allRuns()), before)
	is.Equal(status("aa:1200,own:20"), http.StatusOK)
	is.Equal(status("aa:1200,dead:20"), http.StatusOK)
	tc.store.Delete("fescuepoint/quarantine/dead")
	tc.waitFor(func() bool { return status("aa:1200,dead:40,own:20") == http.StatusOK }, "served again")
}

// TestQuarantineEndsQueuedAttempts checks that a request that waits at a replica for its answer to begin
// ends when a part of its prompt is put into quarantine.
func TestQuarantineEndsQueuedAttempts(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.queueBehaviours(fpfake.Silent)
	ended := make(chan response, 1)
	go func() { ended <- tc.sendNumberedRequest("hint", 7, withPrompt("aa:1200,dead:40,own:20")) }()
	tc.waitFor(func() bool { return len(tc.allRuns()) == 1 }, "running")
	tc.store.Put("fescuepoint/quarantine/dead", "by hand")
	r := <-ended
	requireNoError(t, r)
	is.Equal(r.status, http.StatusBadGateway) // it may have run
	is.Equal(len(tc.allRuns()), 1)            // and is not sent again
}

// TestQuarantineReachesStoreAfterOutage checks that a part that was convicted while the store was out of
// reach is written once the store is back.
func TestQuarantineReachesStoreAfterOutage(t *testing.T) {
	f, hosts := newCrashingCluster(t, 12)
	hosts[0].waitFor(func() bool {
		_, ok := f.tc.store.GetString("fescuepoint/hosts/h2")
		return ok
	}, "both hosts registered")
	fpclock.Sleep(context.Background(), time.Second) // until each host has seen the other's entry
	f.tc.store.SetFault(fpfake.StoreFault{Status: http.StatusServiceUnavailable})
	number := 0
	hosts[0].waitFor(func() bool {
		number++
		hosts[0].sendNumberedRequest("hint", number, withPrompt(fmt.Sprintf("aa:1200,s:40,own%d:20", number)))
		if number%8 == 0 {
			hosts[0].sendNumberedRequest("hint", 1000+number, withPrompt(fmt.Sprintf("aa:1200,%s:60,own%d:20", deadlyPart, number)))
		}
		return hosts[1].linesWith("added to quarantine") != ""
	}, "learnt by the other host")
	f.tc.store.SetFault(fpfake.StoreFault{})
	hosts[0].waitFor(func() bool {
		_, ok := f.tc.store.GetString("fescuepoint/quarantine/" + deadlyPart)
		return ok
	}, "stored")
}
