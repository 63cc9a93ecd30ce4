package fpingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	testHeaderBytes = 4 << 10
	testBodyBytes   = 700 << 10
	// atOnce is far below any time that a client may take, and far above what a local exchange takes.
	atOnce   = 2 * time.Second
	patience = 10 * time.Second
)

// testServer is a server behind a guard. It answers POST /read with the length of the body, /long with a long body,
// /wait when it is told to, and other requests with 404 without reading their bodies.
type testServer struct {
	t       *testing.T
	address string
	budget  *fpbudget.Budget
	guard   *Guard
	proceed chan struct{}
	handled atomic.Int64
	mu      sync.Mutex
	reasons map[Reason]int
	stop    func()
}

func startTestServer(t *testing.T, budget int64, connections int) *testServer {
	t.Helper()
	s := &testServer{t: t, budget: fpbudget.New(budget), proceed: make(chan struct{}), reasons: make(map[Reason]int)}
	g := NewGuard(Settings{
		Budget: s.budget, MaxConnections: connections, Clock: fpclock.SinceBoot, RefusalHeader: http.Header{"Outcome": {"NotRun"}},
		OnRefuse: func(r Refusal) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reasons[r.Reason]++
		},
	})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address, s.guard = l.Addr().String(), g
	rules := Rules{HeaderBytes: func() int { return testHeaderBytes }, BodyBytes: func() int64 { return testBodyBytes }}
	server := &http.Server{
		Handler: Handler(http.HandlerFunc(s.serve)), ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, DisableGeneralOptionsHandler: true,
	}
	go func() { _ = server.Serve(g.Guard(l, rules)) }()
	s.stop = func() { _ = server.Close() }
	t.Cleanup(s.stop)
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.handled.Add(1)
	switch r.URL.Path {
	case "/read":
		data, err := ReadBody(w, r, testBodyBytes)
		var long *http.MaxBytesError
		switch {
		case errors.As(err, &long):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, strconv.Itoa(len(data)))
		}
	case "/long":
		for range 1 << 10 {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	case "/wait":
		<-s.proceed
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reasonCount returns how many clients were refused for a reason.
func (s *testServer) reasonCount(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[r]
}

// dial connects a client and sends a text.
func (s *testServer) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	// A server that refuses a client may close its connection before all is written.
	_, _ = io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

// await waits for a condition.
func (s *testServer) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s", what)
		}
	}
}

// answer reads an answer and its body.
func answer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(data)
}

func post(path string, length int, fields ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(fields, "") + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// fields returns short fields of n bytes in all.
func fields(n int) string {
	out := strings.Repeat("a:\r\n", n/4-2)
	return out + "b:" + strings.Repeat("x", n-len(out)-4) + "\r\n"
}

// TestHeadLimit checks that a header of just the limit is served, however short its lines, that a longer one and one
// without end are refused, and that this holds for requests that are sent ahead.
func TestHeadLimit(t *testing.T) {
	host := "Host: h\r\n"
	get := func(header string) string { return "GET /read HTTP/1.1\r\n" + header }
	tests := map[string]struct {
		text     string
		statuses []int
	}{
		"at the limit":                {get(host + fields(testHeaderBytes-len(host)) + "\r\n"), []int{200}},
		"over the limit":              {get(host + fields(testHeaderBytes+1-len(host)) + "\r\n"), []int{431}},
		"without end":                 {get(host + fields(60<<10)), []int{431}},
		"request line without end":    {"GET /" + strings.Repeat("x", 60<<10), []int{431}},
		"ahead, at the limit":         {get(host+"\r\n") + get(host+fields(testHeaderBytes-len(host))+"\r\n"), []int{200, 200}},
		"ahead, over the limit":       {get(host+"\r\n") + get(host+fields(testHeaderBytes+1-len(host))+"\r\n"), []int{200, 431}},
		"ahead, over it after a body": {post("/read", 3) + "abc" + get(host+fields(testHeaderBytes+1-len(host))+"\r\n"), []int{200, 431}},
		"ahead, without end":          {get(host+"\r\n") + get(host+fields(60<<10)), []int{200, 431}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, 16<<20, 0)
			_, r := s.dial(tt.text)
			for _, status := range tt.statuses {
				res, _ := answer(t, r)
				is.Equal(res.StatusCode, status)
				is.Equal(res.Close, status == 431)
				if status == 431 {
					is.Equal(res.Header.Get("Outcome"), "NotRun")
				}
			}
			s.stop()
			s.await("all memory to be free", func() bool { return s.budget.Used() == 0 })
		})
	}
}

