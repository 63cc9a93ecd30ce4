// Command fescuestandin simulates the external systems, each as a process of its own, and sends
// workloads to entry hosts.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
)

type (
	arguments struct {
		Platform    platformCommand    `cmd:"" help:"The platform's key-value service."`
		HostList    hostListCommand    `cmd:"" help:"The platform's lagging list of hosts."`
		Engine      engineCommand      `cmd:"" help:"A model engine."`
		Service     serviceCommand     `cmd:"" help:"A plain service."`
		WeightStore weightStoreCommand `cmd:"" help:"The weight store."`
		CacheStore  cacheStoreCommand  `cmd:"" help:"The store of exported cache blocks."`
		Load        loadCommand        `cmd:"" help:"Send a workload to entry hosts and report the callers' measurements."`
		Loss        lossCommand        `cmd:"" help:"Print by cause what reduced the score in a benchmark report."`
		Report      reportCommand      `cmd:"" help:"Simulate the placement experiment; print its tables and write its plots."`
	}

	listenFlags struct {
		Address string `help:"IP number and port to listen on." required:""`
	}

	platformCommand struct {
		listenFlags
	}

	hostListCommand struct {
		listenFlags
		Lag time.Duration `help:"Time until changes are seen." default:"5s"`
	}

	engineCommand struct {
		listenFlags
		Name            string        `help:"Name." required:""`
		Model           string        `help:"Model that it serves." required:""`
		Weights         string        `help:"Weights version that it starts with." default:"1"`
		SoftwareVersion string        `help:"Software version that it tells in reports and answers."`
		ChecksFencing   bool          `help:"Refuse orders with an old fencing token."`
		WeightStore     string        `help:"Address of the weight store."`
		PrefillRate     float64       `help:"Prompt tokens computed a second." default:"20000"`
		CacheBlocks     int           `help:"Blocks of a thousand tokens that fit the cache." default:"200"`
		TokenInterval   time.Duration `help:"Time between tokens." default:"12ms"`
		EventLoss       float64       `help:"Share of cache events that are lost."`
		EventLag        time.Duration `help:"How late cache events can be read."`
		ReportLag       time.Duration `help:"How old load reports are."`
		CacheStore      string        `help:"Address of the store that cache blocks are exported to."`
	}

	serviceCommand struct {
		listenFlags
		Name string        `help:"Name." required:""`
		Work time.Duration `help:"Time that a call takes." default:"20ms"`
	}

	weightStoreCommand struct {
		listenFlags
		Work time.Duration `help:"Time that a load takes." default:"2s"`
	}

	cacheStoreCommand struct {
		listenFlags
	}
)

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("fescuestandin"), kong.Description("Simulates the external systems of fescuepoint."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fescuestandin:", err)
		os.Exit(1)
	}
}

// serve listens on the address and serves HTTP requests until the context ends.
func (f listenFlags) serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", f.Address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Run serves a simulated key-value service of the platform.
func (c *platformCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewPlatform().Handler())
}

// Run serves a simulated list of hosts.
func (c *hostListCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewHostList(c.Lag).Handler())
}

// Run serves a simulated engine.
func (c *engineCommand) Run(ctx context.Context) error {
	e := fpstandin.NewEngine(fpstandin.EngineSettings{
		Name:               c.Name,
		Model:              c.Model,
		Weights:            c.Weights,
		SoftwareVersion:    c.SoftwareVersion,
		ChecksFencing:      c.ChecksFencing,
		WeightStoreAddress: c.WeightStore,
		EventLossRatio:     c.EventLoss,
		EventLag:           c.EventLag,
		ReportLag:          c.ReportLag,
		CacheStoreAddress:  c.CacheStore,
		Capacity: fpengine.Settings{
			PrefillTokensPerSecond: c.PrefillRate,
			CacheCapacityBlocks:    c.CacheBlocks,
			TokenInterval:          c.TokenInterval,
		},
	})
	go func() { _ = e.Run(ctx) }()
	return c.serve(ctx, e.Handler())
}

// Run serves a simulated plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewService(c.Name, c.Work).Handler())
}

// Run serves a simulated weight store.
func (c *weightStoreCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewWeightStore(c.Work).Handler())
}

// Run serves a simulated cache store.
func (c *cacheStoreCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewCacheStore().Handler())
}
