package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/platform/fpadapter"
)

const (
	// settingsEvery is the pace of looking whether the settings file has changed.
	settingsEvery = time.Second
)

// serveGateway runs a host on the users' platform until a signal asks it to stop.
func serveGateway(file string, s fpgateway.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reloads := make(chan fpgateway.SettingsReload)
	go watchSettings(ctx, file, reloads)
	g := fpgateway.New(s, fpgateway.Dependencies{
		Store:   fpadapter.NewStore(s.StoreAddress),
		Dialect: fpadapter.Dialect{},
		Clock:   fpclock.SinceBoot,
		Log:     fplog.NewQueue(os.Stdout),
		Reloads: reloads,
	})
	return g.Run(ctx)
}

// watchSettings reads the settings anew at SIGHUP and when the file has changed.
func watchSettings(ctx context.Context, file string, reloads chan<- fpgateway.SettingsReload) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	last := changed(file)
	for {
		select {
		case <-hangups:
		case <-t.C:
			if now := changed(file); now.Equal(last) {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = changed(file)
		s, err := fpadapter.ReadSettings(file)
		select {
		case reloads <- fpgateway.SettingsReload{Settings: s, Err: err}:
		case <-ctx.Done():
			return
		}
	}
}

// changed returns when a file was last written; the zero time when it can't be told.
func changed(file string) time.Time {
	i, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
