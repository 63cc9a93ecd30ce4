package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// awaitTimeout bounds the wait for a condition, which ends as soon as the condition holds.
	awaitTimeout = 10 * time.Second
	hostCount    = 3
	engineCount  = 3
)

type (
	// deployment runs three hosts in two zones and the simulated external systems as processes.
	deployment struct {
		t         *testing.T
		dir       string
		processes map[string]*exec.Cmd
		addresses map[string]string
	}
)

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// addressOf returns the address of a listener and reserves a free port at the first call.
func (d *deployment) addressOf(name string) string {
	if a, ok := d.addresses[name]; ok {
		return a
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	d.addresses[name] = l.Addr().String()
	return d.addresses[name]
}

func (d *deployment) startProcess(name, program string, args ...string) {
	c := exec.Command(filepath.Join(d.dir, program), args...)
	logFile, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = c
}

func (d *deployment) signalProcess(name string, s syscall.Signal) {
	if err := d.processes[name].Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// stopProcess sends a signal to a process and waits for its exit.
func (d *deployment) stopProcess(name string, s syscall.Signal) error {
	d.signalProcess(name, s)
	err := d.processes[name].Wait()
	delete(d.processes, name)
	return err
}

func zoneOf(i int) string { return []string{"klang-a", "klang-a", "penang-a"}[i] }

func (d *deployment) startHost(i int) {
	name := fmt.Sprintf("entry-%d", i)
	var contacts []string
	for j := range hostCount {
		if j != i {
			contacts = append(contacts, fmt.Sprintf("entry-%d@%s@%s", j, zoneOf(j), d.addressOf(fmt.Sprintf("peers-%d", j))))
		}
	}
	text := fmt.Sprintf("[Host]\nName = %s\nAvailabilityZone = %s\n[Callers]\nAddress = %s\n[Peers]\nAddress = %s\nSecretFile = %s\nContacts = %s\n"+
		"[Operators]\nAddress = %s\nOperatorKeys = %s\n[Platform]\nAddress = %s\n[Zones]\nRoundTrips = klang-a@3ms, penang-a@3ms\n[Placement]\nPoll = 100ms\n[Stop]\nNotice = 100ms\n",
		name, zoneOf(i), d.addressOf(fmt.Sprintf("callers-%d", i)), d.addressOf(fmt.Sprintf("peers-%d", i)), filepath.Join(d.dir, "secret"),
		strings.Join(contacts, ", "), d.addressOf(fmt.Sprintf("operators-%d", i)), filepath.Join(d.dir, "operators"), d.addressOf("platform"))
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.startProcess(name, "fescuepointd", "--settings", file)
}

// prepareDeployment builds the programs and starts no process yet.
func prepareDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: buildPrograms(t), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}}
	for name, text := range map[string]string{"secret": "s", "operators": "alice " + sha256Hex("operator-key")} {
		if err := os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for name := range d.processes {
			_ = d.stopProcess(name, syscall.SIGKILL)
		}
	})
	return d
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := prepareDeployment(t)
	d.startProcess("platform", "fescuestandin", "platform", "--address", d.addressOf("platform"))
	d.startProcess("weights", "fescuestandin", "weight-store", "--address", d.addressOf("weights"), "--work", "300ms")
	d.startProcess("booking", "fescuestandin", "service", "--address", d.addressOf("booking"), "--name", "booking", "--work", "300ms")
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		args := []string{"engine", "--address", d.addressOf(name), "--name", name, "--model", "tutor", "--weight-store", d.addressOf("weights")}
		if i > 0 {
			args = append(args, "--checks-fencing")
		}
		d.startProcess(name, "fescuestandin", args...)
	}
	for i := range hostCount {
		d.startHost(i)
	}
	for i := range hostCount {
		d.await("readiness", func() bool { return d.httpGet(fmt.Sprintf("callers-%d", i), "/readyz") == "ready\n" })
	}
	d.applyConfiguration()
	return d
}

