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
	engineCount     = 2
	maxOutputTokens = 200
	// maxRecovery is the required bound on the time from silence to recovery: 3 s.
	maxRecovery = 3 * time.Second
)

type (
	// engineFixture is a dispatcher with stand-in engines in an in-memory network.
	engineFixture struct {
		network    fppipe.Network
		engines    []*fpstandin.Engine
		addresses  []string
		state      fpstate.Holder
		dispatcher *Dispatcher
		client     *fpupstream.Client
		stops      []func()
	}

	// collector is a sink that keeps the text and the longest pause between two texts.
	collector struct {
		mu           sync.Mutex
		text         strings.Builder
		lastTextAt   time.Time
		longestPause time.Duration
		readDelay    time.Duration
		callerGone   bool
		onText       func(total int)
	}
)

func newEngineFixture(t *testing.T) *engineFixture {
	t.Helper()
	ef := &engineFixture{}
	ctx, cancel := context.WithCancel(context.Background())
	ef.stops = append(ef.stops, cancel)
	for i := range engineCount {
		name := string(rune('a' + i))
		e := fpstandin.NewEngine(fpstandin.EngineSettings{Name: name, Model: "tutor", Weights: "1", Capacity: fpengine.Settings{}})
		go func() { _ = e.Run(ctx) }()
		address := "10.1.0." + name + ":80"
		ef.stops = append(ef.stops, ef.network.Serve(address, e.Handler()))
		ef.engines = append(ef.engines, e)
		ef.addresses = append(ef.addresses, address)
	}
	ef.client = fpupstream.NewClient(fpupstream.Settings{Dialer: ef.network.Dial})
	ef.dispatcher = New(Host{Name: "entry", Incarnation: 1}, Settings{Clock: func() time.Duration { return 0 }},
		&ef.state, ef.client, nil, fpclaimant.NewAttemptTable(10, 1<<20), fprecord.NewRing(100), fpmetric.New())
	ef.publishWeights([]string{"1", "1"})
	return ef
}

// publishWeights publishes the engines with the given weights versions to placement; engine a has
// the shortest round trip and is preferred.
func (ef *engineFixture) publishWeights(weights []string) {
	s := &fpstate.Snapshot{View: fproute.View{Zone: "z", Hosts: 1}}
	for i, a := range ef.addresses {
		s.View.Replicas = append(s.View.Replicas, fproute.Replica{
			Name:             string(rune('a' + i)),
			Address:          a,
			Incarnation:      1,
			Zone:             "z",
			Model:            "tutor",
			Weights:          weights[i],
			PrefillRate:      20_000,
			RoundTripSeconds: float64(i),
		})
	}
	ef.state.Publish(s)
}

func (ef *engineFixture) close() {
	ef.client.Close()
	for _, stop := range ef.stops {
		stop()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

func (ef *engineFixture) sendChat(ctx context.Context, sink Sink) RequestResult {
	q := AdmittedRequest{Team: "t", RequestID: "r", ReceivedAt: time.Now(), Deadline: time.Now()}
	req := fpchat.Request{Model: "tutor", MaxTokens: maxOutputTokens, Messages: []fpchat.Message{
		{Role: "system", Content: strings.Repeat("manual ", 3000)}, {Role: "user", Content: "why?"},
	}}
	return ef.dispatcher.DispatchChat(ctx, q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, sink)
}

// BeginAnswer starts the measurement of pauses.
func (c *collector) BeginAnswer(string, string) { c.lastTextAt = time.Now() }

// WriteText keeps the text and measures the pause before it.
func (c *collector) WriteText(offset int, text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callerGone {
		return errors.New("the caller is gone")
	}
	if offset != c.text.Len() {
		return errors.Newf("text at offset %d, expected offset %d", offset, c.text.Len())
	}
	c.longestPause = max(c.longestPause, time.Since(c.lastTextAt))
	c.text.WriteString(text)
	if c.onText != nil {
		c.onText(c.text.Len())
	}
	time.Sleep(c.readDelay)
	c.lastTextAt = time.Now()
	return nil
}

// TestStreamRecovery compares answers under failures with the bytes of an uninterrupted answer, and
// checks that every pause stays within maxRecovery.
func TestStreamRecovery(t *testing.T) {
	tests := map[string]struct {
		inject     func(*engineFixture, *collector)
		minResumes int
	}{
		"uninterrupted":         {func(*engineFixture, *collector) {}, 0},
		"connection cut midway": {func(ef *engineFixture, _ *collector) { ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50}) }, 1},
		"connection cut, then an error": {func(ef *engineFixture, _ *collector) {
			ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50, FailedResumes: 1})
		}, 2},
		"connection cut, then errors alone": {func(ef *engineFixture, _ *collector) {
			ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50, FailedResumes: 100})
		}, 2},
		"connection cut, then a page": {func(ef *engineFixture, _ *collector) {
			ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50, ResumePages: 1})
		}, 2},
		"connection cut, then pages alone": {func(ef *engineFixture, _ *collector) {
			ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 50, ResumePages: 100})
		}, 2},
		"connection silent midway": {func(ef *engineFixture, _ *collector) {
			ef.engines[0].SetFaults(fpstandin.Faults{SilentAfterTokens: 50})
		}, 1},
		"all connections silent": {func(ef *engineFixture, c *collector) {
			c.onText = onceAtLength(400, func() { ef.network.SilenceConnections(ef.addresses[0]) })
		}, 1},
		"engine crashes": {func(ef *engineFixture, c *collector) {
			c.onText = onceAtLength(400, func() { ef.engines[0].Crash() })
		}, 0},
		"engine unreachable": {func(ef *engineFixture, c *collector) {
			c.onText = onceAtLength(400, func() { ef.network.SetUnreachable(ef.addresses[0], true) })
		}, 0},
		"mismatched answer":        {func(ef *engineFixture, _ *collector) { ef.engines[0].SetFaults(fpstandin.Faults{CrossAnswers: 1}) }, 1},
		"slow reader":              {func(_ *engineFixture, c *collector) { c.readDelay = 20 * time.Millisecond }, 0},
		"first engine unreachable": {func(ef *engineFixture, _ *collector) { ef.network.SetUnreachable(ef.addresses[0], true) }, 0},
		"first engine down":        {func(ef *engineFixture, _ *collector) { ef.engines[0].SetFaults(fpstandin.Faults{Down: true}) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				uninterrupted := newEngineFixture(t)
				want := &collector{}
				is.Equal(uninterrupted.sendChat(context.Background(), want).Outcome.Kind(), fpoutcome.Complete)
				uninterrupted.close()
				ef := newEngineFixture(t)
				got := &collector{}
				tt.inject(ef, got)
				result := ef.sendChat(context.Background(), got)
				is.Equal(result.Outcome.Kind(), fpoutcome.Complete)
				is.Equal(got.text.String(), want.text.String())
				is.True(got.longestPause <= maxRecovery)
				is.True(ef.engines[0].Counts().Resumes >= tt.minResumes)
				ef.close()
			})
		})
	}
}

