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

const (
	readyTimeout = 15 * time.Second
	// daemon is the command of the deploy file's role.
	daemon = "target/fescuepointd"
)

type (
	// host is one daemon in a process of its own.
	host struct {
		name, zone  string
		front       string
		ready       string
		settings    string
		logFile     string
		storeName   string
		command     *exec.Cmd
		exited      chan struct{}
		exitMessage string
		reserved    []net.Listener
	}

	// deployment describes the hosts of a case.
	deployment struct {
		zones     []string
		hosts     int
		limits    map[string]any
		bounds    map[string]any
		contracts []string
	}
)

func defaultBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
		"grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 6000,
		"strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52,
		"recovery_s": 12, "transit_ms": 400, "reuse_window_s": 10, "require_fencing": true, "lease_ms": 3000, "thaw_ms": 300,
		"version_ms": 12000, "version_all_ms": 17000,
	}
}

// network begins the loopback addresses of a run, so that two runs at a time don't take each other's ports.
var network = fmt.Sprintf("127.%d", 20+os.Getpid()%200)

// newHost prepares the settings of a host with an address of its own.
func newHost(s *store, d deployment, i int, folder string) *host {
	zone := d.zones[i%len(d.zones)]
	ip := fmt.Sprintf("%s.%d.%d", network, i%len(d.zones)+1, i/len(d.zones)+10)
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i/len(d.zones)+1), zone: zone}
	h.storeName = h.name
	storeAddress := s.Listen(h.storeName, ip)
	// All ports are chosen before the first is given back, so that they differ.
	free := func() int {
		l := mustListen(ip)
		h.reserved = append(h.reserved, l)
		return l.Addr().(*net.TCPAddr).Port
	}
	h.front, h.ready = fmt.Sprintf("%s:%d", ip, free()), fmt.Sprintf("%s:%d", ip, free())
	peer, control := free(), free()
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "region-" + z
	}
	settings := map[string]any{
		"node_name": h.name, "role": "router", "machine_class": "edge", "serving_classes": []string{"edge", "control_plane"},
		"ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
		"listen":     map[string]any{"front": h.front, "ready": h.ready, "control": fmt.Sprintf("%s:%d", ip, control)},
		"port_range": []int{peer, peer + 15}, "seed_addrs": []string{}, "bootstrap": true, "loss_counts": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery_mode": "platform", "entry_mode": "vip", "heartbeat_ms": 1200,
		"active_contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"fault_tolerance":  map[string]any{"node_losses": 1, "zones": 0, "region_losses": 0},
		"contract_bounds":  defaultBounds(),
		"platform": map[string]any{"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	h.settings, h.logFile = filepath.Join(folder, h.name+".json"), filepath.Join(folder, h.name+".log")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		fail(err)
	}
	return h
}

// start starts the daemon with the command of the deploy file.
func (h *host) start() {
	c := exec.Command(daemon)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FESCUEPOINT_CONFIG=" + h.settings}
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail(err)
	}
	h.command, h.exited = c, make(chan struct{})
	go func(done chan struct{}) {
		err := c.Wait()
		_ = out.Close()
		h.exitMessage = fmt.Sprint(err)
		close(done)
	}(h.exited)
	processes.add(c.Process)
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (h *host) signal(s os.Signal) { _ = h.command.Process.Signal(s) }

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// logLines returns the daemon's lines with a text.
func (h *host) logLines(text string) []string {
	data, _ := os.ReadFile(h.logFile)
	var out []string
	for _, l := range strings.Split(string(data), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return out
}

// startAll starts the hosts and waits until they say that they are ready.
func startAll(hosts []*host) {
	for _, h := range hosts {
		for _, l := range h.reserved {
			_ = l.Close()
		}
		h.reserved = nil
	}
	for _, h := range hosts {
		h.start()
	}
	deadline := time.Now().Add(readyTimeout)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				data, _ := os.ReadFile(h.logFile)
				fail(fmt.Errorf("%s is not ready (running: %v): %.2000s", h.name, h.running(), data))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
