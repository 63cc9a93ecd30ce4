// Command fescuestandin plays the outside systems, each as a process of its
// own, and drives workloads against entry hosts.
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
		Load        loadCommand        `cmd:"" help:"Drive a workload against entry hosts and report what callers saw."`
		Loss        lossCommand        `cmd:"" help:"Tell by cause where a day on the users' bench lost its worth."`
		Report      reportCommand      `cmd:"" help:"Play the placement experiment in virtual time; print tables and draw plots."`
	}

	address struct {
		Address string `help:"IP number and port to listen on." required:""`
	}

	platformCommand struct {
		address
	}

	hostListCommand struct {
		address
		Lag time.Duration `help:"Time until changes are seen." default:"5s"`
	}

	engineCommand struct {
		address
		Name          string        `help:"Name." required:""`
		Model         string        `help:"Model that it serves." required:""`
		Weights       string        `help:"Weights version that it starts with." default:"1"`
		ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
		WeightStore   string        `help:"Address of the weight store."`
		PrefillRate   float64       `help:"Prompt tokens computed a second." default:"20000"`
		CacheBlocks   int           `help:"Blocks of a thousand tokens that fit the cache." default:"200"`
		TokenInterval time.Duration `help:"Time between tokens." default:"12ms"`
		EventLoss     float64       `help:"Share of cache events that are lost."`
		EventLag      time.Duration `help:"How late cache events can be read."`
		ReportLag     time.Duration `help:"How old load reports are."`
		CacheStore    string        `help:"Address of the store that cache blocks are exported to."`
	}

	serviceCommand struct {
		address
		Name string        `help:"Name." required:""`
		Work time.Duration `help:"Time that a call takes." default:"20ms"`
	}

	weightStoreCommand struct {
		address
		Work time.Duration `help:"Time that a load takes." default:"2s"`
	}

	cacheStoreCommand struct {
		address
	}
)

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("fescuestandin"), kong.Description("Plays the systems around fescuepoint."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fescuestandin:", err)
		os.Exit(1)
	}
}

// serve serves until the context ends.
func (a address) serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", a.Address)
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

// Run plays the platform's service.
func (c *platformCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewPlatform().Handler())
}

// Run plays the list of hosts.
func (c *hostListCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewHostList(c.Lag).Handler())
}

// Run plays an engine.
func (c *engineCommand) Run(ctx context.Context) error {
	e := fpstandin.NewEngine(fpstandin.EngineSettings{
		Name:               c.Name,
		Model:              c.Model,
		Weights:            c.Weights,
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

// Run plays a plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewService(c.Name, c.Work).Handler())
}

// Run plays the weight store.
func (c *weightStoreCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewWeightStore(c.Work).Handler())
}

// Run plays the cache store.
func (c *cacheStoreCommand) Run(ctx context.Context) error {
	return c.serve(ctx, fpstandin.NewCacheStore().Handler())
}
