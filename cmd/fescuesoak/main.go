// Command fescuesoak runs the daemon under seeded faults and checks its guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fescuepoint/fescuepoint/platform/fpsoak"
)

type arguments struct {
	Daemon  string        `help:"The daemon's program." default:"bin/fescuepointd" type:"path"`
	Former  string        `help:"The daemon's program that hosts start with, to play an upgrade." type:"path"`
	Folder  string        `help:"Folder for settings and logs, with a subfolder for each seed." default:"run/soak" type:"path"`
	First   uint64        `help:"First seed; 0 derives one from the clock." default:"1"`
	Seeds   int           `help:"Number of seeds." default:"1"`
	Beside  int           `help:"Seeds that run at the same time." default:"1"`
	Hosts   int           `help:"Hosts, each a process of its own." default:"3"`
	Callers int           `help:"Callers." default:"8"`
	Crowd   int           `help:"Clients in each of the crowds that don't behave; 0 for none."`
	Faults  time.Duration `help:"How long faults are injected." default:"8s"`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("fescuesoak"), kong.Description("Runs the daemon under seeded faults and checks its guarantees."))
	if a.First == 0 {
		a.First = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed := a.runSeeds()
	fmt.Printf("%d passed, %d failed\n", a.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeeds runs all seeds, Beside of them at a time, and returns the number that failed.
func (a arguments) runSeeds() int {
	var workers sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	seeds := make(chan uint64)
	for range max(a.Beside, 1) {
		workers.Go(func() {
			for seed := range seeds {
				ok := a.runSeed(seed)
				mu.Lock()
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range a.Seeds {
		seeds <- a.First + uint64(i)
	}
	close(seeds)
	workers.Wait()
	return failed
}

// runSeed runs one seed, prints its result and reports whether it passed.
func (a arguments) runSeed(seed uint64) bool {
	folder := filepath.Join(a.Folder, fmt.Sprint(seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := fpsoak.Run(context.Background(), fpsoak.Options{
		Seed: seed, DaemonPath: a.Daemon, FormerDaemonPath: a.Former, Folder: folder, Hosts: a.Hosts, Callers: a.Callers, FaultDuration: a.Faults, CrowdClients: a.Crowd,
	})
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d attempts, %d served, %d runs, %d guarantees violated\n", r.Seed, r.Attempts, r.Served, r.Runs, len(r.Violations))
	for host, n := range r.PeakBytes {
		fmt.Printf("seed %d: host %s took at most %d MB\n", r.Seed, host, n>>20)
	}
	for _, b := range r.Violations {
		fmt.Printf("seed %d: %s\n", seed, b)
	}
	return len(r.Violations) == 0
}