// poll calls f until it returns true, and reports whether it did within the timeout. Other processes are asked in real time,
// as nothing tells when they have changed.
func poll(timeout time.Duration, f func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// await waits until f returns true and fails the test after awaitTimeout.
func (d *deployment) await(condition string, f func() bool) {
	d.t.Helper()
	if poll(awaitTimeout, f) {
		return
	}
	out, _ := d.runCommand(0, "hosts")
	d.t.Fatalf("timed out waiting for %s\n%s", condition, out)
}

func (d *deployment) httpGet(name, path string) string {
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get("http://" + d.addressOf(name) + path)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return string(data)
}

func (d *deployment) httpPost(name, path, body string) {
	res, err := http.Post("http://"+d.addressOf(name)+path, "application/json", strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = res.Body.Close()
}

// runCommand runs the command line client against a host and returns its output and exit code.
func (d *deployment) runCommand(host int, args ...string) (string, int) {
	c := exec.Command(filepath.Join(d.dir, "fescuepoint"), args...)
	c.Env = append(os.Environ(),
		"FESCUEPOINT_OPERATORS=http://"+d.addressOf(fmt.Sprintf("operators-%d", host)), "FESCUEPOINT_KEY=operator-key",
		"FESCUEPOINT_CALLER=http://"+d.addressOf(fmt.Sprintf("callers-%d", host)), "FESCUEPOINT_TEAM_KEY=team-key")
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), c.ProcessState.ExitCode()
}

func (d *deployment) applyConfiguration() {
	type object map[string]any
	upstreams := []object{{"Name": "booking", "Kind": "Service", "Address": d.addressOf("booking"), "AvailabilityZone": "klang-a", "Service": "booking"}}
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		upstreams = append(upstreams, object{"Name": name, "Kind": "Engine", "Address": d.addressOf(name), "AvailabilityZone": zoneOf(i), "Model": "tutor"})
	}
	data, err := json.Marshal(object{"Set": object{
		"Teams":     []object{{"Name": "training", "KeySHA256": sha256Hex("team-key")}},
		"Models":    []object{{"Name": "tutor", "Weights": "1"}},
		"Services":  []object{{"Name": "booking", "Calls": []object{{"Path": "/roster", "Idempotent": true}}}},
		"Upstreams": upstreams,
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.dir, "patch.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
	out, code := d.runCommand(0, "patch", file, "--wait")
	if code != 0 || strings.Count(out, "in force") != hostCount {
		d.t.Fatalf("patch: exit %d\n%s", code, out)
	}
	for i := range hostCount {
		d.await("reachable upstreams", func() bool {
			out, _ := d.runCommand(i, "upstreams")
			return strings.Count(out, "reachable true") == engineCount+1
		})
	}
}

// runCount returns how often the booking service ran a request.
func (d *deployment) runCount(id string) int {
	var counts map[string]int
	_ = json.Unmarshal([]byte(d.httpGet("booking", "/counts")), &counts)
	return counts[id]
}

// TestProcesses checks a deployment of processes under killed and suspended processes, an outage of
// the platform, a rollout of new weights and a planned stop.
func TestProcesses(t *testing.T) {
	d := newDeployment(t)
	t.Run("host killed while its call runs", func(t *testing.T) { d.t = t; d.testHostKilledDuringCall() })
	t.Run("host suspended", func(t *testing.T) { d.t = t; d.testHostSuspended() })
	t.Run("platform down", func(t *testing.T) { d.t = t; d.testPlatformOutage() })
	t.Run("engine killed", func(t *testing.T) { d.t = t; d.testEngineKilled() })
	t.Run("rollout", func(t *testing.T) { d.t = t; d.testRollout() })
	t.Run("planned stop", func(t *testing.T) {
		d.t = t
		d.testSecondSignal()
		for i := range hostCount {
			if _, ok := d.processes[fmt.Sprintf("entry-%d", i)]; !ok {
				continue
			}
			if err := d.stopProcess(fmt.Sprintf("entry-%d", i), syscall.SIGTERM); err != nil {
				t.Errorf("entry-%d: %v", i, err)
			}
		}
	})
}

// testSecondSignal stops a host while a call runs and checks that the second signal logs the number
// of running requests, that the call completes and that the host exits without an error.
func (d *deployment) testSecondSignal() {
	answer := make(chan string, 1)
	go func() {
		out, _ := d.runCommand(0, "call", "--request-id", "cert-stop", "booking", "/certificate", "x")
		answer <- out
	}()
	d.await("the call to run", func() bool { return d.runCount("cert-stop") == 1 })
	logContains := func(text string) func() bool {
		return func() bool {
			data, _ := os.ReadFile(filepath.Join(d.dir, "entry-0.log"))
			return strings.Contains(string(data), text)
		}
	}
	d.signalProcess("entry-0", syscall.SIGTERM)
	d.await("the stop to begin", logContains(`"stopping"`))
	if err := d.stopProcess("entry-0", syscall.SIGTERM); err != nil {
		d.t.Errorf("entry-0: %v", err)
	}
	if !logContains("1 requests under way")() {
		d.t.Error("the second signal did not log the running requests")
	}
	if out := <-answer; !strings.Contains(out, `"Run":1`) {
		d.t.Errorf("the running call was interrupted: %s", out)
	}
}

// testHostKilledDuringCall kills the host that dispatched a call and repeats the call through another
// host, which must not run it again and must report an unknown outcome.
func (d *deployment) testHostKilledDuringCall() {
	go d.runCommand(0, "call", "--request-id", "cert-killed", "booking", "/certificate", "x")
	d.await("the call to run", func() bool { return d.runCount("cert-killed") == 1 })
	_ = d.stopProcess("entry-0", syscall.SIGKILL)
	out, code := d.runCommand(1, "call", "--request-id", "cert-killed", "booking", "/certificate", "x")
	if code != 4 {
		d.t.Errorf("exit %d, want 4 (unknown)\n%s", code, out)
	}
	if n := d.runCount("cert-killed"); n != 1 {
		d.t.Errorf("the call ran %d times", n)
	}
	d.startHost(0)
	d.await("the restarted host to have the configuration", func() bool {
		out, _ := d.runCommand(0, "status")
		return strings.Contains(out, "version 1, ready true")
	})
}

// testHostSuspended suspends a host's process and checks that the others mark it as dead, serve
// requests meanwhile, and mark it as alive after it resumes.
func (d *deployment) testHostSuspended() {
	d.await("all hosts to be alive", func() bool {
		out, _ := d.runCommand(0, "hosts", "--output", "json")
		return strings.Count(out, `"State": "alive"`) == hostCount-1
	})
	d.signalProcess("entry-2", syscall.SIGSTOP)
	defer d.signalProcess("entry-2", syscall.SIGCONT)
	d.await("the suspended host to be marked as dead", func() bool {
		out, _ := d.runCommand(0, "hosts", "--output", "json")
		return strings.Contains(out, `"State": "dead"`)
	})
	if out, code := d.runCommand(0, "ask", "tutor", "hello"); code != 0 {
		d.t.Errorf("chat request: exit %d\n%s", code, out)
	}
	d.signalProcess("entry-2", syscall.SIGCONT)
	d.await("the resumed host to be alive again", func() bool {
		out, _ := d.runCommand(0, "hosts", "--output", "json")
		return !strings.Contains(out, `"State": "dead"`)
	})
}

// testPlatformOutage checks that without the platform requests that need no claim are served, the
// others are not run, and that they are run after the outage.
func (d *deployment) testPlatformOutage() {
	d.httpPost("platform", "/faults", `{"Down":true}`)
	if out, code := d.runCommand(0, "ask", "tutor", "hello"); code != 0 {
		d.t.Errorf("chat request without the platform: exit %d\n%s", code, out)
	}
	if out, code := d.runCommand(0, "call", "booking", "/roster"); code != 0 {
		d.t.Errorf("idempotent call without the platform: exit %d\n%s", code, out)
	}
	if out, code := d.runCommand(0, "call", "--request-id", "cert-down", "booking", "/certificate", "x"); code != 3 && code != 4 {
		d.t.Errorf("exit %d, want 3 or 4\n%s", code, out)
	}
	if n := d.runCount("cert-down"); n != 0 {
		d.t.Errorf("the call ran %d times", n)
	}
	d.httpPost("platform", "/faults", `{}`)
	if out, code := d.runCommand(1, "call", "--request-id", "cert-down", "booking", "/certificate", "x"); code != 0 {
		d.t.Errorf("call after the outage: exit %d\n%s", code, out)
	}
	if n := d.runCount("cert-down"); n != 1 {
		d.t.Errorf("the call ran %d times", n)
	}
}

// testEngineKilled checks that requests are served while one of the zone's engines is down.
func (d *deployment) testEngineKilled() {
	_ = d.stopProcess("engine-0", syscall.SIGKILL)
	for range 5 {
		if out, code := d.runCommand(0, "ask", "tutor", "hello"); code != 0 {
			d.t.Errorf("chat request: exit %d\n%s", code, out)
		}
	}
	d.startProcess("engine-0", "fescuestandin", "engine", "--address", d.addressOf("engine-0"), "--name", "engine-0", "--model", "tutor", "--weight-store", d.addressOf("weights"))
}

// testRollout orders new weights and checks that requests are served meanwhile and that at most two
// replicas load weights at the same time.
func (d *deployment) testRollout() {
	out, code := d.runCommand(0, "order", "tutor", "2", "--wait")
	if code != 0 {
		d.t.Fatalf("order: exit %d\n%s", code, out)
	}
	d.await("all engines to have the new weights", func() bool {
		if out, code := d.runCommand(0, "ask", "tutor", "hello"); code != 0 {
			d.t.Errorf("chat request: exit %d\n%s", code, out)
		}
		out, _ := d.runCommand(0, "upstreams")
		return strings.Count(out, "weights 2") == engineCount
	})
	if maxLoading := strings.TrimSpace(d.httpGet("weights", "/counts")); maxLoading != "1" && maxLoading != "2" {
		d.t.Errorf("%s replicas loaded weights at the same time, want 1 or 2", maxLoading)
	}
}
