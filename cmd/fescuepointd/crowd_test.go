package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	crowdMemoryMB       = 134
	crowdDescriptors    = 4100
	crowdHeaderBytes    = 16 << 10
	crowdBodyBytes      = 4 << 20
	crowdSampleInterval = 5 * time.Millisecond
	// crowdPatience ends a client's writes to a host that has stopped reading.
	crowdPatience = 8 * time.Second
	// crowdSettled is how long the peaks must not rise before they count, by more than crowdSettledBytes.
	crowdSettled      = 300 * time.Millisecond
	crowdSettledBytes = 1 << 20
	// crowdAwait bounds the wait for the answer to an ordinary request beside the crowd.
	crowdAwait = 60 * time.Second
)

type (
	// crowdHost is a host under test, run as a process of its own.
	crowdHost struct {
		t           *testing.T
		command     *exec.Cmd
		exited      chan struct{}
		logFile     string
		memoryBytes int64
		descriptors int
		// ask sends one ordinary request and reports whether it was served.
		ask func() bool
		// peak values seen by watch.
		peakBytes, peakDescriptors atomic.Int64
	}

	// crowd is a number of clients, each of which sends something and keeps its connection open until the host is gone.
	crowd struct {
		clients int
		send    func(c net.Conn, client int) error
	}
)

// shortLines returns header lines of n bytes in all, as many with names of their own as fit.
func shortLines(n int) string {
	const letters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < n-12; i++ {
		b.WriteByte(letters[i%len(letters)])
		for j := i / len(letters); j > 0; j /= len(letters) {
			b.WriteByte(letters[j%len(letters)])
		}
		b.WriteString(":\r\n")
	}
	_, _ = fmt.Fprintf(&b, "p:%s\r\n", strings.Repeat("x", max(n-b.Len()-4, 0)))
	return b.String()
}

func writeText(parts ...string) func(net.Conn, int) error {
	return func(c net.Conn, _ int) error {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return err
			}
		}
		return nil
	}
}

