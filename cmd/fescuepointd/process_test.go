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
	// patience bounds waits that end as soon as what is waited for is there.
	patience    = 10 * time.Second
	hostCount   = 3
	engineCount = 3
)

type (
	// deployment is three hosts in two zones with their stand-ins, as processes.
	deployment struct {
		t         *testing.T
		dir       string
		processes map[string]*exec.Cmd
		addresses map[string]string
	}
)

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func (d *deployment) address(name string) string {
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

func (d *deployment) start(name, program string, args ...string) {
	c := exec.Command(filepath.Join(d.dir, program), args...)
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = c
}

func (d *deployment) signal(name string, s syscall.Signal) {
	if err := d.processes[name].Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// end stops a process and returns how it ended.
func (d *deployment) end(name string, s syscall.Signal) error {
	d.signal(name, s)
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
			contacts = append(contacts, fmt.Sprintf("entry-%d@%s@%s", j, zoneOf(j), d.address(fmt.Sprintf("peers-%d", j))))
		}
	}
	text := fmt.Sprintf("[Host]\nName = %s\nAvailabilityZone = %s\n[Callers]\nAddress = %s\n[Peers]\nAddress = %s\nSecretFile = %s\nContacts = %s\n"+
		"[Operators]\nAddress = %s\nOperatorKeys = %s\n[Platform]\nAddress = %s\n[Zones]\nRoundTrips = klang-a@3ms, penang-a@3ms\n[Placement]\nPoll = 100ms\n[Stop]\nNotice = 100ms\n",
		name, zoneOf(i), d.address(fmt.Sprintf("callers-%d", i)), d.address(fmt.Sprintf("peers-%d", i)), filepath.Join(d.dir, "secret"),
		strings.Join(contacts, ", "), d.address(fmt.Sprintf("operators-%d", i)), filepath.Join(d.dir, "operators"), d.address("platform"))
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.start(name, "fescuepointd", "--settings", file)
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}}
	if out, err := exec.Command("go", "build", "-o", d.dir+"/", "../...").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, text := range map[string]string{"secret": "s", "operators": "alice " + hash("operator-key")} {
		if err := os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for name := range d.processes {
			_ = d.end(name, syscall.SIGKILL)
		}
	})
	d.start("platform", "fescuestandin", "platform", "--address", d.address("platform"))
	d.start("weights", "fescuestandin", "weight-store", "--address", d.address("weights"), "--work", "300ms")
	d.start("booking", "fescuestandin", "service", "--address", d.address("booking"), "--name", "booking", "--work", "300ms")
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		args := []string{"engine", "--address", d.address(name), "--name", name, "--model", "tutor", "--weight-store", d.address("weights")}
		if i > 0 {
			args = append(args, "--checks-fencing")
		}
		d.start(name, "fescuestandin", args...)
	}
	for i := range hostCount {
		d.startHost(i)
	}
	for i := range hostCount {
		d.await("readiness", func() bool { return d.get(fmt.Sprintf("callers-%d", i), "/readyz") == "ready\n" })
	}
	d.configure()
	return d
}

func (d *deployment) await(what string, f func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	out, _ := d.command(0, "hosts")
	d.t.Fatalf("waited in vain for %s\n%s", what, out)
}

func (d *deployment) get(name, path string) string {
	client := http.Client{Timeout: 2 * time.Second}
	res, err := client.Get("http://" + d.address(name) + path)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return string(data)
}

func (d *deployment) post(name, path, body string) {
	res, err := http.Post("http://"+d.address(name)+path, "application/json", strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = res.Body.Close()
}

// command runs the operators' command line against a host and returns its output and exit code.
func (d *deployment) command(host int, args ...string) (string, int) {
	c := exec.Command(filepath.Join(d.dir, "fescuepoint"), args...)
	c.Env = append(os.Environ(),
		"FESCUEPOINT_OPERATORS=http://"+d.address(fmt.Sprintf("operators-%d", host)), "FESCUEPOINT_KEY=operator-key",
		"FESCUEPOINT_CALLER=http://"+d.address(fmt.Sprintf("callers-%d", host)), "FESCUEPOINT_TEAM_KEY=team-key")
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		d.t.Fatal(err)
	}
	return string(out), c.ProcessState.ExitCode()
}

