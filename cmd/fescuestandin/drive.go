package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpload"
	"github.com/fescuepoint/fescuepoint/internal/fpreport"
	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/platform/fploss"
)

type (
	loadCommand struct {
		Workload string        `arg:"" help:"tinggi-selamat or roostwell."`
		Callers  []string      `help:"Callers' addresses of the entry hosts." default:"http://127.0.0.1:8080"`
		TeamKeys []string      `help:"Keys of the teams, the largest first." required:""`
		Model    string        `help:"Model." default:"tutor"`
		Duration time.Duration `help:"Duration of the measurement." default:"30s"`
		Warm     time.Duration `help:"Duration of the warmup before it." default:"10s"`
		Rate     float64       `help:"Requests a second; 0 takes the workload's."`
		Seed     uint64        `help:"Seed of the requests." default:"1"`
		Service  string        `help:"Service that gets non-idempotent calls beside the prompts."`
		Path     string        `help:"Path of these calls." default:"/certificate"`
		Share    float64       `help:"Calls for each prompt." default:"0.02"`
		Output   string        `help:"Format of the report." enum:"text,json" default:"text"`
	}

	lossCommand struct {
		File string `arg:"" help:"Report of a benchmark run." type:"existingfile"`
	}

	reportCommand struct {
		Folder string   `help:"Folder for the plots." default:"report"`
		Seeds  []uint64 `help:"Seeds." default:"1,2"`
	}
)

// Run sends the workload to the entry hosts and prints the callers' measurements.
func (c *loadCommand) Run(ctx context.Context) error {
	shape, err := fpworkload.ShapeByName(c.Workload)
	if err != nil {
		return err
	}
	r := fpload.Run(ctx, fpload.Settings{
		Shape:             shape,
		Seed:              c.Seed,
		HostURLs:          c.Callers,
		TeamKeys:          c.TeamKeys,
		Model:             c.Model,
		Duration:          c.Duration,
		WarmUp:            c.Warm,
		RequestsPerSecond: c.Rate,
		CallService:       c.Service,
		CallPath:          c.Path,
		CallsPerPrompt:    c.Share,
	})
	if c.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Print(r)
	return nil
}

// Run simulates the placement experiment, prints its tables and writes its plots.
func (c *reportCommand) Run() error {
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	return fpreport.Write(os.Stdout, c.Folder, c.Seeds)
}

// Run prints by cause what reduced the score in a benchmark report.
func (c *lossCommand) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	r, err := fploss.Read(f)
	if err != nil {
		return err
	}
	return r.Print(os.Stdout)
}
