package fpdispatch

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpmetric"
	"github.com/fescuepoint/fescuepoint/internal/fppipe"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	engineCount = 2
	outputs     = 200
	// recoverWithin is the users' bound from silence to recovery.
	recoverWithin = 3 * time.Second
)

type (
	// engines is a dispatcher before stand-in engines in a network in memory.
	engines struct {
		network    fppipe.Network
		engines    []*fpstandin.Engine
		addresses  []string
		state      fpstate.Holder
		dispatcher *Dispatcher
		client     *fpupstream.Client
		stops      []func()
	}

	// collector is a sink that keeps text and the longest pause in it.
	collector struct {
		mu      sync.Mutex
		text    strings.Builder
		last    time.Time
		longest time.Duration
		pause   time.Duration
		gone    bool
		onText  func(total int)
	}
)

func newEngines(t *testing.T) *engines {
	t.Helper()
	w := &engines{}
	ctx, cancel := context.WithCancel(context.Background())
	w.stops = append(w.stops, cancel)
	for i := range engineCount {
		name := string(rune('a' + i))
		e := fpstandin.NewEngine(fpstandin.EngineSettings{Name: name, Model: "tutor", Weights: "1", Sizes: fpengine.Settings{}})
		go func() { _ = e.Run(ctx) }()
		address := "10.1.0." + name + ":80"
		w.stops = append(w.stops, w.network.Serve(address, e.Handler()))
		w.engines = append(w.engines, e)
		w.addresses = append(w.addresses, address)
	}
	w.client = fpupstream.NewClient(fpupstream.Settings{Dialer: w.network.Dial})
	w.dispatcher = New(Host{Name: "entry", Incarnation: 1}, Settings{Clock: func() time.Duration { return 0 }},
		&w.state, w.client, nil, fpclaimant.NewAttemptTable(10), fprecord.NewRing(100), fpmetric.New())
	w.publish([]string{"1", "1"})
	return w
}

// publish shows the engines with the given weights to placement; engine a is preferred.
func (w *engines) publish(weights []string) {
	s := &fpstate.Snapshot{View: fproute.View{Zone: "z", Hosts: 1}}
	for i, a := range w.addresses {
		s.View.Replicas = append(s.View.Replicas, fproute.Replica{
			Name:        string(rune('a' + i)),
			Address:     a,
			Incarnation: 1,
			Zone:        "z",
			Model:       "tutor",
			Weights:     weights[i],
			PrefillRate: 20_000,
			RoundTrip:   float64(i),
		})
	}
	w.state.Publish(s)
}

func (w *engines) close() {
	w.client.Close()
	for _, stop := range w.stops {
		stop()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

func (w *engines) ask(ctx context.Context, sink Sink) Final {
	q := Query{Team: "t", RequestID: "r", Received: time.Now(), Deadline: time.Now()}
	req := fpchat.Request{Model: "tutor", MaxTokens: outputs, Messages: []fpchat.Message{
		{Role: "system", Content: strings.Repeat("manual ", 3000)}, {Role: "user", Content: "why?"},
	}}
	return w.dispatcher.Chat(ctx, q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, sink)
}

// Begin starts the clock for pauses.
func (c *collector) Begin(string, string) { c.last = time.Now() }

// Text keeps the text and notes the pause before it.
func (c *collector) Text(offset int, text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return errors.New("gone")
	}
	if offset != c.text.Len() {
		return errors.Newf("piece at %d, have %d", offset, c.text.Len())
	}
	c.longest = max(c.longest, time.Since(c.last))
	c.text.WriteString(text)
	if c.onText != nil {
		c.onText(c.text.Len())
	}
	time.Sleep(c.pause)
	c.last = time.Now()
	return nil
}

// TestStreams holds answers under failure against the bytes of an uncut run.
func TestStreams(t *testing.T) {
	tests := map[string]struct {
		before func(*engines, *collector)
		resume int
	}{
		"uncut":             {func(*engines, *collector) {}, 0},
		"cut in the middle": {func(w *engines, _ *collector) { w.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50}) }, 1},
		"silent in the middle": {func(w *engines, _ *collector) {
			w.engines[0].SetFaults(fpstandin.Faults{SilentAfterTokens: 50})
		}, 1},
		"all connections silent": {func(w *engines, c *collector) {
			c.onText = once(400, func() { w.network.Silence(w.addresses[0]) })
		}, 1},
		"engine crashes": {func(w *engines, c *collector) {
			c.onText = once(400, func() { w.engines[0].Crash() })
		}, 0},
		"engine unreachable": {func(w *engines, c *collector) {
			c.onText = once(400, func() { w.network.Lose(w.addresses[0], true) })
		}, 0},
		"answer crossed":  {func(w *engines, _ *collector) { w.engines[0].SetFaults(fpstandin.Faults{CrossAnswers: 1}) }, 1},
		"slow reader":     {func(_ *engines, c *collector) { c.pause = 20 * time.Millisecond }, 0},
		"first refuses":   {func(w *engines, _ *collector) { w.network.Lose(w.addresses[0], true) }, 0},
		"first has moved": {func(w *engines, _ *collector) { w.engines[0].SetFaults(fpstandin.Faults{Down: true}) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				uncut := newEngines(t)
				want := &collector{}
				is.Equal(uncut.ask(context.Background(), want).Outcome.Kind(), fpoutcome.Complete)
				uncut.close()
				w := newEngines(t)
				got := &collector{}
				tt.before(w, got)
				f := w.ask(context.Background(), got)
				is.Equal(f.Outcome.Kind(), fpoutcome.Complete)
				is.Equal(got.text.String(), want.text.String())
				is.True(got.longest <= recoverWithin)
				is.True(w.engines[0].Counts().Resumes >= tt.resume)
				w.close()
			})
		})
	}
}

