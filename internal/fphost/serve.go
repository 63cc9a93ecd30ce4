package fphost

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpingress"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	// bodyCopies is how often a body is held: as received, decoded and encoded for an upstream.
	bodyCopies = 3
	// trafficMemoryShare is the share of the memory that connections, requests and answers may hold at one time,
	// keptAnswersShare that of answers kept for repeats, and memoryLimitShare that of the garbage collector's soft limit.
	trafficMemoryShare    = 0.45
	keptAnswersShare      = 0.125
	memoryLimitShare      = 0.7
	minTrafficMemoryBytes = 16 << 20
)

type (
	// listenerServer is an HTTP server with the settings of its listener.
	listenerServer struct {
		host     *Host
		name     string
		settings fpsetting.Listener
		rules    fpingress.Rules
		server   *http.Server
	}
)

func (h *Host) newServer(name string, settings fpsetting.Listener, handler http.Handler, control bool) *listenerServer {
	l := h.settings.Limits
	rules := fpingress.Rules{
		HeaderBytes: func() int { return l.MaxHeaderBytes },
		BodyBytes:   func() int64 { return int64(l.MaxBodyBytes) },
		BodyCopies:  bodyCopies,
		Control:     control,
	}
	return &listenerServer{host: h, name: name, settings: settings, rules: rules, server: &http.Server{
		Handler:           fpingress.Handler(handler),
		ConnContext:       fpingress.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          fplog.NewStandard(func(text string) { _ = h.logger.Log("Message", "http server error", "Error", text) }),
		// The handler gets each request that the guard counts.
		DisableGeneralOptionsHandler: true,
	}}
}

// serve listens and serves until it is stopped. After a planned stop it returns
// only when the run group is interrupted, because the group interrupts all its
// members as soon as one returns.
func (l *listenerServer) serve() error {
	listener, err := fpingress.Listen(l.settings.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", l.name)
	}
	if l.settings.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(l.settings.CertificateFile, l.settings.KeyFile)
		if err != nil {
			return errors.Wrapf(err, "certificate of %s", l.name)
		}
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}, MinVersion: tls.VersionTLS12})
	}
	_ = l.host.logger.Log("Message", "listening", "For", l.name, "Address", l.settings.Address, "TLS", l.settings.CertificateFile != "")
	err = l.server.Serve(l.host.guard.Guard(listener, l.rules))
	if errors.Is(err, http.ErrServerClosed) {
		<-l.host.interrupted
		return nil
	}
	return errors.Wrapf(err, "serve %s", l.name)
}

// stop refuses new requests and waits for the running ones without a deadline.
func (l *listenerServer) stop() { _ = l.server.Shutdown(context.Background()) }

// peerTransport returns the transport and the URL scheme for calls to other hosts.
func peerTransport(p fpsetting.Peers) (http.RoundTripper, string, error) {
	scheme, config, err := peerTLS(p)
	if err != nil {
		return nil, "", err
	}
	t := fpconn.NewTransport((&net.Dialer{}).DialContext, config)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = 4, idleTimeout
	return t, scheme, nil
}

// peerTLS returns the URL scheme for calls to other hosts, and the TLS configuration if they use TLS.
func peerTLS(p fpsetting.Peers) (string, *tls.Config, error) {
	if p.CertificateFile == "" {
		return "http", nil, nil
	}
	pem, err := os.ReadFile(p.AuthorityFile)
	if err != nil {
		return "", nil, errors.Wrap(err, "Peers.AuthorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return "", nil, errors.New("Peers.AuthorityFile holds no certificate")
	}
	return "https", &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
