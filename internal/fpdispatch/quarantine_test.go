package fpdispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	deadlyText = "deadly passage"
	// deadlyReaction, deadlyCrashes and maxLateArrivals are the bounds for the fleet: the time from
	// the fifth crash, and the requests that may reach engines after it.
	deadlyReaction  = 4 * time.Second
	deadlyCrashes   = 5
	maxLateArrivals = 3
	engineDowntime  = 2 * time.Second
)

type (
	// fragileEngines are engines that crash as they begin to answer a prompt with the deadly text.
	fragileEngines struct {
		mu       sync.Mutex
		arrivals []time.Time
		stops    []func()
	}
)

// serve serves an engine at an address. When the engine crashes, it breaks off its connections and
// refuses new ones for a while.
func (f *fragileEngines) serve(ef *engineFixture, address string, next http.Handler) {
	var stop func()
	crash := sync.OnceFunc(func() {
		go stop()
		time.AfterFunc(engineDowntime, func() { f.serve(ef, address, next) })
	})
	stop = ef.network.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || bytes.Contains(body, []byte(deadlyText)) {
			f.mu.Lock()
			f.arrivals = append(f.arrivals, time.Now())
			f.mu.Unlock()
			crash()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	}))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, stop)
}

// close stops all engines.
func (f *fragileEngines) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stop := range f.stops {
		stop()
	}
}

// newFragileEngine starts an engine, which is not served yet.
func newFragileEngine(ef *engineFixture, number int) (fproute.Replica, http.Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	ef.stops = append(ef.stops, cancel)
	name := fmt.Sprint("f", number)
	e := fpstandin.NewEngine(fpstandin.EngineSettings{Name: name, Model: "tutor", Weights: "1", Capacity: fpengine.Settings{}})
	go func() { _ = e.Run(ctx) }()
	return fproute.Replica{
		Name: name, Address: fmt.Sprintf("10.2.0.%d:80", number), Incarnation: 1, Zone: "z", Model: "tutor", Weights: "1", PrefillRate: 20_000,
	}, e.Handler()
}

// newFragileFixture returns a dispatcher with the given number of engines.
func newFragileFixture(t *testing.T, count int) (*engineFixture, *fragileEngines) {
	t.Helper()
	ef, f := newEngineFixture(t), &fragileEngines{}
	ef.stops = append(ef.stops, f.close)
	s := &fpstate.Snapshot{View: fproute.View{Zone: "z", Hosts: 1}}
	for i := range count {
		r, handler := newFragileEngine(ef, i)
		f.serve(ef, r.Address, handler)
		s.View.Replicas = append(s.View.Replicas, r)
	}
	ef.state.Publish(s)
	return ef, f
}

func (ef *engineFixture) sendPassage(id, passage string) RequestResult {
	q := AdmittedRequest{Team: "t", RequestID: id, ReceivedAt: time.Now(), Deadline: time.Now()}
	req := fpchat.Request{Model: "tutor", MaxTokens: 8, Messages: []fpchat.Message{
		{Role: "system", Content: strings.Repeat("manual ", 300)}, {Role: "user", Content: passage}, {Role: "user", Content: "why " + id},
	}}
	return ef.dispatcher.DispatchChat(context.Background(), q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, &collector{})
}

// TestDeadlyPromptEndsEngineAfterEngine sends prompts that crash each engine amid harmless ones that
// share their first part, and checks that one request takes few engines, that soon none reaches an
// engine, and that the harmless ones are served.
func TestDeadlyPromptEndsEngineAfterEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ef, f := newFragileFixture(t, 12)
		defer ef.close()
		ef.sendPassage("first", deadlyText)
		is.True(len(f.arrivals) <= maxCrashesPerRequest)
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, sent := 0, 0
		began := time.Now()
		for i := range 400 {
			wg.Go(func() {
				r := ef.sendPassage(fmt.Sprint("h", i), fmt.Sprint("passage ", i%20))
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) > 10*time.Second {
					sent++
					if r.Outcome.Kind() == fpoutcome.Complete {
						served++
					}
				}
			})
			if i%10 == 0 {
				wg.Go(func() { ef.sendPassage(fmt.Sprint("d", i), deadlyText) })
			}
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		f.mu.Lock()
		late := 0
		if len(f.arrivals) >= deadlyCrashes {
			for _, at := range f.arrivals {
				if at.After(f.arrivals[deadlyCrashes-1].Add(deadlyReaction)) {
					late++
				}
			}
		}
		t.Logf("%d deadly requests reached engines, %d late; %d of %d harmless served", len(f.arrivals), late, served, sent)
		f.mu.Unlock()
		is.True(late <= maxLateArrivals)
		is.True(sent > 0 && served == sent)
	})
}

