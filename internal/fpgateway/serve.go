package fpgateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// headerTimeout and idleTimeout hold until the configuration names its own:
	// these are above the users' limits (3 s and 15 s), so that no caller that
	// keeps to those is cut.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// maxHeaderBytes is what the server reads of a header at most; the
	// configuration's lower limit is checked for each request.
	maxHeaderBytes = 64 << 10
	// stopMargin is left between the last request's end and the end of the grace period.
	stopMargin = 500 * time.Millisecond
)

type (
	// server is an HTTP server with its address.
	server struct {
		gateway *Gateway
		http    *http.Server
		// optional servers that can't listen don't end the host.
		optional bool
	}
)

func (g *Gateway) newServer(address string, h http.Handler) *server {
	return &server{gateway: g, http: &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// serve listens and serves; after a planned stop it waits for the run group to end.
func (s *server) serve() error {
	l, err := net.Listen("tcp", s.http.Addr)
	if err != nil && s.optional {
		s.gateway.log("not listening", "Address", s.http.Addr, "Error", err.Error())
		<-s.gateway.stopped
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	err = s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.gateway.stopped
		return nil
	}
	return errors.Wrap(err, "serve")
}

// close drops what is still open.
func (s *server) close() { _ = s.http.Close() }

func (g *Gateway) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

func (g *Gateway) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.metrics.Write(w) })
	return m
}

// waitForStop waits for a planned stop and sees it through: the balancer is
// given time to notice while requests are still served, then the connections
// are closed as they fall idle, and those under way end whole.
func (g *Gateway) waitForStop(ctx, inner context.Context, callers *server) error {
	<-ctx.Done()
	started := g.clock()
	g.draining.Store(true)
	g.log("stopping", "Running", g.running.Load(), "Grace", g.settings().Grace.String())
	fpclock.Sleep(inner, g.settings().Notice)
	left := g.settings().Grace - (g.clock() - started) - stopMargin
	stop, cancel := context.WithTimeout(inner, max(left, stopMargin))
	defer cancel()
	if err := callers.http.Shutdown(stop); err != nil {
		g.log("requests cut at the end of the grace period", "Running", g.running.Load(), "Error", err.Error())
	}
	g.log("stopped", "Took", (g.clock() - started).String())
	return nil
}
