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
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fescuepoint/fescuepoint/internal/fpcaller"
	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	operatorKey = "operator-key"
	teamKey     = "team-key"
	// patience bounds waits that end as soon as what is waited for is there.
	patience = 20 * time.Second
)

type (
	// site is a host with its stand-ins on loopback addresses.
	site struct {
		platform *fpstandin.Platform
		engine   *fpstandin.Engine
		service  *fpstandin.Service
		host     *Host
		callers  string
		client   *fpoperator.Client
		stop     func()
	}
)

func sha(text string) string {
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

func settings(t testing.TB, platform string) fpsetting.Settings {
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
		"[Operators]\nAddress = " + freeAddress(t) + "\nOperatorKeys = " + write("operators", "alice "+sha(operatorKey)) + "\n" +
		"[Platform]\nAddress = " + platform + "\n" +
		"[Placement]\nPoll = 50ms\n[Stop]\nNotice = 1ms\n[Limits]\nMaxBodyBytes = 100000\n"
	s, err := fpsetting.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newSite(t testing.TB) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		platform: fpstandin.NewPlatform(),
		engine:   fpstandin.NewEngine(fpstandin.EngineSettings{Name: "engine-1", Model: "tutor", Weights: "1"}),
		service:  fpstandin.NewService("booking-1", time.Millisecond),
	}
	engineContext, endEngine := context.WithCancel(context.Background())
	go func() { _ = s.engine.Run(engineContext) }()
	platform := httptest.NewServer(s.platform.Handler())
	engine := httptest.NewServer(s.engine.Handler())
	service := httptest.NewServer(s.service.Handler())
	set := settings(t, platform.Listener.Addr().String())
	h, err := New(set, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	s.host = h
	s.callers = "http://" + set.Callers.Address
	s.client = fpoperator.NewClient("http://"+set.Operators.Address, operatorKey)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	s.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		endEngine()
		for _, server := range []*httptest.Server{platform, engine, service} {
			server.CloseClientConnections()
			server.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	}
	s.configure(t, engine.Listener.Addr().String(), service.Listener.Addr().String())
	return s
}

// await calls f until it is true.
func await(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

func (s *site) configure(t testing.TB, engine, service string) {
	t.Helper()
	await(t, "the operators' interface", func() bool {
		_, err := s.client.Status(context.Background())
		return err == nil
	})
	r, err := s.client.Patch(context.Background(), fpconfig.Patch{ID: "first", Set: fpconfig.Document{
		Teams: []fpconfig.Team{
			{Name: "training", KeySHA256: sha(teamKey)},
			{Name: "limited", KeySHA256: sha("limited-key"), RequestsPerSecond: 1},
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
	await(t, "the upstreams", func() bool {
		st, err := s.client.Status(context.Background())
		return err == nil && len(st.Upstreams) == 2 && st.Upstreams[0].Reachable && st.Upstreams[1].Reachable
	})
}

func (s *site) send(t *testing.T, path, key, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.callers+path, strings.NewReader(body))
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

// TestHost runs a host with its stand-ins: good and bad requests, a planned
// stop, and nothing left running after it.
func TestHost(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := newSite(t)
	t.Run("bad input", func(t *testing.T) { badInput(t, s) })
	t.Run("chat", func(t *testing.T) {
		is := is.New(t)
		res, body := s.send(t, "/v1/chat/completions", teamKey, `{"model":"tutor","messages":[{"role":"user","content":"why?"}]}`, nil)
		is.Equal(res.StatusCode, http.StatusOK)
		var a fpchat.Answer
		is.NoErr(json.Unmarshal([]byte(body), &a))
		is.Equal(len(a.Text()), *a.Total)
		is.Equal(res.Header.Get(fpchat.UpstreamHeader), "engine-1")
	})
	t.Run("at most once", func(t *testing.T) {
		is := is.New(t)
		for range 3 {
			res, body := s.send(t, "/services/booking/certificate", teamKey, "worker 7", map[string]string{fpchat.RequestHeader: "cert-1"})
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(strings.Contains(body, `"Run":1`))
		}
		is.Equal(s.service.RunsByRequest()["cert-1"], 1)
		res, body := s.send(t, "/services/booking/certificate", teamKey, "worker 8", map[string]string{fpchat.RequestHeader: "cert-1"})
		is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
		is.True(strings.Contains(body, "another body"))
	})
	t.Run("explain", func(t *testing.T) {
		is := is.New(t)
		e, err := s.client.Explain(context.Background(), "cert-1")
		is.NoErr(err)
		is.True(len(e.Records) >= 3)
	})
	t.Run("limit", func(t *testing.T) {
		is := is.New(t)
		last := 0
		for range 4 {
			res, _ := s.send(t, "/services/booking/roster", "limited-key", "", nil)
			last = res.StatusCode
		}
		is.Equal(last, http.StatusTooManyRequests)
	})
	t.Run("planned stop cuts nothing", func(t *testing.T) { plannedStop(t, s) })
}

func badInput(t *testing.T, s *site) {
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
			res, body := s.send(t, tt.path, tt.key, tt.body, tt.header)
			is.Equal(res.StatusCode, tt.status)
			var e fpcaller.ErrorBody
			is.NoErr(json.Unmarshal([]byte(body), &e))
			is.Equal(e.Error.Outcome, "NotRun")
			is.True(e.Error.Type != "")
		})
	}
	t.Run("header flood", func(t *testing.T) {
		res, _ := s.send(t, chat, teamKey, "{}", map[string]string{"X-Flood": strings.Repeat("x", 100_000)})
		is.New(t).Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("body that stops half way", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.callers, "http://"))
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

// plannedStop stops the host while an answer is streaming; the answer ends whole.
func plannedStop(t *testing.T, s *site) {
	is := is.New(t)
	body := `{"model":"tutor","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequest(http.MethodPost, s.callers+"/v1/chat/completions", strings.NewReader(body))
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
	text, total := 0, -1
	for {
		a, ok, err := events.ReadChunk()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		if !ok {
			continue
		}
		is.Equal(a.Offset, text)
		text += len(a.Text())
		if a.Total != nil {
			total = *a.Total
		}
	}
	is.Equal(text, total)
	is.Equal(total, 60*4)
	_ = res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	<-stopped
}