// writeRepeatedly sends a head and then a text the given number of times, and pauses after each: clients on slow lines send
// in pieces.
func writeRepeatedly(head, text string, times int, pause time.Duration) func(net.Conn, int) error {
	return func(c net.Conn, _ int) error {
		if _, err := io.WriteString(c, head); err != nil {
			return err
		}
		for range times {
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// crowds returns the crowds that each listener must bear; line is a request's line and the header that an ordinary one
// needs, body the longest body, and head the longest header.
func crowds(line string, header, body int) map[string]crowd {
	length := func(n int) string { return line + "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	chunked := line + "Transfer-Encoding: chunked\r\n\r\n"
	legal := header - 700
	get := strings.Replace(line, "POST", "GET", 1)
	return map[string]crowd{
		"heads without end":              {300, writeText(line, shortLines(60<<10))},
		"legal heads without their end":  {600, writeText(line, shortLines(legal-len(line)))},
		"legal heads of unended bodies":  {600, writeText(line, "Content-Length: 2\r\n", shortLines(legal-len(line)), "\r\nx")},
		"one header line without end":    {300, writeText(line, "a: ", strings.Repeat("x", 200<<10))},
		"empty lines without end":        {300, writeRepeatedly("", strings.Repeat("\r\n", 1<<10), 200, 0)},
		"bodies without their last byte": {50, writeText(length(body), strings.Repeat("x", body-1))},
		"bodies over the limit":          {50, writeText(length(2*body), strings.Repeat("x", body))},
		"bodies in chunks of a byte":     {60, writeRepeatedly(chunked, strings.Repeat("1\r\nx\r\n", 1<<10), min(body, crowdBodyBytes)>>11, 0)},
		"bodies in pieces":               {60, writeRepeatedly(length(body), strings.Repeat("x", body>>6), 63, 20*time.Millisecond)},
		"silent channels":                {4200, writeText()},
		"requests sent ahead":            {300, writeRepeatedly(get+"\r\n", get+shortLines(legal-len(line))+"\r\n", 20, 0)},
		"trailers without end":           {300, writeText(chunked, "1\r\nx\r\n0\r\n", shortLines(60<<10))},
		"chunk extensions without end":   {300, writeRepeatedly(chunked, "1;x="+strings.Repeat("x", 1000)+"\r\na\r\n", 200, 0)},
	}
}

// startCrowdHost starts a host's process.
func startCrowdHost(t *testing.T, daemon string, args ...string) *crowdHost {
	t.Helper()
	h := &crowdHost{t: t, exited: make(chan struct{}), logFile: filepath.Join(t.TempDir(), "host.log")}
	logFile, err := os.Create(h.logFile)
	if err != nil {
		t.Fatal(err)
	}
	h.command = exec.Command(daemon, args...)
	h.command.Stdout, h.command.Stderr = logFile, logFile
	if err := h.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status is ignored: the process ends by the signal sent here, or the test sees that it has ended.
		_ = h.command.Wait()
		_ = logFile.Close()
		close(h.exited)
	}()
	t.Cleanup(func() {
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.exited
	})
	return h
}

func (h *crowdHost) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// memory returns the resident bytes of the process, at their peak, and what its sockets have received and it has not read.
func (h *crowdHost) memory(ip string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	kilobytes := int64(0)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(v, &kilobytes)
		}
	}
	return kilobytes<<10 + unreadBytes(ip)
}

// unreadBytes returns the bytes in the receive queues of the sockets at an IPv4 address.
func unreadBytes(ip string) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	b := netip.MustParseAddr(ip).As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]}))
	sum := int64(0)
	for line := range bytes.Lines(data) {
		f := strings.Fields(string(line))
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == "0A" {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

func (h *crowdHost) countDescriptors() int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// watch records the peaks of memory and descriptors until done is closed.
func (h *crowdHost) watch(ip string, done <-chan struct{}) {
	for {
		h.peakBytes.Store(max(h.peakBytes.Load(), h.memory(ip)))
		h.peakDescriptors.Store(max(h.peakDescriptors.Load(), h.countDescriptors()))
		select {
		case <-done:
			return
		case <-time.After(crowdSampleInterval):
		}
	}
}

// bear sends a crowd to an address, then asks an ordinary request beside it and one after it has left, and checks the bounds.
func (h *crowdHost) bear(address string, c crowd) {
	h.t.Helper()
	ip, _, _ := net.SplitHostPort(address)
	done := make(chan struct{})
	var watching, clients sync.WaitGroup
	watching.Go(func() { h.watch(ip, done) })
	var mu sync.Mutex
	var open []net.Conn
	for i := range c.clients {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdPatience)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(crowdPatience))
			// A host may refuse the client and close its connection.
			_ = c.send(conn, i)
		})
	}
	clients.Wait()
	served := poll(crowdAwait, func() bool { return h.ask() || !h.alive() }) && h.alive()
	h.settle()
	for _, conn := range open {
		_ = conn.Close()
	}
	servedAfter := poll(crowdAwait, func() bool { return h.ask() || !h.alive() }) && h.alive()
	close(done)
	watching.Wait()
	h.t.Logf("%d clients: at most %.1f MB of %.0f, %d descriptors of %d", c.clients, float64(h.peakBytes.Load())/(1<<20), float64(h.memoryBytes)/(1<<20), h.peakDescriptors.Load(), h.descriptors)
	switch {
	case !h.alive():
		h.t.Error("the process has ended")
	case !served:
		h.t.Error("no ordinary request was served")
	case !servedAfter:
		h.t.Error("no ordinary request was served after the crowd has left")
	}
	if h.peakBytes.Load() > h.memoryBytes {
		h.t.Errorf("%.1f MB of %.0f", float64(h.peakBytes.Load())/(1<<20), float64(h.memoryBytes)/(1<<20))
	}
	if n := h.peakDescriptors.Load(); n > int64(h.descriptors) {
		h.t.Errorf("%d descriptors of %d", n, h.descriptors)
	}
	if h.t.Failed() {
		data, _ := os.ReadFile(h.logFile)
		h.t.Logf("log: %s", data[max(len(data)-3000, 0):])
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.exited
}

// settle waits until neither peak has risen for a while: a host may still be accepting what the crowd has sent.
func (h *crowdHost) settle() {
	bytes, descriptors, since := int64(0), int64(0), time.Now()
	poll(crowdAwait, func() bool {
		if b, d := h.peakBytes.Load(), h.peakDescriptors.Load(); b > bytes+crowdSettledBytes || d != descriptors {
			bytes, descriptors, since = b, d, time.Now()
		}
		return time.Since(since) > crowdSettled
	})
}

// buildPrograms builds all programs and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../...").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// crowdGateway is a host on the platform with the addresses of its listeners.
type crowdGateway struct {
	*crowdHost
	addresses map[string]string
}

// crowdAddress returns an address of a port that is free at the moment.
func crowdAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// nextCrowdIP counts the loopback addresses, of which each host gets its own: its port for metrics is fixed.
var nextCrowdIP atomic.Uint32