func onceAtLength(length int, f func()) func(int) {
	var o sync.Once
	return func(total int) {
		if total >= length {
			o.Do(f)
		}
	}
}

// TestStreamOutcomes checks the outcome of requests that can't be completed.
func TestStreamOutcomes(t *testing.T) {
	tests := map[string]struct {
		inject func(*engineFixture, *collector, context.CancelFunc)
		want   fpoutcome.Kind
	}{
		"no engine reachable": {func(ef *engineFixture, _ *collector, _ context.CancelFunc) {
			ef.network.SetUnreachable(ef.addresses[0], true)
			ef.network.SetUnreachable(ef.addresses[1], true)
		}, fpoutcome.NotRun},
		"nobody has the weights that an answer began with": {func(ef *engineFixture, c *collector, _ context.CancelFunc) {
			ef.publishWeights([]string{"1", "2"})
			c.onText = onceAtLength(400, func() { ef.network.SetUnreachable(ef.addresses[0], true) })
		}, fpoutcome.Failed},
		"caller goes away": {func(_ *engineFixture, c *collector, cancel context.CancelFunc) {
			c.onText = onceAtLength(400, func() { c.callerGone = true; cancel() })
		}, fpoutcome.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ef := newEngineFixture(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := &collector{}
				tt.inject(ef, c, cancel)
				is.New(t).Equal(ef.sendChat(ctx, c).Outcome.Kind(), tt.want)
				ef.close()
			})
		})
	}
}

// TestHeartbeatsPreventTimeout checks that heartbeats keep a stream open without a resume while the
// first piece takes ten minutes.
func TestHeartbeatsPreventTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ef := newEngineFixture(t)
		ef.engines[0].BlockPrefill(10 * time.Minute)
		c := &collector{}
		start := time.Now()
		result := ef.sendChat(context.Background(), c)
		is.Equal(result.Outcome.Kind(), fpoutcome.Complete)
		is.True(time.Since(start) >= 10*time.Minute)
		is.Equal(ef.engines[0].Counts().Resumes, 0)
		ef.close()
	})
}

// TestCacheSaltSeparation checks that prompts of different teams, weights and adapters are sent
// with different cache salts, so that none can match another's cached entries.
func TestCacheSaltSeparation(t *testing.T) {
	is := is.New(t)
	seenSalts := make(map[string]bool)
	for _, team := range []string{"a", "b"} {
		for _, weights := range []string{"1", "2"} {
			for _, adapter := range []string{"", "x"} {
				r := &chatRun{admitted: AdmittedRequest{Team: team}, request: fpchat.Request{Model: "tutor"}}
				d := &Dispatcher{router: fproute.NewRouter(fproute.Settings{})}
				d.state = &fpstate.Holder{}
				d.state.Publish(&fpstate.Snapshot{View: fproute.View{Zone: "z", Replicas: []fproute.Replica{
					{Name: "a", Zone: "z", Model: "tutor", Weights: weights, PrefillRate: 1},
				}}})
				m := fpconfig.Model{Name: "tutor", Adapters: []fpconfig.Adapter{{Name: "x", Version: "1"}}}
				r.request.Adapter = adapter
				target, err := d.placeChat(r.admitted, r.request, m, origin{}, nil)
				is.NoErr(err)
				r.target = target
				r.ledger = fpoutcome.NewLedger(true)
				var sent fpchat.Request
				is.NoErr(json.Unmarshal(r.encodeAttempt().Body, &sent))
				is.True(!seenSalts[sent.CacheSalt])
				seenSalts[sent.CacheSalt] = true
			}
		}
	}
}

// TestAbandonedRequestsLeaveNoQueue checks that requests whose callers go away before the first
// token no longer count as queued work.
func TestAbandonedRequestsLeaveNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ef := newEngineFixture(t)
		ef.engines[0].BlockPrefill(time.Hour)
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			ef.sendChat(ctx, &collector{})
			cancel()
		}
		time.Sleep(time.Minute)
		q := AdmittedRequest{Team: "t", RequestID: "later"}
		req := fpchat.Request{Model: "tutor", Messages: []fpchat.Message{{Content: "why?"}}}
		placed, err := ef.dispatcher.placeChat(q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, origin{}, nil)
		is.NoErr(err)
		for _, c := range placed.decision.Ranked {
			is.Equal(c.QueueSeconds, 0.0)
		}
		ef.close()
	})
}
