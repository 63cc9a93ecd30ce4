package fphost

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fescuepoint/fescuepoint/internal/fpcaller"
	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	operatorKey = "operator-key"
	teamKey     = "team-key"
	// waitTimeout bounds how long waitUntil waits for its condition.
	waitTimeout = 20 * time.Second
)

type (
	// testSite is a host with a stand-in platform, engine and service on loopback addresses.
	testSite struct {
		platform       *fpstandin.Platform
		engine         *fpstandin.Engine
		service        *fpstandin.Service
		host           *Host
		callersURL     string
		operatorClient *fpoperator.Client
		stop           func()
	}
)

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newTestSettings(t testing.TB, platform string) fpsetting.Settings {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	text := "[Host]\nName = entry-1\nAvailabilityZone = z\n" +
		"[Callers]\nAddress = " + freeAddress(t) + "\n" +
		"[Peers]\nAddress = " + freeAddress(t) + "\nSecretFile = " + write("secret", "s") + "\n" +
		"[Operators]\nAddress = " + freeAddress(t) + "\nOperatorKeys = " + write("operators", "alice "+sha256Hex(operatorKey)) + "\n" +
		"[Platform]\nAddress = " + platform + "\n" +
		"[Placement]\nPoll = 50ms\n[Stop]\nNotice = 1ms\n[Limits]\nMaxBodyBytes = 100000\n"
	s, err := fpsetting.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &testSite{
		platform: fpstandin.NewPlatform(),
		engine:   fpstandin.NewEngine(fpstandin.EngineSettings{Name: "engine-1", Model: "tutor", Weights: "1"}),
		service:  fpstandin.NewService("booking-1", time.Millisecond),
	}
	engineContext, stopEngine := context.WithCancel(context.Background())
	go func() { _ = s.engine.Run(engineContext) }()
	platform := httptest.NewServer(s.platform.Handler())
	engine := httptest.NewServer(s.engine.Handler())
	service := httptest.NewServer(s.service.Handler())
	hostSettings := newTestSettings(t, platform.Listener.Addr().String())
	h, err := New(hostSettings, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	s.host = h
	s.callersURL = "http://" + hostSettings.Callers.Address
	s.operatorClient = fpoperator.NewClient("http://"+hostSettings.Operators.Address, operatorKey)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	s.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		stopEngine()
		for _, server := range []*httptest.Server{platform, engine, service} {
			server.CloseClientConnections()
			server.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	}
	s.applyFirstConfig(t, engine.Listener.Addr().String(), service.Listener.Addr().String())
	return s
}

// waitUntil calls f until it returns true, and fails the test after waitTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func (s *testSite) applyFirstConfig(t testing.TB, engine, service string) {
	t.Helper()
	waitUntil(t, "the operator API", func() bool {
		_, err := s.operatorClient.Status(context.Background())
		return err == nil
	})
	r, err := s.operatorClient.SubmitPatch(context.Background(), fpconfig.Patch{ID: "first", Set: fpconfig.Document{
		Teams: []fpconfig.Team{
			{Name: "training", KeySHA256: sha256Hex(teamKey)},
			{Name: "limited", KeySHA256: sha256Hex("limited-key"), RequestsPerSecond: 1},
		},
		Models:   []fpconfig.Model{{Name: "tutor", Weights: "1"}},
		Services: []fpconfig.Service{{Name: "booking", Calls: []fpconfig.Call{{Path: "/roster", Idempotent: true}}}},
		Upstreams: []fpconfig.Upstream{
			{Name: "booking-1", Kind: fpconfig.KindService, Address: service, AvailabilityZone: "z", Service: "booking"},
			{Name: "engine-1", Kind: fpconfig.KindEngine, Address: engine, AvailabilityZone: "z", Model: "tutor"},
		},
	}}, false)
	if err != nil || r.Result != fpoperator.Accepted {
		t.Fatalf("patch: %v %v", r, err)
	}
	waitUntil(t, "the upstreams", func() bool {
		st, err := s.operatorClient.Status(context.Background())
		return err == nil && len(st.Upstreams) == 2 && st.Upstreams[0].Reachable && st.Upstreams[1].Reachable
	})
}

func (s *testSite) sendRequest(t *testing.T, path, key, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.callersURL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(data)
}