func once(at int, f func()) func(int) {
	var o sync.Once
	return func(total int) {
		if total >= at {
			o.Do(f)
		}
	}
}

// TestStreamOutcomes shows what a request comes to when it can't be completed.
func TestStreamOutcomes(t *testing.T) {
	tests := map[string]struct {
		before func(*engines, *collector, context.CancelFunc)
		want   fpoutcome.Kind
	}{
		"nobody can be reached": {func(w *engines, _ *collector, _ context.CancelFunc) {
			w.network.Lose(w.addresses[0], true)
			w.network.Lose(w.addresses[1], true)
		}, fpoutcome.NotRun},
		"nobody has the weights that an answer began with": {func(w *engines, c *collector, _ context.CancelFunc) {
			w.publish([]string{"1", "2"})
			c.onText = once(400, func() { w.network.Lose(w.addresses[0], true) })
		}, fpoutcome.Failed},
		"the caller goes away": {func(_ *engines, c *collector, cancel context.CancelFunc) {
			c.onText = once(400, func() { c.gone = true; cancel() })
		}, fpoutcome.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEngines(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := &collector{}
				tt.before(w, c, cancel)
				is.New(t).Equal(w.ask(ctx, c).Outcome.Kind(), tt.want)
				w.close()
			})
		})
	}
}

// TestLongReview waits ten minutes for a first piece while heartbeats come.
func TestLongReview(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newEngines(t)
		w.engines[0].Hold(10 * time.Minute)
		c := &collector{}
		start := time.Now()
		f := w.ask(context.Background(), c)
		is.Equal(f.Outcome.Kind(), fpoutcome.Complete)
		is.True(time.Since(start) >= 10*time.Minute)
		is.Equal(w.engines[0].Counts().Resumes, 0)
		w.close()
	})
}

// TestCacheReliance shows that prompts of other teams, weights and adapters
// are sent under other seeds, so that no cached entry of theirs can match.
func TestCacheReliance(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, team := range []string{"a", "b"} {
		for _, weights := range []string{"1", "2"} {
			for _, adapter := range []string{"", "x"} {
				r := &chatRun{query: Query{Team: team}, request: fpchat.Request{Model: "tutor"}}
				d := &Dispatcher{router: fproute.NewRouter(fproute.Settings{})}
				d.state = &fpstate.Holder{}
				d.state.Publish(&fpstate.Snapshot{View: fproute.View{Zone: "z", Replicas: []fproute.Replica{
					{Name: "a", Zone: "z", Model: "tutor", Weights: weights, PrefillRate: 1},
				}}})
				m := fpconfig.Model{Name: "tutor", Adapters: []fpconfig.Adapter{{Name: "x", Version: "1"}}}
				r.request.Adapter = adapter
				target, err := d.placeChat(r.query, r.request, m, "", nil)
				is.NoErr(err)
				r.target = target
				r.ledger = fpoutcome.NewLedger(true)
				var sent fpchat.Request
				is.NoErr(json.Unmarshal(r.wire().Body, &sent))
				is.True(!seen[sent.CacheSalt])
				seen[sent.CacheSalt] = true
			}
		}
	}
}

// TestAbandonedLeavesNoQueue has callers go away before the first token; what
// they had waiting must not count as a queue afterwards.
func TestAbandonedLeavesNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newEngines(t)
		w.engines[0].Hold(time.Hour)
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			w.ask(ctx, &collector{})
			cancel()
		}
		time.Sleep(time.Minute)
		q := Query{Team: "t", RequestID: "later"}
		req := fpchat.Request{Model: "tutor", Messages: []fpchat.Message{{Content: "why?"}}}
		placed, err := w.dispatcher.placeChat(q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, "", nil)
		is.NoErr(err)
		for _, c := range placed.decision.Ranked {
			is.Equal(c.QueueSeconds, 0.0)
		}
		w.close()
	})
}
