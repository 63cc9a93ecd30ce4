package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type (
	// host is one process of the daemon under test.
	host struct {
		name, zone, dir string
		settings        map[string]any
		front, ready    string
		cmd             *exec.Cmd
		exited          chan struct{}
	}
)

// regions are the regions of the zones of roostwell-prod.
var regions = map[string]string{"delta-a": "delta-south", "sandmtn-a": "sand-mountain", "ngeorgia-a": "north-georgia"}

// ipOf returns a loopback address of its own for each host, since all hosts use the same ports.
func ipOf(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, n+1)
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// newHosts returns one host for each zone named; the settings are those of roostwell-prod.
func newHosts(dir string, s *store, zones ...string) []*host {
	var out []*host
	var ips, seeds []string
	for n := range zones {
		ips = append(ips, ipOf(n))
	}
	front, ready, control, peer := freePort(ips[0]), freePort(ips[0]), freePort(ips[0]), freePort(ips[0])
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, control))
	}
	for n, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, dir: dir}
		h.front, h.ready = fmt.Sprintf("%s:%d", ips[n], front), fmt.Sprintf("%s:%d", ips[n], ready)
		h.settings = map[string]any{
			"node_name": h.name, "role": "router", "machine_class": "edge", "serving_classes": []string{"edge", "control_plane"},
			"ip": ips[n], "zone": zone, "region": regions[zone], "zones": regions,
			"listen":     map[string]string{"front": h.front, "ready": h.ready, "control": fmt.Sprintf("%s:%d", ips[n], control)},
			"port_range": []int{peer, peer + 15}, "seed_addrs": seeds, "bootstrap": true, "loss_counts": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery_mode": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
			"active_contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
			"fault_tolerance":  map[string]int{"node_losses": 1, "zones": 0, "region_losses": 0},
			"contract_bounds": map[string]any{
				"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000, "grace_period_s": 8,
				"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 6000, "strict_revoke": true, "revoke_ms": 5000,
				"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "recovery_s": 12, "transit_ms": 400, "reuse_window_s": 10,
				"require_fencing": true, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 12000, "version_all_ms": 17000,
			},
			"platform": map[string]any{
				"address": s.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
			},
		}
		out = append(out, h)
	}
	return out
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	file := filepath.Join(h.dir, h.name+".json")
	data, err := json.MarshalIndent(h.settings, "", "  ")
	check(err)
	check(os.WriteFile(file, data, 0o600))
	h.cmd = exec.Command(deployCommand())
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FESCUEPOINT_CONFIG=" + file}
	logFile, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	check(h.cmd.Start())
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(h.cmd, h.exited)
}

// deployCommand returns the word of run in the deploy file.
func deployCommand() string {
	data, err := os.ReadFile("deploy/system.toml")
	check(err)
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(v, "\" ")
		}
	}
	return "target/fescuepointd"
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// stop ends the process and waits for it.
func (h *host) stop() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// awaitReady waits until the hosts are ready; the case can't run if they don't get so.
func awaitReady(hosts []*host) {
	until := time.Now().Add(15 * time.Second)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				cannotRun("host %s does not get ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// rssMB returns the resident memory of the process.
func (h *host) rssMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(v, &kb)
			return kb / 1024
		}
	}
	return 0
}
