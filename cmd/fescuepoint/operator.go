package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpoperator"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	// maxPatchAttempts bounds how often a patch is sent if the response is lost or the outcome unknown.
	maxPatchAttempts = 3
	patchRetryDelay  = 300 * time.Millisecond
)

type (
	patchCommand struct {
		File string `arg:"" help:"JSON file with the patch; - reads standard input. Without a Base the current version is used, without an ID a new one is made."`
		Wait bool   `help:"Wait until every host that can be asked has it in force, and list them."`
	}

	configCommand struct {
		Show    showCommand    `cmd:"" help:"Print the configuration in force."`
		History historyCommand `cmd:"" help:"List the latest patches."`
		Check   checkCommand   `cmd:"" help:"Check a patch against the configuration in force without sending it."`
		Diff    diffCommand    `cmd:"" help:"Print what a patch would change."`
	}

	showCommand    struct{}
	historyCommand struct{}

	checkCommand struct {
		File string `arg:"" help:"JSON file with the patch; - reads standard input."`
	}

	diffCommand struct {
		File string `arg:"" help:"JSON file with the patch; - reads standard input."`
	}

	statusCommand    struct{}
	hostsCommand     struct{}
	upstreamsCommand struct{}
	drainCommand     struct{}

	explainCommand struct {
		ID string `arg:"" help:"Request ID, or config-N, or order-UPSTREAM."`
	}

	orderCommand struct {
		Model   string `arg:"" help:"Model."`
		Weights string `arg:"" help:"Weights version that its replicas should load."`
		Wait    bool   `help:"Wait until every host that can be asked has it in force."`
	}
)

// Run sends the patch. All attempts have the same ID so that the patch is applied at most once.
func (c *patchCommand) Run(s *session) error {
	p, err := readPatch(c.File)
	if err != nil {
		return err
	}
	return s.sendPatch(p, c.Wait)
}

// Run sends a patch that sets the model's weights version.
func (c *orderCommand) Run(s *session) error {
	a, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	m, ok := a.Current.Document.Model(c.Model)
	if !ok {
		return errors.Wrapf(errRefused, "model %q is not declared", c.Model)
	}
	m.Weights = c.Weights
	return s.sendPatch(fpconfig.Patch{Base: a.Current.Version, Set: fpconfig.Document{Models: []fpconfig.Model{m}}}, c.Wait)
}

// sendPatch fills in a missing base version and ID, sends the patch until its outcome is known, at
// most maxPatchAttempts times, and prints the result.
func (s *session) sendPatch(p fpconfig.Patch, wait bool) error {
	if p.Base == 0 {
		a, err := s.client.Config(s.ctx)
		if err != nil {
			return err
		}
		p.Base = a.Current.Version
	}
	if p.ID == "" {
		p.ID = rand.Text()
	}
	var r fpoperator.PatchResult
	var err error
	for range maxPatchAttempts {
		r, err = s.client.SubmitPatch(s.ctx, p, wait)
		if s.ctx.Err() != nil || err == nil && r.Result != fpoperator.OutcomeUnknown || errors.Is(err, fpoperator.ErrKeyRejected) {
			break
		}
		time.Sleep(patchRetryDelay)
	}
	if errors.Is(err, fpoperator.ErrKeyRejected) {
		return errors.Mark(err, errRefused)
	}
	if err != nil {
		return errors.Wrapf(errUnknown, "patch %s: %v", p.ID, err)
	}
	return s.printPatchResult(r)
}

func (s *session) printPatchResult(r fpoperator.PatchResult) error {
	err := s.printOutput(r, func() {
		fmt.Printf("%s: patch %s", r.Result, r.ID)
		if r.Version > 0 {
			fmt.Printf(" is version %d", r.Version)
		}
		fmt.Println()
		for _, h := range r.Hosts {
			printHostVersion(h, r.Version)
		}
	})
	switch {
	case err != nil:
		return err
	case r.Result == fpoperator.Refused:
		return errors.Wrapf(errRefused, "%s (current version %d)", r.Reason, r.Current)
	case r.Result == fpoperator.OutcomeUnknown:
		return errors.Wrapf(errUnknown, "patch %s: %s", r.ID, r.Reason)
	}
	return nil
}

func printHostVersion(h fpoperator.HostVersion, version uint64) {
	switch {
	case !h.Reachable:
		fmt.Printf("  %-16s %-12s unreachable\n", h.Host, h.AvailabilityZone)
	case h.Version >= version:
		fmt.Printf("  %-16s %-12s in force\n", h.Host, h.AvailabilityZone)
	default:
		fmt.Printf("  %-16s %-12s still at version %d\n", h.Host, h.AvailabilityZone, h.Version)
	}
}

