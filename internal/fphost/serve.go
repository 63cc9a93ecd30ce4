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
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	// keptAnswerBytes bounds the answers that are kept for repeats.
	keptAnswerBytes = 32 << 20
)

type (
	// listenerServer is an HTTP server with the settings of its listener.
	listenerServer struct {
		host     *Host
		name     string
		settings fpsetting.Listener
		server   *http.Server
	}
)

func (h *Host) newServer(name string, settings fpsetting.Listener, handler http.Handler) *listenerServer {
	return &listenerServer{host: h, name: name, settings: settings, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    h.settings.Limits.MaxHeaderBytes,
	}}
}

// serve listens and serves until it is stopped. After a planned stop it returns
// only when the run group is interrupted, because the group interrupts all its
// members as soon as one returns.
func (l *listenerServer) serve() error {
	listener, err := net.Listen("tcp", l.settings.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", l.name)
	}
	_ = l.host.logger.Log("Message", "listening", "For", l.name, "Address", l.settings.Address, "TLS", l.settings.CertificateFile != "")
	if l.settings.CertificateFile == "" {
		err = l.server.Serve(listener)
	} else {
		err = l.server.ServeTLS(listener, l.settings.CertificateFile, l.settings.KeyFile)
	}
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
	t := &http.Transport{
		DialContext: fpconn.CheckingDialer((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: fpconn.MaxHeaderBytes,
	}
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
	d := tls.Dialer{Config: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	t.DialTLSContext = fpconn.CheckingDialer(d.DialContext)
	return t, "https", nil
}
