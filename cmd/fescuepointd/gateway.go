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
	// settingsCheckInterval is the time between checks whether the settings file has changed.
	settingsCheckInterval = time.Second
)

// runGatewayHost runs a gateway host, which uses the platform of package fpadapter, until SIGTERM
// or SIGINT.
func runGatewayHost(file string, s fpgateway.Settings) error {
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

// watchSettings reads the settings again on SIGHUP and when the file has changed, and sends them to
// reloads.
func watchSettings(ctx context.Context, file string, reloads chan<- fpgateway.SettingsReload) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	lastModified := modifiedAt(file)
	for {
		select {
		case <-hangups:
		case <-t.C:
			if modified := modifiedAt(file); modified.Equal(lastModified) {
				continue
			}
		case <-ctx.Done():
			return
		}
		lastModified = modifiedAt(file)
		s, err := fpadapter.ReadSettings(file)
		select {
		case reloads <- fpgateway.SettingsReload{Settings: s, Err: err}:
		case <-ctx.Done():
			return
		}
	}
}

// modifiedAt returns the modification time of a file, or the zero time if it can't be read.
func modifiedAt(file string) time.Time {
	i, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
