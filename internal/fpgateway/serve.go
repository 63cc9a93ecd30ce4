package fpgateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

const (
	// headerTimeout and idleTimeout apply until the configuration sets its own. They are above
	// the platform's limits of 3 s and 15 s, so that no caller that keeps to those limits is cut
	// off.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// maxHeaderBytes bounds what the server reads of a header; the guard knows the configuration's lower limit.
	maxHeaderBytes = 64 << 10
	// maxOwnHeaderBytes bounds what a host adds to the header of a request that it forwards.
	maxOwnHeaderBytes = 1 << 10
	// stallTimeout is how long a client may stall in sending a request or reading an answer.
	stallTimeout = 30 * time.Second
	// shutdownMargin is the time kept between the end of the last request and the end of the
	// grace period.
	shutdownMargin = 500 * time.Millisecond
	// lastAnswersMargin is how long before that end the requests that are left get their last answers.
	lastAnswersMargin = 250 * time.Millisecond
	// A stopping host passes no request on in the last minTimeBeforeStop, or as many objectives of the route as
	// objectivesBeforeStop if that is longer.
	minTimeBeforeStop    = time.Second
	objectivesBeforeStop = 2
)

// errStopping ends the requests that are left at the end of a planned stop.
var errStopping = errors.New("the host stops")

type (
	// server is an HTTP server with its address.
	server struct {
		gateway *Gateway
		http    *http.Server
		rules   fpingress.Rules
		// listener is what listen opened, listenErr why it could not.
		listener  net.Listener
		listenErr error
		// optional says that the host runs on when the server can't listen.
		optional bool
	}
)

func (g *Gateway) newServer(address string, h http.Handler, r fpingress.Rules) *server {
	return &server{gateway: g, rules: r, http: &http.Server{
		Addr:              address,
		Handler:           fpingress.Handler(h),
		ConnContext:       fpingress.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          fplog.NewStandard(func(text string) { g.log("http server error", "Error", text) }),
		// The handler gets each request that the guard counts.
		DisableGeneralOptionsHandler: true,
	}}
}

// maxHeaderBytes returns the longest header that the configuration allows, 0 if it says nothing.
func (g *Gateway) maxHeaderBytes() int { return g.limits().MaxHeaderBytes }

// maxForwardedHeaderBytes returns the longest header of a forwarded request: its lines may be longer by a blank and a
// return than the caller's, and this module's own are added.
func (g *Gateway) maxForwardedHeaderBytes() int {
	if n := g.maxHeaderBytes(); n > 0 {
		return 2*n + maxOwnHeaderBytes
	}
	return 0
}

// maxBodyBytes returns the longest body that the configuration allows.
func (g *Gateway) maxBodyBytes() int64 {
	if n := g.limits().MaxBodyBytes; n > 0 {
		return n
	}
	return defaultMaxBodyBytes
}

// limits returns what the configuration in force allows callers.
func (g *Gateway) limits() fpcatalog.Limits {
	if c := g.snapshot.Load().catalog; c != nil {
		return c.Limits()
	}
	return fpcatalog.Limits{}
}

// recordRefusedClient records a client that was refused, or whose connection was closed, for want of memory or
// connections or for its header.
func (g *Gateway) recordRefusedClient(r fpingress.Refusal) {
	g.metrics.AddToCounter("clients_refused_"+string(r.Reason), 1)
	if r.Quiet {
		return
	}
	// The ID is told as far as the header can be read.
	caller, _ := g.dialect.DecodeCaller(r.Header)
	g.log("client refused", "RequestID", caller.ID, "Client", r.Client, "Reason", string(r.Reason), "MemoryUsed", g.memory.Used(), "MemoryLimit", g.memory.Limit())
}

// listen listens, before any server answers that the host is ready.
func (s *server) listen() { s.listener, s.listenErr = fpingress.Listen(s.http.Addr) }

// serve serves. After a planned stop it waits for the run group to end.
func (s *server) serve() error {
	if s.listenErr != nil {
		s.gateway.log("cannot listen", "Address", s.http.Addr, "Error", s.listenErr.Error())
		if s.optional {
			<-s.gateway.stopped
			return nil
		}
		return errors.Wrap(s.listenErr, "listen")
	}
	err := s.http.Serve(s.gateway.guard.Guard(s.listener, s.rules))
	if errors.Is(err, http.ErrServerClosed) {
		<-s.gateway.stopped
		return nil
	}
	return errors.Wrap(err, "serve")
}

// close closes the listener and all open connections.
func (s *server) close() { _ = s.http.Close() }

func (g *Gateway) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

func (g *Gateway) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.metrics.WritePrometheus(w) })
	return m
}

// stopsTooSoon reports whether a planned stop of this host leaves too little time for an answer of a replica.
func (q *request) stopsTooSoon() bool {
	end := time.Duration(q.gateway.stopsAt.Load())
	return end != 0 && end-q.gateway.clock() < max(minTimeBeforeStop, objectivesBeforeStop*q.route.Objective)
}

// withStop returns a context that ends at the end of a planned stop too.
func (g *Gateway) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ending, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endReason returns why the context of a request has ended.
func endReason(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping.Error()
	}
	return "out of time"
}

// awaitShutdown waits for a planned stop and carries it out: requests are still served until the
// load balancer has noticed, then connections are closed as they become idle, and running
// requests may end. Those that are left are answered shortly before the end.
func (g *Gateway) awaitShutdown(ctx, inner context.Context, servers []*server) error {
	select {
	case <-ctx.Done():
	case <-g.stopped:
		return nil // a part of the host has failed
	}
	started := g.clock()
	end := started + g.settings().GracePeriod - shutdownMargin
	g.stopsAt.Store(int64(end - lastAnswersMargin))
	g.draining.Store(true)
	g.log("stopping", "Running", g.runningRequests.Load(), "Grace", g.settings().GracePeriod.String())
	fpclock.Sleep(inner, g.settings().ShutdownDelay)
	remaining := max(end-g.clock(), shutdownMargin)
	shutdownCtx, cancel := context.WithTimeout(inner, remaining)
	defer cancel()
	lastAnswers := time.AfterFunc(remaining-lastAnswersMargin, g.endRequests)
	defer lastAnswers.Stop()
	var shutdowns sync.WaitGroup
	for _, s := range servers {
		shutdowns.Go(func() {
			if err := s.http.Shutdown(shutdownCtx); err != nil {
				g.log("running requests aborted at the end of the grace period", "Running", g.runningRequests.Load(), "Error", err.Error())
			}
		})
	}
	shutdowns.Wait()
	g.log("stopped", "Took", (g.clock() - started).String())
	return nil
}
