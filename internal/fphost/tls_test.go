package fphost

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key, and returns the
// files and a pool that holds the certificate.
func writeCertificate(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return file
	}
	pool = x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool.AddCert(parsed)
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER), pool
}

// TestTLS runs a host with TLS on all three listeners and lets another host call it with TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	certFile, keyFile, pool := writeCertificate(t)
	platform := httptest.NewServer(fpstandin.NewPlatform().Handler())
	defer platform.Close()
	withTLS := func(s fpsetting.Settings) fpsetting.Settings {
		s.Callers.CertificateFile, s.Callers.KeyFile = certFile, keyFile
		s.Peers.CertificateFile, s.Peers.KeyFile, s.Peers.AuthorityFile = certFile, keyFile, certFile
		s.Operators.CertificateFile, s.Operators.KeyFile = certFile, keyFile
		return s
	}
	s := withTLS(newTestSettings(t, platform.Listener.Addr().String()))
	h, err := New(s, log.NewNopLogger())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	waitUntil(t, "readiness over TLS", func() bool {
		res, err := client.Get("https://" + s.Callers.Address + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	otherHost, err := New(withTLS(newTestSettings(t, platform.Listener.Addr().String())), log.NewNopLogger())
	is.NoErr(err)
	_, err = otherHost.peers.Status(ctx, s.Peers.Address)
	is.NoErr(err)
	_, err = http.Get("http://" + s.Operators.Address + "/status")
	is.NoErr(err)
	client.CloseIdleConnections()
	cancel()
	is.NoErr(<-done)
}

// TestWrongPeerSecretRejected checks that a host refuses calls of a host with another peer secret.
func TestWrongPeerSecretRejected(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t)
	otherSettings := newTestSettings(t, "127.0.0.1:1")
	is.NoErr(os.WriteFile(otherSettings.Peers.SecretFile, []byte("another secret"), 0o600))
	otherHost, err := New(otherSettings, log.NewNopLogger())
	is.NoErr(err)
	_, err = otherHost.peers.Status(context.Background(), s.host.settings.Peers.Address)
	is.True(err != nil)
	s.stop()
}