func (d *deployment) configure() {
	type object map[string]any
	upstreams := []object{{"Name": "booking", "Kind": "Service", "Address": d.address("booking"), "AvailabilityZone": "klang-a", "Service": "booking"}}
	for i := range engineCount {
		name := fmt.Sprintf("engine-%d", i)
		upstreams = append(upstreams, object{"Name": name, "Kind": "Engine", "Address": d.address(name), "AvailabilityZone": zoneOf(i), "Model": "tutor"})
	}
	data, err := json.Marshal(object{"Set": object{
		"Teams":     []object{{"Name": "training", "KeySHA256": hash("team-key")}},
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
	out, code := d.command(0, "patch", file, "--wait")
	if code != 0 || strings.Count(out, "in force") != hostCount {
		d.t.Fatalf("patch: exit %d\n%s", code, out)
	}
	for i := range hostCount {
		d.await("the upstreams", func() bool {
			out, _ := d.command(i, "upstreams")
			return strings.Count(out, "reachable true") == engineCount+1
		})
	}
}

func (d *deployment) runs(id string) int {
	var counts map[string]int
	_ = json.Unmarshal([]byte(d.get("booking", "/counts")), &counts)
	return counts[id]
}

// TestProcesses puts a deployment of processes through kills, freezes, an
// outage of the platform and a rollout.
func TestProcesses(t *testing.T) {
	d := newDeployment(t)
	t.Run("host killed while its call runs", func(t *testing.T) { d.t = t; d.killedWhileRunning() })
	t.Run("host frozen", func(t *testing.T) { d.t = t; d.frozen() })
	t.Run("platform down", func(t *testing.T) { d.t = t; d.platformDown() })
	t.Run("engine killed", func(t *testing.T) { d.t = t; d.engineKilled() })
	t.Run("rollout", func(t *testing.T) { d.t = t; d.rollout() })
	t.Run("planned stop", func(t *testing.T) {
		d.t = t
		d.twoSignals()
		for i := range hostCount {
			if _, ok := d.processes[fmt.Sprintf("entry-%d", i)]; !ok {
				continue
			}
			if err := d.end(fmt.Sprintf("entry-%d", i), syscall.SIGTERM); err != nil {
				t.Errorf("entry-%d: %v", i, err)
			}
		}
	})
}

// twoSignals stops a host while a call runs: the second signal says what is
// under way, the call ends whole, and the host exits in order.
func (d *deployment) twoSignals() {
	answer := make(chan string, 1)
	go func() {
		out, _ := d.command(0, "call", "--request-id", "cert-stop", "booking", "/certificate", "x")
		answer <- out
	}()
	d.await("the call to run", func() bool { return d.runs("cert-stop") == 1 })
	logged := func(text string) func() bool {
		return func() bool {
			data, _ := os.ReadFile(filepath.Join(d.dir, "entry-0.log"))
			return strings.Contains(string(data), text)
		}
	}
	d.signal("entry-0", syscall.SIGTERM)
	d.await("the stop to begin", logged(`"stopping"`))
	if err := d.end("entry-0", syscall.SIGTERM); err != nil {
		d.t.Errorf("entry-0: %v", err)
	}
	if !logged("1 requests under way")() {
		d.t.Error("the second signal did not say what was under way")
	}
	if out := <-answer; !strings.Contains(out, `"Run":1`) {
		d.t.Errorf("the call under way was cut: %s", out)
	}
}

// killedWhileRunning kills the host that dispatched a call; a repeat through
// another host neither runs it again nor says that it did not run.
func (d *deployment) killedWhileRunning() {
	go d.command(0, "call", "--request-id", "cert-killed", "booking", "/certificate", "x")
	d.await("the call to run", func() bool { return d.runs("cert-killed") == 1 })
	_ = d.end("entry-0", syscall.SIGKILL)
	out, code := d.command(1, "call", "--request-id", "cert-killed", "booking", "/certificate", "x")
	if code != 4 {
		d.t.Errorf("exit %d, want 4 (unknown)\n%s", code, out)
	}
	if n := d.runs("cert-killed"); n != 1 {
		d.t.Errorf("the call ran %d times", n)
	}
	d.startHost(0)
	d.await("the host to return with the configuration", func() bool {
		out, _ := d.command(0, "status")
		return strings.Contains(out, "version 1, ready true")
	})
}

// frozen stops a host's process; the others rank it out and go on, and take it back.
func (d *deployment) frozen() {
	d.await("all hosts to be heard", func() bool {
		out, _ := d.command(0, "hosts", "--output", "json")
		return strings.Count(out, `"State": "alive"`) == hostCount-1
	})
	d.signal("entry-2", syscall.SIGSTOP)
	defer d.signal("entry-2", syscall.SIGCONT)
	d.await("the frozen host to be ranked out", func() bool {
		out, _ := d.command(0, "hosts", "--output", "json")
		return strings.Contains(out, `"State": "dead"`)
	})
	if out, code := d.command(0, "ask", "tutor", "hello"); code != 0 {
		d.t.Errorf("exit %d\n%s", code, out)
	}
	d.signal("entry-2", syscall.SIGCONT)
	d.await("the host to be taken back", func() bool {
		out, _ := d.command(0, "hosts", "--output", "json")
		return !strings.Contains(out, `"State": "dead"`)
	})
}

// platformDown serves what needs no claim, refuses the rest, and recovers.
func (d *deployment) platformDown() {
	d.post("platform", "/faults", `{"Down":true}`)
	if out, code := d.command(0, "ask", "tutor", "hello"); code != 0 {
		d.t.Errorf("a chat without the platform: exit %d\n%s", code, out)
	}
	if out, code := d.command(0, "call", "booking", "/roster"); code != 0 {
		d.t.Errorf("an idempotent call without the platform: exit %d\n%s", code, out)
	}
	if out, code := d.command(0, "call", "--request-id", "cert-down", "booking", "/certificate", "x"); code != 3 && code != 4 {
		d.t.Errorf("exit %d, want 3 or 4\n%s", code, out)
	}
	if n := d.runs("cert-down"); n != 0 {
		d.t.Errorf("the call ran %d times", n)
	}
	d.post("platform", "/faults", `{}`)
	if out, code := d.command(1, "call", "--request-id", "cert-down", "booking", "/certificate", "x"); code != 0 {
		d.t.Errorf("after the outage: exit %d\n%s", code, out)
	}
	if n := d.runs("cert-down"); n != 1 {
		d.t.Errorf("the call ran %d times", n)
	}
}

// engineKilled kills one of the zone's engines; requests go on.
func (d *deployment) engineKilled() {
	_ = d.end("engine-0", syscall.SIGKILL)
	for range 5 {
		if out, code := d.command(0, "ask", "tutor", "hello"); code != 0 {
			d.t.Errorf("exit %d\n%s", code, out)
		}
	}
	d.start("engine-0", "fescuestandin", "engine", "--address", d.address("engine-0"), "--name", "engine-0", "--model", "tutor", "--weight-store", d.address("weights"))
}

// rollout orders new weights; requests go on, and at most two replicas load at once.
func (d *deployment) rollout() {
	out, code := d.command(0, "order", "tutor", "2", "--wait")
	if code != 0 {
		d.t.Fatalf("exit %d\n%s", code, out)
	}
	d.await("all engines to have the new weights", func() bool {
		if out, code := d.command(0, "ask", "tutor", "hello"); code != 0 {
			d.t.Errorf("exit %d\n%s", code, out)
		}
		out, _ := d.command(0, "upstreams")
		return strings.Count(out, "weights 2") == engineCount
	})
	if most := strings.TrimSpace(d.get("weights", "/counts")); most != "1" && most != "2" {
		d.t.Errorf("%s replicas loaded weights at once", most)
	}
}
