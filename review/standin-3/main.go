// Command standin-3 plays the cases of the third review: it starts daemons as separate processes on loopback
// addresses before stand-ins of the store, replicas and clients, which follow the users' pages.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	held       = 0
	broken     = 1
	couldntRun = 2
	// longestRun ends a run that hangs.
	longestRun = 115 * time.Second
)

type (
	processList struct {
		mu   sync.Mutex
		list []*os.Process
	}

	recorder struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

var (
	processes processList
	record    recorder
	trouble   = os.Getenv("TROUBLE") != "0"
	quietLog  = log.New(io.Discard, "", 0)
	scratch   string

	cases = map[string]func() bool{"spoilt": playSpoilt, "poison": playPoison, "parts": playParts, "takeup": playTakeUp, "query": playQuery}
)

func (p *processList) add(x *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, x)
}

// end ends all processes that were started.
func (p *processList) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		_ = x.Signal(syscall.SIGCONT)
		_ = x.Kill()
	}
	p.list = nil
}

// say writes a line to the record with the time since the start.
func (r *recorder) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func say(format string, args ...any) { record.say(format, args...) }

func fail(err error) {
	say("the case could not run: %v", err)
	exit(couldntRun)
}

func exit(code int) {
	processes.end()
	if scratch != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(scratch)
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(couldntRun)
	}
	var err error
	if record.file, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	record.start = time.Now()
	if scratch, err = os.MkdirTemp("", "review-3-"); err != nil {
		fail(err)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(scratch)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			fail(fmt.Errorf("interrupted"))
		case <-time.After(longestRun):
			fail(fmt.Errorf("it takes too long"))
		}
	}()
	say("case %s, disruption %v", os.Args[1], trouble)
	if cases[os.Args[1]]() {
		say("verdict: the rule was broken")
		fmt.Println("broken")
		exit(broken)
	}
	say("verdict: the rule held")
	fmt.Println("held")
	exit(held)
}
