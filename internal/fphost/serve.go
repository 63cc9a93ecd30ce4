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

	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

type (
	// listenerServer is an HTTP server with the listener that it is to have.
	listenerServer struct {
		host   *Host
		name   string
		on     fpsetting.Listener
		server *http.Server
	}
)

func (h *Host) newServer(name string, on fpsetting.Listener, handler http.Handler) *listenerServer {
	return &listenerServer{host: h, name: name, on: on, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    h.settings.Limits.MaxHeaderBytes,
	}}
}

// serve listens and serves until it is stopped. Stopped by a planned stop, it
// waits for the run group to end.
func (l *listenerServer) serve() error {
	listener, err := net.Listen("tcp", l.on.Address)
	if err != nil {
		return errors.Wrapf(err, "listener for %s", l.name)
	}
	_ = l.host.logger.Log("Message", "listening", "For", l.name, "Address", l.on.Address, "TLS", l.on.CertificateFile != "")
	if l.on.CertificateFile == "" {
		err = l.server.Serve(listener)
	} else {
		err = l.server.ServeTLS(listener, l.on.CertificateFile, l.on.KeyFile)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-l.host.stopped
		return nil
	}
	return errors.Wrapf(err, "serve %s", l.name)
}

// stop takes no more requests and waits for those under way, without a deadline.
func (l *listenerServer) stop() { _ = l.server.Shutdown(context.Background()) }

// peerTransport returns the transport for calls to other hosts.
func peerTransport(p fpsetting.Peers) (http.RoundTripper, string, error) {
	t := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	if p.CertificateFile == "" {
		return t, "http", nil
	}
	pem, err := os.ReadFile(p.AuthorityFile)
	if err != nil {
		return nil, "", errors.Wrap(err, "Peers.AuthorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", errors.New("Peers.AuthorityFile holds no certificate")
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return t, "https", nil
}
