// Command standin2 plays the cases of the second review: it starts the project's daemon as separate processes
// beside stand-ins of the platform's store, of replicas and of clients, and checks one rule.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun ends a case that hangs, within the 120 seconds that a script has.
const longestRun = 112 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	recordFile = file
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		cannotRun("ended before the case was over")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	switch os.Args[1] {
	case "configurations":
		playConfigurations(trouble)
	case "take-ups":
		playTakeUps(trouble)
	case "limit":
		playLimit(trouble)
	case "wall":
		playWall(trouble)
	case "brittle":
		playBrittle(trouble)
	case "silent-crashes":
		playSilentCrashes(trouble, os.Getenv("CRASH") == "reset", os.Getenv("QUERY") != "")
	case "low-limit":
		playLowLimit(trouble)
	default:
		cannotRun("no case %s", os.Args[1])
	}
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
