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
	"github.com/oklog/run"

	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// addServer adds a listener to the run group; it stops without cutting requests.
func (h *Host) addServer(g *run.Group, name string, l fpsetting.Listener, handler http.Handler) {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    h.settings.Limits.MaxHeaderBytes,
	}
	g.Add(func() error {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return errors.Wrapf(err, "listener for %s", name)
		}
		_ = h.logger.Log("Message", "listening", "For", name, "Address", l.Address, "TLS", l.CertificateFile != "")
		if l.CertificateFile == "" {
			err = s.Serve(listener)
		} else {
			err = s.ServeTLS(listener, l.CertificateFile, l.KeyFile)
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", name)
	}, func(error) { _ = s.Shutdown(context.Background()) })
}

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