// TestNoRoom checks that a request that finds no room is refused at once with a Retry-After, before its body is read,
// and that a short request is served beside those that took the room.
func TestNoRoom(t *testing.T) {
	body := strings.Repeat("x", testBodyBytes)
	tests := map[string]string{
		"body of known length": post("/read", testBodyBytes),
		"body in chunks":       "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", testBodyBytes-1, body[1:]),
		"body over the limit":  post("/read", testBodyBytes+1),
		"many lines":           "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n" + fields(testHeaderBytes-30) + "\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, 3400<<10, 0)
			// Uploads that go on take the room for long requests.
			_, _ = s.dial(post("/read", testBodyBytes-20<<10))
			_, _ = s.dial(post("/read", testBodyBytes-20<<10))
			s.await("two requests", func() bool { return s.handled.Load() == 2 })
			began := time.Now()
			_, r := s.dial(text)
			res, _ := answer(t, r)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.True(res.Close)
			is.True(time.Since(began) < atOnce)
			_, r = s.dial(post("/read", 4) + "body")
			_, got := answer(t, r)
			is.Equal(got, "4")
			s.stop()
			s.await("all memory to be free", func() bool { return s.budget.Used() == 0 })
		})
	}
}

// TestStalledClientsGiveWay checks that clients that stall lose their connections to those that need their room, and not
// before.
func TestStalledClientsGiveWay(t *testing.T) {
	tests := map[string]struct {
		text    string
		clients int
		// held is the least memory that the clients take before another one comes.
		held int64
	}{
		"bodies without their last byte": {post("/read", testBodyBytes) + strings.Repeat("x", testBodyBytes-1), 1, testBodyBytes},
		"heads without their end":        {"GET /read HTTP/1.1\r\n" + fields(testHeaderBytes-100), 40, 0},
		"answers that are not read":      {"GET /long HTTP/1.1\r\nHost: h\r\n" + fields(testHeaderBytes-100) + "\r\n", 40, 0},
		"silent channels":                {"", 300, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, 2<<20, 0)
			for range tt.clients {
				_, _ = s.dial(tt.text)
			}
			s.await("the clients to be held", func() bool { return s.budget.Used() >= tt.held })
			s.await("a long body to be served", func() bool {
				_, r := s.dial(post("/read", testBodyBytes) + strings.Repeat("x", testBodyBytes))
				res, err := http.ReadResponse(r, nil)
				return err == nil && res.StatusCode == http.StatusOK
			})
			is.True(s.reasonCount(ReasonStalled) > 0)
			s.stop()
			s.await("all memory to be free", func() bool { return s.budget.Used() == 0 })
		})
	}
}

// TestSlowReaderGetsItsAnswer checks that a client that reads a long answer slowly keeps its connection, and that one
// that does not read loses it.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, 16<<20, 0)
	guardCtx, stop := context.WithCancel(context.Background())
	defer stop()
	s.guard.settings.StallTimeout = 200 * time.Millisecond
	go func() { _ = s.guard.Run(guardCtx) }()
	c, _ := s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	// The slow client takes several times as long as the one that does not read is given.
	piece := make([]byte, 1<<20)
	for range 60 {
		_, err := io.ReadFull(c, piece)
		is.NoErr(err)
		time.Sleep(60 * time.Millisecond)
	}
	s.await("the other client to be cut off", func() bool { return s.reasonCount(ReasonStalled) == 1 })
}

// failingListener fails for want of descriptors at its first accept.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept fails once.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesWantOfDescriptors checks that a server goes on after an accept failed for want of descriptors.
func TestServerOutlivesWantOfDescriptors(t *testing.T) {
	is := is.New(t)
	g := NewGuard(Settings{Budget: fpbudget.New(16 << 20), Clock: fpclock.SinceBoot})
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: Handler(http.NotFoundHandler()), ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(g.Guard(&failingListener{Listener: l}, Rules{})) }()
	res, err := http.Get("http://" + l.Addr().String())
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusNotFound)
	is.NoErr(server.Close())
	is.True(errors.Is(<-ended, http.ErrServerClosed))
}

// TestConnectionsAreBounded checks that no more connections than the limit are open, and that a client is served beside
// silent ones.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, 16<<20, 16)
	for range 64 {
		_, _ = s.dial("")
	}
	s.await("a client to be served", func() bool {
		_, r := s.dial(post("/read", 4) + "body")
		res, err := http.ReadResponse(r, nil)
		return err == nil && res.StatusCode == http.StatusOK
	})
	is.True(s.reasonCount(ReasonConnections) > 0)
	is.True(s.reasonCount(ReasonStalled) > 0)
}

// TestAnswerDoesNotWaitForBody checks that an answer is sent while the request's body lacks a byte, and that the
// connection is kept if the body has arrived.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	chunked := "POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		text   string
		status int
		kept   bool
	}{
		"a byte missing":           {post("/none", 5) + "abcd", 404, false},
		"no byte of a long body":   {post("/none", testBodyBytes), 404, false},
		"body declared too long":   {post("/read", testBodyBytes+1) + "x", 413, false},
		"chunk missing":            {chunked + "1\r\na\r\n", 404, false},
		"trailer missing":          {chunked + "0\r\n", 404, false},
		"body not yet sent":        {post("/none", 5, "Expect: 100-continue\r\n"), 404, false},
		"whole body":               {post("/none", 5) + "abcde", 404, true},
		"whole body in chunks":     {chunked + "1\r\na\r\n0\r\n\r\n", 404, true},
		"no body":                  {post("/none", 0), 404, true},
		"header over the limit":    {post("/none", 5, fields(testHeaderBytes)), 431, false},
		"head and body incomplete": {"POST /none HTTP/1.1\r\nContent-Length: 9\r\n" + fields(testHeaderBytes), 431, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, 16<<20, 0)
			began := time.Now()
			_, r := s.dial(tt.text)
			res, _ := answer(t, r)
			is.True(time.Since(began) < atOnce)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Close, !tt.kept)
		})
	}
}