// TestRefusesPartsConvictedElsewhere checks that a prompt with a part that another host convicted is refused
// as not run, and that no engine gets it.
func TestRefusesPartsConvictedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ef, f := newFragileFixture(t, 2)
		defer ef.close()
		parts := promptParts(fpchat.Request{Messages: []fpchat.Message{{Content: deadlyText}, {Content: "why"}}})
		ef.dispatcher.AdoptQuarantinedParts([]fpquarantine.Entry{{ID: parts[0].ID, Age: time.Second}})
		is.Equal(ef.sendPassage("deadly", deadlyText).Outcome.Kind(), fpoutcome.NotRun)
		is.Equal(ef.sendPassage("harmless", "passage").Outcome.Kind(), fpoutcome.Complete)
		is.Equal(len(f.arrivals), 0)
		is.Equal(len(ef.dispatcher.QuarantinedParts(8)), 1)
		time.Sleep(fpquarantine.Duration)
		is.Equal(ef.sendPassage("later", deadlyText).Outcome.Kind(), fpoutcome.Failed)
	})
}

// serveFragileService serves a plain service's replica that crashes as it begins to run a call with the
// deadly text, and is back after a while.
func (f *fragileEngines) serveFragileService(ef *engineFixture, address string) {
	f.serve(ef, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fpchat.AttemptHeader, r.Header.Get(fpchat.AttemptHeader))
		w.WriteHeader(http.StatusOK)
	}))
}

// TestRepeatedRequestEndsUpstreamAfterUpstream sends one request that crashes each upstream again and again
// as it was, amid harmless ones or alone, and checks that soon it reaches none and that the harmless ones are served.
func TestRepeatedRequestEndsUpstreamAfterUpstream(t *testing.T) {
	const repeatedCrashes = 3
	chat := func(ef *engineFixture, text string) fpoutcome.Kind {
		q := AdmittedRequest{Team: "t", RequestID: "r", ReceivedAt: time.Now(), Deadline: time.Now()}
		req := fpchat.Request{Model: "tutor", MaxTokens: 8, Messages: []fpchat.Message{
			{Role: "system", Content: strings.Repeat("manual ", 300)}, {Role: "user", Content: text},
		}}
		return ef.dispatcher.DispatchChat(context.Background(), q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, &collector{}).Outcome.Kind()
	}
	call := func(ef *engineFixture, text string) fpoutcome.Kind {
		q := AdmittedRequest{Team: "t", RequestID: "r", ReceivedAt: time.Now(), Deadline: time.Now()}
		c := ServiceCall{Service: "app", Method: http.MethodPost, Path: "/read", Body: []byte(text)}
		return ef.dispatcher.DispatchService(context.Background(), q, c).Outcome.Kind()
	}
	tests := map[string]struct {
		send  func(*engineFixture, string) fpoutcome.Kind
		alone bool
	}{
		"chat":                {send: chat},
		"service call":        {send: call},
		"chat, alone":         {send: chat, alone: true},
		"service call, alone": {send: call, alone: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ef, f := newFragileFixture(t, 6)
				defer ef.close()
				s := *ef.state.Load()
				s.Services = make(map[string][]fpstate.Upstream)
				for i := range 3 {
					address := fmt.Sprintf("10.3.0.%d:80", i)
					f.serveFragileService(ef, address)
					s.Services["app"] = append(s.Services["app"], fpstate.Upstream{
						Upstream: fpconfig.Upstream{Name: fmt.Sprint("s", i), Address: address, AvailabilityZone: "z"}, Reachable: true,
					})
				}
				ef.state.Publish(&s)
				var wg sync.WaitGroup
				var mu sync.Mutex
				served, sent, refused := 0, 0, 0
				for i := range 300 {
					late := i > 200
					if !tt.alone {
						wg.Go(func() {
							kind := tt.send(ef, fmt.Sprint("harmless ", i))
							mu.Lock()
							defer mu.Unlock()
							if late {
								sent++
								if kind == fpoutcome.Complete {
									served++
								}
							}
						})
					}
					if i%20 == 0 {
						wg.Go(func() {
							kind := tt.send(ef, deadlyText)
							mu.Lock()
							defer mu.Unlock()
							if kind == fpoutcome.NotRun {
								refused++
							}
						})
					}
					time.Sleep(50 * time.Millisecond)
				}
				wg.Wait()
				f.mu.Lock()
				late := 0
				if len(f.arrivals) >= repeatedCrashes {
					for _, at := range f.arrivals {
						if at.After(f.arrivals[repeatedCrashes-1].Add(deadlyReaction)) {
							late++
						}
					}
				}
				t.Logf("%d deadly requests reached upstreams, %d late, %d refused; %d of %d harmless served", len(f.arrivals), late, refused, served, sent)
				f.mu.Unlock()
				is.True(late <= maxLateArrivals)
				is.True(refused > 0)
				is.True(tt.alone || sent > 0)
				is.Equal(served, sent)
			})
		})
	}
}
