package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	frontPort     = 8782
)

type (
	// place is a machine's zone.
	place struct{ zone, region string }

	// machine is one daemon, run with the command of the deploy file.
	machine struct {
		name     string
		ip       string
		settings string
		log      string
		mu       sync.Mutex
		command  *exec.Cmd
		ended    chan struct{}
	}

	// deployment is the store, the daemons and what they are started with.
	deployment struct {
		root     string
		temp     string
		network  string
		store    *store
		machines []*machine
	}
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
	running    *deployment
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func cannotRun(format string, args ...any) {
	note("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(exitCannotRun)
}

// finish ends all processes and the program.
func finish(status int) {
	if running != nil {
		for _, m := range running.machines {
			m.kill()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(running.temp)
		}
	}
	note("exit status %d", status)
	os.Exit(status)
}

// verdict ends the program with the check's result.
func verdict(broken bool, format string, args ...any) {
	result, status := "held", exitHeld
	if broken {
		result, status = "BROKEN", exitBroken
	}
	text := fmt.Sprintf(format, args...)
	note("%s: %s", result, text)
	fmt.Printf("%s: %s\n", result, text)
	finish(status)
}

// newDeployment starts a store; the daemons are started with start.
func newDeployment(places []place, memoryMB int) *deployment {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	d := &deployment{root: os.Getenv("REPOSITORY"), temp: temp, network: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()/250%200, 1+os.Getpid()%250)}
	running = d
	if _, err := os.Stat(filepath.Join(d.root, "target/fescuepointd")); err != nil {
		cannotRun("the build of the deploy file is missing: %v", err)
	}
	d.store = startStore(d.network + "2:8784")
	zones := map[string]string{}
	for _, p := range places {
		zones[p.zone] = p.region
	}
	var seeds []string
	for i := range places {
		seeds = append(seeds, fmt.Sprintf("%s%d:8783", d.network, 10+i))
	}
	perZone := map[string]int{}
	for i, p := range places {
		perZone[p.zone]++
		m := &machine{name: fmt.Sprintf("edge-%s-%d", p.zone, perZone[p.zone]), ip: fmt.Sprintf("%s%d", d.network, 10+i)}
		m.settings, m.log = filepath.Join(temp, m.name+".json"), filepath.Join(temp, m.name+".log")
		data, err := json.Marshal(map[string]any{
			"node_name": m.name, "role": "router", "machine_class": "edge", "serving_classes": []string{"edge"},
			"ip": m.ip, "zone": p.zone, "region": p.region, "zones": zones,
			"listen":     map[string]string{"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "ready": m.ip + ":8789", "control": m.ip + ":8783"},
			"port_range": []int{7340, 7355}, "seed_addrs": seeds[:min(len(seeds), 3)], "bootstrap": true, "loss_counts": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery_mode": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
			"active_contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
			"fault_tolerance":  map[string]int{"node_losses": 1, "zones": 0, "region_losses": 0},
			"contract_bounds": map[string]any{
				"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
				"grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 6000,
				"strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
				"recovery_s": 12, "transit_ms": 400, "reuse_window_s": 10, "require_fencing": true, "lease_ms": 3000, "thaw_ms": 300,
				"version_ms": 15000, "version_all_ms": 21000,
			},
			"platform": map[string]any{
				"address": d.network + "2:8784", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
				"value_bytes": 1048576, "ttl_min_ms": 1000,
			},
		})
		if err == nil {
			err = os.WriteFile(m.settings, data, 0o600)
		}
		if err != nil {
			cannotRun("%v", err)
		}
		d.machines = append(d.machines, m)
	}
	return d
}

// start starts a machine's daemon.
func (d *deployment) start(m *machine) {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	c := exec.Command(filepath.Join(d.root, "target/fescuepointd"))
	c.Dir, c.Stdout, c.Stderr = d.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FESCUEPOINT_CONFIG=" + m.settings}
	if err := c.Start(); err != nil {
		cannotRun("%v", err)
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = c, ended
	m.mu.Unlock()
	note("%s started", m.name)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// startAll starts all daemons and waits until they are ready.
func (d *deployment) startAll() {
	for _, m := range d.machines {
		d.start(m)
	}
	for _, m := range d.machines {
		d.awaitReady(m)
	}
}

func (d *deployment) awaitReady(m *machine) {
	for end := time.Now().Add(10 * time.Second); !m.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			data, _ := os.ReadFile(m.log)
			cannotRun("%s is not ready: %s", m.name, lastLines(string(data)))
		}
	}
}

func lastLines(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(len(lines)-6, 0):], "\n")
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + m.ip + ":8789/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// pid returns the process ID of the daemon, 0 if it does not run.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return 0
	}
	select {
	case <-m.ended:
		return 0
	default:
		return m.command.Process.Pid
	}
}

// kill ends the daemon at once and waits for its end.
func (m *machine) kill() {
	if m.pid() == 0 {
		return
	}
	_ = m.command.Process.Kill()
	<-m.ended
	note("%s killed", m.name)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "app.example", "prefix": prefix, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 200,
		"priority": 1, "service": service, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// limits are those of the configuration, as the platform's example has them.
var limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false}
}
