// Command fescuepoint is the command line client for operators and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4

	description = `Command line client of fescuepoint for operators and callers.

Exit codes: 0 success, 1 failure, 2 usage error, 3 refused: the change is in
force on no host or the request was not run, 4 outcome unknown: check the state
before you repeat the command.

Examples:
  fescuepoint patch change.json --wait
  fescuepoint config show
  fescuepoint explain 4711
  fescuepoint ask --caller http://127.0.0.1:8080 --team-key secret tutor "What is a lanyard?"`
)

type (
	arguments struct {
		Operators string `help:"Address of a host's operators' interface." default:"http://127.0.0.1:9000" env:"FESCUEPOINT_OPERATORS"`
		Key       string `help:"The operator's key." env:"FESCUEPOINT_KEY"`
		Output    string `help:"Output format." enum:"text,json" default:"text"`

		Patch     patchCommand     `cmd:"" help:"Change the configuration by one version."`
		Config    configCommand    `cmd:"" help:"Show, check or compare configurations."`
		Status    statusCommand    `cmd:"" help:"Describe the asked host."`
		Hosts     hostsCommand     `cmd:"" help:"List the entry hosts as the asked host sees them."`
		Upstreams upstreamsCommand `cmd:"" help:"List the upstreams as the asked host sees them."`
		Explain   explainCommand   `cmd:"" help:"Show what the fleet decided about a request, and why."`
		Drain     drainCommand     `cmd:"" help:"Begin a planned stop of the asked host."`
		Order     orderCommand     `cmd:"" help:"Set a model's weights version by a patch."`
		Ask       askCommand       `cmd:"" help:"Send a prompt as a caller."`
		Call      callCommand      `cmd:"" help:"Call a plain service as a caller."`
	}

	// session holds the context, the operators' client and the output format of a command.
	session struct {
		ctx    context.Context
		client *fpoperator.Client
		json   bool
	}
)

var (
	errRefused = errors.New("refused")
	errUnknown = errors.New("the outcome is not known")
)

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("fescuepoint"), kong.Description(description), kong.UsageOnError())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	s := &session{ctx: ctx, client: fpoperator.NewClient(a.Operators, a.Key), json: a.Output == "json"}
	if err := k.Run(s); err != nil {
		fmt.Fprintln(os.Stderr, "fescuepoint:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errRefused):
		return exitRefused
	case errors.Is(err, errUnknown):
		return exitUnknown
	default:
		return exitFailed
	}
}

// printOutput writes v as indented JSON if that is the output format, otherwise it calls printText.
func (s *session) printOutput(v any, printText func()) error {
	if !s.json {
		printText()
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