// TestHost runs a host with its stand-ins: valid and invalid requests, then a
// planned stop, after which no goroutine may be left.
func TestHost(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := newTestSite(t)
	t.Run("bad input", func(t *testing.T) { testBadInput(t, s) })
	t.Run("prompt part convicted by another host", func(t *testing.T) {
		is := is.New(t)
		part := fpquarantine.Entry{ID: strconv.FormatUint(xxhash.Sum64String("deadly"), 16), Age: time.Second}
		heartbeat := fpmember.Heartbeat{Member: fpmember.Member{Name: "entry-2", Zone: "z"}}
		s.host.handleMessage(context.Background(), fpgossip.Message{Heartbeat: heartbeat, QuarantinedParts: []fpquarantine.Entry{part}})
		res, _ := s.sendRequest(t, "/v1/chat/completions", teamKey, `{"model":"tutor","messages":[{"role":"system","content":"deadly"},{"role":"user","content":"why?"}]}`, nil)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		told := make(chan []fpquarantine.Entry, 1)
		s.host.controlLoop.submitTask(context.Background(), func(c *controlState) { told <- s.host.heartbeatMessage(c).QuarantinedParts })
		is.Equal((<-told)[0].ID, part.ID)
	})
	t.Run("chat", func(t *testing.T) {
		is := is.New(t)
		res, body := s.sendRequest(t, "/v1/chat/completions", teamKey, `{"model":"tutor","messages":[{"role":"user","content":"why?"}]}`, nil)
		is.Equal(res.StatusCode, http.StatusOK)
		var a fpchat.Answer
		is.NoErr(json.Unmarshal([]byte(body), &a))
		is.Equal(len(a.Text()), *a.Total)
		is.Equal(res.Header.Get(fpchat.UpstreamHeader), "engine-1")
	})
	t.Run("at most once", func(t *testing.T) {
		is := is.New(t)
		for range 3 {
			res, body := s.sendRequest(t, "/services/booking/certificate", teamKey, "worker 7", map[string]string{fpchat.RequestHeader: "cert-1"})
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(strings.Contains(body, `"Run":1`))
		}
		is.Equal(s.service.RunsByRequest()["cert-1"], 1)
		res, body := s.sendRequest(t, "/services/booking/certificate", teamKey, "worker 8", map[string]string{fpchat.RequestHeader: "cert-1"})
		is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
		is.True(strings.Contains(body, "another body"))
	})
	t.Run("explain", func(t *testing.T) {
		is := is.New(t)
		e, err := s.operatorClient.Explain(context.Background(), "cert-1")
		is.NoErr(err)
		is.True(len(e.Records) >= 3)
	})
	t.Run("limit", func(t *testing.T) {
		is := is.New(t)
		lastStatus := 0
		for range 4 {
			res, _ := s.sendRequest(t, "/services/booking/roster", "limited-key", "", nil)
			lastStatus = res.StatusCode
		}
		is.Equal(lastStatus, http.StatusTooManyRequests)
	})
	t.Run("planned stop completes running requests", func(t *testing.T) { testPlannedStop(t, s) })
}

func testBadInput(t *testing.T, s *testSite) {
	chat := "/v1/chat/completions"
	tests := map[string]struct {
		path, key, body string
		header          map[string]string
		status          int
	}{
		"malformed JSON":      {chat, teamKey, `{"model":`, nil, http.StatusBadRequest},
		"no key":              {chat, "", `{}`, nil, http.StatusUnauthorized},
		"unknown key":         {chat, "nobody", `{}`, nil, http.StatusUnauthorized},
		"key of another team": {chat, teamKey, `{}`, map[string]string{fpchat.TeamHeader: "limited"}, http.StatusForbidden},
		"unknown model":       {chat, teamKey, `{"model":"x","messages":[{"content":"a"}]}`, nil, http.StatusNotFound},
		"unknown adapter":     {chat, teamKey, `{"model":"tutor","adapter":"x","messages":[{"content":"a"}]}`, nil, http.StatusNotFound},
		"no messages":         {chat, teamKey, `{"model":"tutor"}`, nil, http.StatusBadRequest},
		"bad max_tokens":      {chat, teamKey, `{"model":"tutor","max_tokens":-1,"messages":[{"content":"a"}]}`, nil, http.StatusBadRequest},
		"over-long prompt":    {chat, teamKey, `{"model":"` + strings.Repeat("x", 200_000) + `"}`, nil, http.StatusRequestEntityTooLarge},
		"bad class":           {chat, teamKey, `{}`, map[string]string{fpchat.ClassHeader: "urgent"}, http.StatusBadRequest},
		"bad idempotent":      {chat, teamKey, `{}`, map[string]string{fpchat.IdempotentHeader: "perhaps"}, http.StatusBadRequest},
		"no request ID":       {chat, teamKey, `{}`, map[string]string{fpchat.IdempotentHeader: "false"}, http.StatusBadRequest},
		"call without an ID":  {"/services/booking/certificate", teamKey, "", nil, http.StatusBadRequest},
		"unknown service":     {"/services/nothing/x", teamKey, "", nil, http.StatusNotFound},
		"long request ID":     {chat, teamKey, `{}`, map[string]string{fpchat.RequestHeader: strings.Repeat("x", 200)}, http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			res, body := s.sendRequest(t, tt.path, tt.key, tt.body, tt.header)
			is.Equal(res.StatusCode, tt.status)
			var e fpcaller.ErrorBody
			is.NoErr(json.Unmarshal([]byte(body), &e))
			is.Equal(e.Error.Outcome, "NotRun")
			is.True(e.Error.Type != "")
		})
	}
	t.Run("oversized header", func(t *testing.T) {
		res, _ := s.sendRequest(t, chat, teamKey, "{}", map[string]string{"X-Flood": strings.Repeat("x", 100_000)})
		is.New(t).Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("body ends early", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.callersURL, "http://"))
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST "+chat+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+teamKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		answer, err := io.ReadAll(conn)
		is.NoErr(err)
		is.True(bytes.Contains(answer, []byte("400 Bad Request")))
		_ = conn.Close()
	})
	if n := s.engine.Counts().Requests; n != 0 {
		t.Errorf("%d of the bad requests reached the engine", n)
	}
}

// testPlannedStop stops the host while an answer is streaming; the answer must be complete.
func testPlannedStop(t *testing.T, s *testSite) {
	is := is.New(t)
	body := `{"model":"tutor","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequest(http.MethodPost, s.callersURL+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	stopped := make(chan struct{})
	go func() {
		s.stop()
		close(stopped)
	}()
	events := fpchat.NewChunkReader(res.Body)
	textBytes, totalBytes := 0, -1
	for {
		a, ok, err := events.ReadChunk()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		if !ok {
			continue
		}
		is.Equal(a.Offset, textBytes)
		textBytes += len(a.Text())
		if a.Total != nil {
			totalBytes = *a.Total
		}
	}
	is.Equal(textBytes, totalBytes)
	is.Equal(totalBytes, 60*4)
	_ = res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	<-stopped
}