// TestRefusalArrives checks that a client that goes on sending gets its refusal.
func TestRefusalArrives(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, 16<<20, 0)
	for range 20 {
		c, r := s.dial("GET /read HTTP/1.1\r\n" + fields(testHeaderBytes+100))
		for range 4 {
			_, _ = io.WriteString(c, fields(8<<10))
		}
		res, _ := answer(t, r)
		is.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// TestRefusalArrivesAfterUpload checks that a client that sends a long request whole before it reads gets its refusal.
func TestRefusalArrivesAfterUpload(t *testing.T) {
	body := strings.Repeat("x", testBodyBytes)
	tests := map[string]struct {
		text   string
		status int
	}{
		"no room":                {post("/read", testBodyBytes) + body, 503},
		"no room, in chunks":     {"POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBodyBytes, body), 503},
		"not found":              {post("/none", testBodyBytes) + body, 404},
		"not found, in chunks":   {"POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBodyBytes, body), 404},
		"too long":               {post("/read", 2*testBodyBytes) + body + body, 413},
		"header over the limit":  {post("/read", testBodyBytes, fields(testHeaderBytes)) + body, 431},
		"no room for many lines": {"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n" + fields(testHeaderBytes-40) + "\r\n" + body[:100000], 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t, 3400<<10, 0)
			if tt.status == http.StatusServiceUnavailable {
				// Uploads that go on take the room for long requests.
				for range 2 {
					_, _ = s.dial(post("/read", testBodyBytes-20<<10))
				}
				s.await("two requests", func() bool { return s.handled.Load() == 2 })
			}
			for range 10 {
				_, r := s.dial(tt.text)
				res, _ := answer(t, r)
				is.Equal(res.StatusCode, tt.status)
			}
		})
	}
}

// TestRefusalReachesUsualClient checks that a client of net/http, which gives up when it can't write, gets its refusal
// although the server reads nothing of its long body.
func TestRefusalReachesUsualClient(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, 16<<20, 0)
	body := strings.Repeat("x", 8<<20)
	for range 20 {
		c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Post("http://"+s.address+"/read", "text/plain", strings.NewReader(body))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
		is.NoErr(res.Body.Close())
	}
}

// TestRequestsSentAhead checks that requests that are sent before the answers to earlier ones are answered in order, and
// that what is sent on without end neither stays in memory nor cuts the answers off.
func TestRequestsSentAhead(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, 16<<20, 0)
	c, r := s.dial("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + post("/read", 3) + "abc" + post("/read", 2) + "ab")
	s.await("the first request", func() bool { return s.handled.Load() == 1 })
	close(s.proceed)
	res, _ := answer(t, r)
	is.Equal(res.StatusCode, http.StatusOK)
	_, text := answer(t, r)
	is.Equal(text, "3")
	_, text = answer(t, r)
	is.Equal(text, "2")
	_ = c.Close()
	s.await("all memory to be free", func() bool { return s.budget.Used() == 0 })
}

// TestNothingIsLost checks that all memory is free after clients of all kinds, ended at any byte.
func TestNothingIsLost(t *testing.T) {
	s := startTestServer(t, 4<<20, 64)
	texts := []string{
		post("/read", 20<<10) + strings.Repeat("x", 20<<10), post("/none", 5) + "abcde" + post("/read", 3) + "abc",
		"GET /read HTTP/1.1\r\nHost: h\r\n" + fields(testHeaderBytes) + "\r\n", "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2;x\r\nab\r\n", 100) + "0\r\nT: 1\r\n\r\n" + post("/read", 0),
		"\r\n\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + post("/read", 1) + "a", "nonsense\r\n\r\n" + post("/read", 1),
		"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + post("/read", 1) + "a",
	}
	random := rand.New(rand.NewPCG(1, 2))
	var clients sync.WaitGroup
	for range 300 {
		text := texts[random.IntN(len(texts))]
		text = text[:random.IntN(len(text)+1)]
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		clients.Go(func() {
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, text)
			_ = c.SetReadDeadline(time.Now().Add(pause))
			_, _ = io.CopyN(io.Discard, c, 100<<10)
		})
	}
	clients.Wait()
	s.await("all memory to be free", func() bool { return s.budget.Used() == 0 })
	_, r := s.dial(post("/read", testBodyBytes) + strings.Repeat("x", testBodyBytes))
	_, text := answer(t, r)
	is.New(t).Equal(text, strconv.Itoa(testBodyBytes))
}
