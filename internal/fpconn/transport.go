package fpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// NewTransport returns a transport for a client of net/http that opens connections by a dialer, with the given configuration
// where TLS is asked for (nil for the usual one), takes no bytes for an answer that are none in the protocol, and bounds the
// header of an answer by MaxHeaderBytes. Its user sets the rest.
func NewTransport(d DialFunc, c *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext: checkingDialer(d), DialTLSContext: checkingDialer(tlsDialer(d, c)), MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}

// checkingDialer returns a dialer whose connections check the answers which are read from them.
func checkingDialer(d DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(c), nil
	}
}

// tlsDialer returns a dialer that opens connections by d and encrypts them.
func tlsDialer(d DialFunc, c *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := c.Clone()
		if named == nil {
			named = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if named.ServerName == "" {
			// An address without a port is a name by itself.
			named.ServerName = address
			if host, _, err := net.SplitHostPort(address); err == nil {
				named.ServerName = host
			}
		}
		t := tls.Client(raw, named)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		return t, nil
	}
}
