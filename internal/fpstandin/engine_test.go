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

func sendChat(t *testing.T, e *Engine, attemptID string, header map[string]string) fpchat.Answer {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(fpchat.Request{
		Model: "m", MaxTokens: 1, CacheSalt: "1", Messages: []fpchat.Message{{Content: strings.Repeat("x", 3*fpprefix.BlockBytes)}},
	})
	is.NoErr(err)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(body)))
	r.Header.Set(fpchat.AttemptHeader, attemptID)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	var a fpchat.Answer
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	return a
}

// TestBlockExportAndImport checks that an engine imports the blocks that another engine exported.
func TestBlockExportAndImport(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cacheStore := NewCacheStore()
	server := httptest.NewServer(cacheStore.Handler())
	defer server.Close()
	settings := EngineSettings{Name: "a", Model: "m", Weights: "1", CacheStoreAddress: server.Listener.Addr().String()}
	exporter, importer := NewEngine(settings), NewEngine(settings)
	go func() { _ = exporter.Run(ctx) }()
	go func() { _ = importer.Run(ctx) }()
	is.Equal(sendChat(t, exporter, "1", nil).Usage.PromptTokensDetails.CachedTokens, 0)
	for deadline := time.Now().Add(10 * time.Second); cacheStore.BlockCount() < 3 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(sendChat(t, importer, "2", map[string]string{fpchat.ImportHeader: "true"}).Usage.PromptTokensDetails.CachedTokens, 3*fpprefix.BlockTokens)
}

// TestCacheEventLag checks that cache events can be read only after their lag.
func TestCacheEventLag(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for lag, want := range map[time.Duration]int{0: 3, time.Hour: 0} {
		e := NewEngine(EngineSettings{Name: "a", Model: "m", Weights: "1", EventLag: lag})
		go func() { _ = e.Run(ctx) }()
		sendChat(t, e, "1", nil)
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/events?after=0", nil))
		var v fpupstream.CacheEvents
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &v))
		is.Equal(len(v.Events), want)
	}
}

// TestLoadReportLag checks that a load report shows a new queue only after the report lag. Prefill
// is blocked so that the queue stays.
func TestLoadReportLag(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{Name: "a", Model: "m", Weights: "1", ReportLag: time.Second})
	start := time.Now()
	is.Equal(e.delayedLoadReport(start).QueuedTokens, 0)
	e.BlockPrefill(time.Hour)
	_, status := e.admitAttempt("1", "r", "1", fpchat.Request{Model: "m", Messages: []fpchat.Message{{Content: strings.Repeat("x", 4000)}}})
	is.Equal(status, http.StatusOK)
	is.Equal(e.delayedLoadReport(start.Add(500*time.Millisecond)).QueuedTokens, 0)
	is.Equal(e.delayedLoadReport(start.Add(1200*time.Millisecond)).QueuedTokens, 0)
	is.True(e.delayedLoadReport(start.Add(1600*time.Millisecond)).QueuedTokens > 0)
}
