package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/platform/fpadapter"
)

// serveGateway runs a host on the users' platform until a signal asks it to stop.
func serveGateway(s fpgateway.Settings) error {
	queue := fplog.NewQueue(os.Stdout)
	g := fpgateway.New(s, fpgateway.Parts{
		Store:   fpadapter.NewStore(s.Store),
		Dialect: fpadapter.Dialect{},
		Clock:   fpclock.Boot,
		Log:     queue,
	})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return g.Run(ctx)
}
