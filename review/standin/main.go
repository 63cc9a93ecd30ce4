// Command standin runs one case of the review: stand-ins of the platform's store, of replicas and of clients, and
// the daemon under test as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

type (
	// record is what the case writes of what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		began time.Time
		runs  []run
	}

	run struct {
		at                                    time.Time
		id, replica, service, software, after string
	}

	// scenario runs one case and reports whether the rule held.
	scenario func(e *environment) bool

	environment struct {
		dir     string
		trouble bool
		record  *record
		hosts   []*host
	}
)

var (
	scenarios = map[string]scenario{}
	current   *environment
)

func newRecord(file string) *record {
	f, err := os.Create(file)
	check(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(id, replica, service, software, after string) {
	r.line("run       %s at %s (%s, software %s) after event %q", id, replica, service, software, after)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{at: time.Now(), id: id, replica: replica, service: service, software: software, after: after})
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	end(2)
}

// end ends all processes that the case started.
func end(code int) {
	if current != nil {
		for _, h := range current.hosts {
			if h.cmd != nil && h.cmd.Process != nil {
				_ = h.cmd.Process.Kill()
				<-h.exited
			}
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(current.dir)
		} else {
			fmt.Println("logs in", current.dir)
		}
	}
	os.Exit(code)
}

func main() {
	name := flag.String("case", "", "the case to run")
	out := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	check(err)
	current = &environment{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: newRecord(*out)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes too long") })
	if s(current) {
		current.record.line("the rule held")
		fmt.Println("the rule held")
		end(0)
	}
	current.record.line("the rule was broken")
	fmt.Println("the rule was broken")
	end(1)
}

// startHosts starts a host in each zone named and waits until they are ready.
func (e *environment) startHosts(s *store, zones ...string) {
	e.hosts = newHosts(e.dir, s, zones...)
	for _, h := range e.hosts {
		h.start()
	}
	awaitReady(e.hosts)
}

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMs, attempts int, resumable, sticky bool) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 400,
		"priority": 0, "service": service, "max_attempts": attempts, "public": false, "sticky": sticky, "resumable": resumable, "gap_target_ms": 200,
	}
}

// configuration returns the operator's configuration with routes.
func configuration(version int, routes ...any) map[string]any {
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slot_count": 64, "kv_capacity_tokens": 266200, "kv_token_bytes": 18432, "link_mbps": 370000.0, "max_concurrency": 12,
				"models": []any{map[string]any{"name": "m0"}},
			}},
			plain("old"), plain("new"),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api_keys": []string{"key-of-the-team"}, "priority": 1, "dedicated": false}},
	}
}
