package fpdispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

// intakeRequests is the number of requests in a row of which an upstream that takes none may get one.
const intakeRequests = 8

type (
	// talkingUpstream adds header fields to the answers of an upstream, or refuses its requests.
	talkingUpstream struct {
		next     http.Handler
		mu       sync.Mutex
		header   map[string]string
		status   int
		arrivals []time.Time
	}

	// intakeFixture is an engineFixture with two replicas of a plain service. The first engine and the first
	// replica are preferred.
	intakeFixture struct {
		*engineFixture
		first map[string]*talkingUpstream
	}

	// sendFunc sends a request with an ID.
	sendFunc func(f *intakeFixture, id string) fpoutcome.Outcome
)

func (u *talkingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	if r.Method == http.MethodPost {
		u.arrivals = append(u.arrivals, time.Now())
	}
	for k, v := range u.header {
		w.Header().Set(k, v)
	}
	status := u.status
	u.mu.Unlock()
	if status != 0 && r.Method == http.MethodPost {
		w.WriteHeader(status)
		return
	}
	u.next.ServeHTTP(w, r)
}

// say sets what the upstream's answers say from now on, and the status of its refusals, 0 for none.
func (u *talkingUpstream) say(status int, header map[string]string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.status, u.header = status, header
}

func (u *talkingUpstream) arrivalCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

func newIntakeFixture(t *testing.T) *intakeFixture {
	t.Helper()
	f := &intakeFixture{engineFixture: newEngineFixture(t), first: make(map[string]*talkingUpstream)}
	serve := func(name, address string, h http.Handler) {
		f.first[name] = &talkingUpstream{next: h}
		f.stops = append(f.stops, f.network.Serve(address, f.first[name]))
	}
	for i, a := range f.addresses {
		serve(fmt.Sprint("engine", i), a, f.engines[i].Handler())
	}
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fpchat.AttemptHeader, r.Header.Get(fpchat.AttemptHeader))
		w.WriteHeader(http.StatusOK)
	}
	for i := range 2 {
		serve(fmt.Sprint("service", i), fmt.Sprintf("10.3.0.%d:80", i), http.HandlerFunc(answer))
	}
	f.publish(1)
	return f
}

// publish publishes all upstreams as ready, in the given incarnation.
func (f *intakeFixture) publish(incarnation uint64) {
	f.publishWeights([]string{"1", "1"})
	s := *f.state.Load()
	s.Services = make(map[string][]fpstate.Upstream)
	for i := range s.View.Replicas {
		s.View.Replicas[i].Incarnation = incarnation
	}
	for i := range 2 {
		s.Services["app"] = append(s.Services["app"], fpstate.Upstream{
			Upstream: fpconfig.Upstream{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.3.0.%d:80", i), AvailabilityZone: "z"},
			Report:   fpupstream.LoadReport{Incarnation: incarnation}, Reachable: true,
		})
	}
	f.state.Publish(&s)
}

// requestKinds returns how to send each kind of request, with the upstreams that serve it.
func requestKinds() map[string]struct {
	send     sendFunc
	upstream string
} {
	gate := func(l *fpoutcome.Ledger) func() error {
		return func() error {
			l.MarkDispatched()
			return nil
		}
	}
	chat := func(once bool) sendFunc {
		return func(f *intakeFixture, id string) fpoutcome.Outcome {
			r := &chatRun{
				dispatcher: f.dispatcher, model: fpconfig.Model{Name: "tutor", Weights: "1"}, sink: &collector{}, ledger: fpoutcome.NewLedger(!once),
				admitted: AdmittedRequest{Team: "t", RequestID: id, ReceivedAt: time.Now(), Deadline: time.Now()},
				request: fpchat.Request{Model: "tutor", MaxTokens: 8, Messages: []fpchat.Message{
					{Role: "system", Content: strings.Repeat("manual ", 300)}, {Role: "user", Content: id},
				}},
			}
			if once {
				r.dispatchGate = gate(r.ledger)
			}
			return r.run(context.Background()).Outcome
		}
	}
	call := func(once bool) sendFunc {
		return func(f *intakeFixture, id string) fpoutcome.Outcome {
			q := AdmittedRequest{Team: "t", RequestID: id, ReceivedAt: time.Now(), Deadline: time.Now()}
			l := fpoutcome.NewLedger(!once)
			var g func() error
			if once {
				g = gate(l)
			}
			c := ServiceCall{Service: "app", Method: http.MethodPost, Path: "/read", Body: []byte(id)}
			return f.dispatcher.callService(context.Background(), q, c, l, g, nil).Outcome
		}
	}
	return map[string]struct {
		send     sendFunc
		upstream string
	}{
		"chat":              {send: chat(false), upstream: "engine"},
		"chat once":         {send: chat(true), upstream: "engine"},
		"service call":      {send: call(false), upstream: "service"},
		"service call once": {send: call(true), upstream: "service"},
	}
}

// sendSeveral sends requests one after the other and returns how many had each outcome.
func (f *intakeFixture) sendSeveral(send sendFunc, prefix string) map[fpoutcome.Kind]int {
	kinds := make(map[fpoutcome.Kind]int)
	for i := range intakeRequests {
		kinds[send(f, fmt.Sprint(prefix, i)).Kind()]++
	}
	return kinds
}

// TestUpstreamThatLeavesGetsNoRequest checks that an upstream whose answers say that it leaves, but not its
// load reports, gets no request after the first such answer until it starts anew.
func TestUpstreamThatLeavesGetsNoRequest(t *testing.T) {
	for name, kind := range requestKinds() {
		for how, status := range map[string]int{"answer": 0, "refusal": http.StatusServiceUnavailable} {
			t.Run(name+"/"+how, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newIntakeFixture(t)
					defer f.close()
					leaving := f.first[kind.upstream+"0"]
					leaving.say(status, map[string]string{"X-Leaving": "true"})
					kinds := f.sendSeveral(kind.send, "first")
					t.Logf("%d of %d requests reached the leaving upstream; outcomes %v", leaving.arrivalCount(), intakeRequests, kinds)
					is.Equal(leaving.arrivalCount(), 1)
					is.True(kinds[fpoutcome.Complete] >= intakeRequests-1)

					leaving.say(0, nil)
					time.Sleep(time.Hour)
					f.publish(1)
					is.Equal(f.sendSeveral(kind.send, "second")[fpoutcome.Complete], intakeRequests)
					is.Equal(leaving.arrivalCount(), 1)
					f.publish(2)
					is.Equal(f.sendSeveral(kind.send, "third")[fpoutcome.Complete], intakeRequests)
					is.True(leaving.arrivalCount() > 1)
				})
			})
		}
	}
}