// startCrowdGateway starts a store, two replicas of a plain service and a host, and waits until it is ready.
func startCrowdGateway(t *testing.T, daemon string) crowdGateway {
	t.Helper()
	store := fpfake.NewStore()
	t.Cleanup(store.Close)
	for _, id := range []string{"s1", "s2"} {
		r := fpfake.NewReplica(id, "app", "z1", "")
		t.Cleanup(r.Close)
		store.Put("servers/"+id, r.Registration("ready"))
	}
	long := fpfake.NewReplica("l1", "long", "z1", "")
	t.Cleanup(long.Close)
	entry := long.Registration("ready")
	entry["address"] = serveLongAnswers(t)
	store.Put("servers/l1", entry)
	store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "read", "host": "a.example", "prefix": "/read/", "kind": "idempotent", "timeout_ms": 20000, "target_latency_ms": 300, "priority": 1, "service": "app", "max_attempts": 2,
			},
			map[string]any{
				"name": "long", "host": "a.example", "prefix": "/long/", "kind": "idempotent", "timeout_ms": 20000, "target_latency_ms": 300, "priority": 1, "service": "long", "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 100}, map[string]any{"name": "long", "health_path": "/healthz", "max_conns": 400},
		},
		"limits":  map[string]any{"max_header_bytes": crowdHeaderBytes, "max_body_bytes": crowdBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api_keys": []string{"key"}, "priority": 1}},
	})
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250, nextCrowdIP.Add(1))
	callers, ready, peers := crowdAddress(t, ip), crowdAddress(t, ip), crowdAddress(t, ip)
	peerPort := int(netip.MustParseAddrPort(peers).Port())
	settings, err := json.Marshal(map[string]any{
		"node_name": "h1", "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen": map[string]string{"front": callers, "ready": ready}, "port_range": []int{peerPort, peerPort + 15},
		"limits": map[string]any{"memory_mb": crowdMemoryMB, "max_fds": crowdDescriptors}, "platform": map[string]any{"address": store.Address(), "ttl_min_ms": 1000},
		"contract_bounds": map[string]any{
			"strict_revoke": true, "revoke_ms": 5000, "config_apply_ms": 3000, "drain_timeout_ms": 3000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
			"grace_period_s": 8, "version_ms": 15000, "lease_ms": 3000, "require_fencing": true,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "host.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	h := startCrowdHost(t, daemon, "--platform", file)
	h.memoryBytes, h.descriptors = crowdMemoryMB<<20, crowdDescriptors
	asked := 0
	h.ask = func() bool {
		asked++
		return ask(callers, "POST /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key\r\nAttempt-Id: ask-"+strconv.Itoa(asked)+"\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
	}
	g := crowdGateway{h, map[string]string{"callers": callers, "ready": ready, "peers": peers, "metrics": ip + ":9464"}}
	awaitServed(t, h)
	return g
}

// serveLongAnswers serves answers of the longest body that a host passes on whole, and returns the address.
func serveLongAnswers(t *testing.T) string {
	t.Helper()
	body := make([]byte, crowdBodyBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Replica-Signature", "long")
		// The host may close the connection.
		_, _ = w.Write(body)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// awaitServed waits until a host serves an ordinary request.
func awaitServed(t *testing.T, h *crowdHost) {
	t.Helper()
	if !poll(crowdAwait, h.ask) {
		data, _ := os.ReadFile(h.logFile)
		t.Fatalf("the host does not serve\n%s", data)
	}
}

// ask sends a request on a connection of its own and reports whether it was served.
func ask(address, request string) bool {
	status, err := exchange(address, request, 5*time.Second)
	return err == nil && status == http.StatusOK
}

// exchange sends a text on a connection of its own and returns the status of the answer, which it reads whole.
func exchange(address, text string, timeout time.Duration) (int, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// TestCrowdReaders checks that a host bears clients that don't read the long answers to their requests.
func TestCrowdReaders(t *testing.T) {
	g := startCrowdGateway(t, filepath.Join(buildPrograms(t), "fescuepointd"))
	g.bear(g.addresses["callers"], crowd{300, writeText("GET /long/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key\r\nAttempt-Id: crowd\r\n\r\n")})
}

// TestCrowdGateway checks that a host on the platform bears crowds of clients that don't behave, within its memory and descriptors, and
// that it serves an ordinary request beside them.
func TestCrowdGateway(t *testing.T) {
	daemon := filepath.Join(buildPrograms(t), "fescuepointd")
	lines := map[string]string{
		"callers": "POST /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key\r\nAttempt-Id: crowd\r\n",
		"peers":   "POST /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key\r\nAttempt-Id: crowd\r\nFescuepoint-Forwarded-By: h2\r\n",
		"ready":   "POST /readyz HTTP/1.1\r\nHost: a.example\r\n",
		"metrics": "POST /metrics HTTP/1.1\r\nHost: a.example\r\n",
	}
	for listener, line := range lines {
		for name, c := range crowds(line, crowdHeaderBytes, crowdBodyBytes) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				g := startCrowdGateway(t, daemon)
				g.bear(g.addresses[listener], c)
			})
		}
	}
}
