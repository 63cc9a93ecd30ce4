package fpstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

func ask(t *testing.T, e *Engine, attempt string, header map[string]string) fpchat.Answer {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(fpchat.Request{
		Model: "m", MaxTokens: 1, CacheSalt: "1", Messages: []fpchat.Message{{Content: strings.Repeat("x", 3*fpprefix.BlockBytes)}},
	})
	is.NoErr(err)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(body)))
	r.Header.Set(fpchat.AttemptHeader, attempt)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	var a fpchat.Answer
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	return a
}

// TestTransfer has one engine export what another imports.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	blocks := NewCacheStore()
	store := httptest.NewServer(blocks.Handler())
	defer store.Close()
	set := EngineSettings{Name: "a", Model: "m", Weights: "1", CacheStore: store.Listener.Addr().String()}
	a, b := NewEngine(set), NewEngine(set)
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	is.Equal(ask(t, a, "1", nil).Usage.Details.CachedTokens, 0)
	for end := time.Now().Add(10 * time.Second); blocks.Len() < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(ask(t, b, "2", map[string]string{fpchat.ImportHeader: "true"}).Usage.Details.CachedTokens, 3*fpprefix.BlockTokens)
}

// TestEventsLate shows events only after their lag, with their sequence numbers.
func TestEventsLate(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for lag, want := range map[time.Duration]int{0: 3, time.Hour: 0} {
		e := NewEngine(EngineSettings{Name: "a", Model: "m", Weights: "1", EventLag: lag})
		go func() { _ = e.Run(ctx) }()
		ask(t, e, "1", nil)
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/events?after=0", nil))
		var v fpupstream.CacheEvents
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &v))
		is.Equal(len(v.Events), want)
	}
}

// TestReportLags shows a queue only after the lag, with an engine that is held.
func TestReportLags(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{Name: "a", Model: "m", Weights: "1", ReportLag: time.Second})
	start := time.Now()
	is.Equal(e.lagging(start).QueuedTokens, 0)
	e.Hold(time.Hour)
	_, status := e.admit("1", "r", "1", fpchat.Request{Model: "m", Messages: []fpchat.Message{{Content: strings.Repeat("x", 4000)}}})
	is.Equal(status, http.StatusOK)
	is.Equal(e.lagging(start.Add(500*time.Millisecond)).QueuedTokens, 0)
	is.Equal(e.lagging(start.Add(1200*time.Millisecond)).QueuedTokens, 0)
	is.True(e.lagging(start.Add(1600*time.Millisecond)).QueuedTokens > 0)
}