func readPatch(file string) (fpconfig.Patch, error) {
	var r io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return fpconfig.Patch{}, err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var p fpconfig.Patch
	err := d.Decode(&p)
	return p, errors.Wrap(err, "decode patch")
}

// Run prints the configuration in force.
func (*showCommand) Run(s *session) error {
	a, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(a.Current, func() {
		fmt.Printf("version %d\n", a.Current.Version)
		data, _ := json.MarshalIndent(a.Current.Document, "", "  ")
		fmt.Println(string(data))
	})
}

// Run lists the latest patches.
func (*historyCommand) Run(s *session) error {
	a, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(a.Recent, func() {
		for _, p := range a.Recent {
			fmt.Printf("%6d  %-28s %s\n", p.Version(), p.ID, p.Author)
		}
	})
}

// applyToCurrent applies the patch of a file to a copy of the configuration in force.
func (s *session) applyToCurrent(file string) (before, after fpconfig.Versioned, err error) {
	p, err := readPatch(file)
	if err != nil {
		return before, after, err
	}
	a, err := s.client.Config(s.ctx)
	if err != nil {
		return before, after, err
	}
	if p.Base == 0 {
		p.Base = a.Current.Version
	}
	after, err = a.Current.Apply(p)
	return a.Current, after, errors.Mark(err, errRefused)
}

// Run checks the patch against the configuration in force without sending it.
func (c *checkCommand) Run(s *session) error {
	_, after, err := s.applyToCurrent(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("valid: would become version %d\n", after.Version)
	return nil
}

// Run prints the lines of the configuration that the patch removes and adds.
func (c *diffCommand) Run(s *session) error {
	before, after, err := s.applyToCurrent(c.File)
	if err != nil {
		return err
	}
	a, _ := json.MarshalIndent(before.Document, "", "  ")
	b, _ := json.MarshalIndent(after.Document, "", "  ")
	printDiff(strings.Split(string(a), "\n"), strings.Split(string(b), "\n"))
	return nil
}

// printDiff prints the lines of a as removed and those of b as added, without the lines that a and b
// share at their start and end.
func printDiff(a, b []string) {
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	for _, l := range a[prefix : len(a)-suffix] {
		fmt.Println("-", l)
	}
	for _, l := range b[prefix : len(b)-suffix] {
		fmt.Println("+", l)
	}
}

// Run prints the host's status.
func (*statusCommand) Run(s *session) error {
	v, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(v, func() {
		fmt.Printf("%s in %s: version %d, ready %t, draining %t, %d requests under way\n",
			v.Host, v.AvailabilityZone, v.ConfigVersion, v.Ready, v.Draining, v.Running)
		for _, n := range v.Notes {
			fmt.Println("note:", n)
		}
	})
}

// Run lists the hosts.
func (*hostsCommand) Run(s *session) error {
	v, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(v.Members, func() {
		fmt.Printf("%-16s %-12s %-22s %-9s %s\n", v.Host, v.AvailabilityZone, "(asked)", "alive", "version "+fmt.Sprint(v.ConfigVersion))
		for _, m := range v.Members {
			fmt.Printf("%-16s %-12s %-22s %-9s version %d\n", m.Name, m.AvailabilityZone, m.Address, m.State, m.ConfigVersion)
		}
	})
}

// Run lists the upstreams.
func (*upstreamsCommand) Run(s *session) error {
	v, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(v.Upstreams, func() {
		for _, u := range v.Upstreams {
			fmt.Printf("%-16s %-10s %-12s reachable %-5t leaving %-5t weights %-8s queued %d, running %d\n",
				u.Name, u.Kind, u.AvailabilityZone, u.Reachable, u.Leaving, u.Weights, u.QueuedTokens, u.Running)
		}
	})
}

// Run begins a planned stop.
func (*drainCommand) Run(s *session) error {
	v, err := s.client.Drain(s.ctx)
	if err != nil {
		return err
	}
	return s.printOutput(v, func() { fmt.Printf("%s stops; %d requests under way\n", v.Host, v.Running) })
}

// Run prints the fleet's records of a request.
func (c *explainCommand) Run(s *session) error {
	e, err := s.client.Explain(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.printOutput(e, func() {
		if len(e.Records) == 0 {
			fmt.Println("no host has a record of", c.ID)
		}
		for _, r := range e.Records {
			fmt.Println(r)
		}
		for _, m := range e.Missing {
			fmt.Println("no answer from", m)
		}
	})
}
