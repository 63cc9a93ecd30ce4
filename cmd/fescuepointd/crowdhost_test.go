package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	crowdHostMemoryMB    = 256
	crowdHostHeaderBytes = 64 << 10
	crowdHostBodyBytes   = 16 << 20
)

// startCrowdHost starts the host with its own interface and default limits, and waits until it serves.
func (d *deployment) startCrowdHost(t *testing.T) *crowdHost {
	t.Helper()
	text := fmt.Sprintf("[Host]\nName = entry\nAvailabilityZone = klang-a\n[Callers]\nAddress = %s\n[Peers]\nAddress = %s\nSecretFile = %s\n"+
		"[Operators]\nAddress = %s\nOperatorKeys = %s\n[Platform]\nAddress = %s\n[Placement]\nPoll = 100ms\n[Stop]\nNotice = 100ms\n",
		d.addressOf("callers-0"), d.addressOf("peers-0"), filepath.Join(d.dir, "secret"), d.addressOf("operators-0"), filepath.Join(d.dir, "operators"), d.addressOf("platform"))
	file := filepath.Join(d.dir, "entry.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h := startCrowdHost(t, filepath.Join(d.dir, "fescuepointd"), "--settings", file)
	h.memoryBytes, h.descriptors = crowdHostMemoryMB<<20, crowdDescriptors
	h.ask = func() bool {
		return ask(d.addressOf("callers-0"), "POST /services/booking/roster HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer team-key\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
	}
	return h
}

// configureCrowdHost gives the deployment a team and an idempotent call.
func (d *deployment) configureCrowdHost(t *testing.T) {
	t.Helper()
	type object map[string]any
	data, err := json.Marshal(object{"Set": object{
		"Teams":     []object{{"Name": "training", "KeySHA256": sha256Hex("team-key")}},
		"Services":  []object{{"Name": "booking", "Calls": []object{{"Path": "/roster", "Idempotent": true}}}},
		"Upstreams": []object{{"Name": "booking", "Kind": "Service", "Address": d.addressOf("booking"), "AvailabilityZone": "klang-a", "Service": "booking"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(d.dir, "patch.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	d.await("the configuration", func() bool { _, code := d.runCommand(0, "patch", file, "--wait"); return code == 0 })
}

// TestCrowdHost checks that a host with its own interface bears crowds of clients that don't behave, within its memory
// and descriptors, and that it serves an ordinary request beside them.
func TestCrowdHost(t *testing.T) {
	d := prepareDeployment(t)
	d.startProcess("platform", "fescuestandin", "platform", "--address", d.addressOf("platform"))
	d.startProcess("booking", "fescuestandin", "service", "--address", d.addressOf("booking"), "--name", "booking")
	configured := false
	lines := map[string]string{
		"callers":   "POST /services/booking/roster HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer team-key\r\n",
		"peers":     "POST /fppeerv1.Peer/Patches HTTP/1.1\r\nHost: entry\r\nContent-Type: application/proto\r\n",
		"operators": "POST /patch HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer operator-key\r\n",
	}
	for listener, line := range lines {
		for name, c := range crowds(line, crowdHostHeaderBytes, crowdHostBodyBytes) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				h := d.startCrowdHost(t)
				if !configured {
					d.configureCrowdHost(t)
					configured = true
				}
				awaitServed(t, h)
				h.bear(d.addressOf(listener+"-0"), c)
			})
		}
	}
}
