// Command fescuepointd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"github.com/fescuepoint/fescuepoint/internal/fphost"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/platform/fpadapter"
)

const (
	exitInvalidSettings = 2
)

type (
	arguments struct {
		Settings string `help:"INI file with this host's settings." type:"path" short:"s"`
		Platform string `help:"JSON settings file of a gateway host, in place of an INI file." type:"path" env:"FESCUEPOINT_CONFIG"`
		Check    bool   `help:"Check the settings, list every error and exit."`
		Document bool   `help:"Print the table of all settings and exit."`
	}
)

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("fescuepointd"), kong.Description("Routes language-model requests to upstreams."))
	if a.Document {
		fmt.Print(fpsetting.MarkdownReference())
		return
	}
	if a.Settings == "" && a.Platform != "" {
		startGateway(a.Platform, a.Check)
		return
	}
	s, err := fpsetting.Read(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if a.Check {
		fmt.Println("the settings are valid")
		return
	}
	if err := runHost(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// startGateway runs a gateway host with a JSON settings file, or only checks the file if check is
// set.
func startGateway(file string, check bool) {
	s, err := fpadapter.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if check {
		fmt.Println("the settings are valid")
		return
	}
	if err := runGatewayHost(file, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runHost runs the host until SIGTERM or SIGINT, then stops it gracefully. Each further signal logs
// the requests that are still running.
func runHost(s fpsetting.Settings) error {
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stdout)), "Time", log.DefaultTimestampUTC)
	h, err := fphost.New(s, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			if ctx.Err() != nil {
				_ = logger.Log("Message", "signal ignored: waiting for running requests", "Host", s.Host.Name, "Under way", h.RunningSummary())
			}
			cancel()
		}
	}()
	err = h.Run(ctx)
	_ = logger.Log("Message", "stopped", "Host", s.Host.Name)
	return err
}