// TestAllUpstreamsLeave checks that a request is refused at once as not run while all upstreams leave.
func TestAllUpstreamsLeave(t *testing.T) {
	for name, kind := range requestKinds() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newIntakeFixture(t)
				defer f.close()
				for i := range 2 {
					f.first[fmt.Sprint(kind.upstream, i)].say(0, map[string]string{"X-Leaving": "true"})
				}
				is.Equal(f.sendSeveral(kind.send, "first")[fpoutcome.Complete], 2)
				began := time.Now()
				is.Equal(kind.send(f, "last").Kind(), fpoutcome.NotRun)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(f.first[kind.upstream+"0"].arrivalCount()+f.first[kind.upstream+"1"].arrivalCount(), 2)
			})
		})
	}
}

// upstreamPause is the retry delay of an upstream that refuses requests.
const upstreamPause = 10 * time.Second

// TestUpstreamThatAsksForPauseGetsNoRequest checks that an upstream that refuses a request with a retry delay
// gets none until its end, and then some again.
func TestUpstreamThatAsksForPauseGetsNoRequest(t *testing.T) {
	for name, kind := range requestKinds() {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			t.Run(fmt.Sprint(name, "/", status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newIntakeFixture(t)
					defer f.close()
					pausing := f.first[kind.upstream+"0"]
					pausing.say(status, map[string]string{"Retry-After": fmt.Sprint(upstreamPause.Seconds())})
					refused := kind.send(f, "refused").Kind()
					pausing.say(0, nil)
					kinds := f.sendSeveral(kind.send, "first")
					t.Logf("%v; then %d of %d requests reached the pausing upstream; outcomes %v", refused, pausing.arrivalCount()-1, intakeRequests, kinds)
					is.Equal(pausing.arrivalCount(), 1)
					is.Equal(kinds[fpoutcome.Complete], intakeRequests)
					if !strings.HasSuffix(name, "once") {
						is.Equal(refused, fpoutcome.Complete)
					}
					time.Sleep(upstreamPause)
					is.Equal(f.sendSeveral(kind.send, "second")[fpoutcome.Complete], intakeRequests)
					is.True(pausing.arrivalCount() > 1)
				})
			})
		}
	}
}

// TestAllUpstreamsPause checks that a request is refused at once as not run while all upstreams pause, with the
// time until the first pause ends.
func TestAllUpstreamsPause(t *testing.T) {
	for name, kind := range requestKinds() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newIntakeFixture(t)
				defer f.close()
				for i := range 2 {
					f.first[fmt.Sprint(kind.upstream, i)].say(http.StatusServiceUnavailable,
						map[string]string{"Retry-After": fmt.Sprint((1 + 5*float64(i)) * upstreamPause.Seconds())})
				}
				f.sendSeveral(kind.send, "first")
				arrivals := f.first[kind.upstream+"0"].arrivalCount() + f.first[kind.upstream+"1"].arrivalCount()
				t.Logf("%d of %d requests reached the pausing upstreams", arrivals, intakeRequests)
				is.Equal(arrivals, 2)
				began := time.Now()
				o := kind.send(f, "last")
				is.Equal(o.Kind(), fpoutcome.NotRun)
				is.Equal(time.Since(began), time.Duration(0))
				is.True(o.RetryAfter() > upstreamPause/2)
				is.True(o.RetryAfter() <= upstreamPause+upstreamPause/4)
			})
		})
	}
}
