package fppipe

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused is returned when there is no listener on an address.
var ErrRefused = errors.New("connection refused")

type (
	// Network connects dialers to listeners. The zero value has no listeners.
	Network struct {
		mu          sync.Mutex
		listeners   map[string]*listener
		unreachable map[string]bool
		conns       map[string][]*conn
	}

	listener struct {
		network   *Network
		address   string
		incoming  chan net.Conn
		closed    chan struct{}
		closeOnce sync.Once
	}

	// conn is one end of a connection. After silent is closed, it transfers no more data.
	conn struct {
		net.Conn
		silent      chan struct{}
		closed      chan struct{}
		closeOnce   sync.Once
		silenceOnce sync.Once
	}

	pipeAddress string
)

// Listen returns a listener on an address; it replaces an earlier listener there.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
		n.unreachable = make(map[string]bool)
		n.conns = make(map[string][]*conn)
	}
	l := &listener{network: n, address: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Serve serves a handler on an address until stop is called.
func (n *Network) Serve(addr string, h http.Handler) (stop func()) {
	s := &http.Server{Handler: h}
	l := n.Listen(addr)
	done := make(chan struct{})
	go func() {
		_ = s.Serve(l)
		close(done)
	}()
	return func() {
		_ = s.Close()
		<-done
	}
}

// Dial connects to an address. If the address is unreachable, it blocks until the context ends.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, unreachable := n.listeners[addr], n.unreachable[addr]
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Wrap(ErrRefused, addr)
	}
	a, b := net.Pipe()
	client, server := newConn(a), newConn(b)
	select {
	case l.incoming <- server:
	case <-l.closed:
		return nil, errors.Wrap(ErrRefused, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = append(n.conns[addr], client, server)
	return client, nil
}

// SetUnreachable makes an address unreachable, which silences its open connections for good,
// or makes it reachable again.
func (n *Network) SetUnreachable(addr string, unreachable bool) {
	n.mu.Lock()
	n.unreachable[addr] = unreachable
	n.mu.Unlock()
	if unreachable {
		n.SilenceConnections(addr)
	}
}

// SilenceConnections makes all open connections to an address silent for good; new connections
// work.
func (n *Network) SilenceConnections(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[addr] {
		c.silenceOnce.Do(func() { close(c.silent) })
	}
	delete(n.conns, addr)
}

func newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, silent: make(chan struct{}), closed: make(chan struct{})}
}

// Read reads from the connection. Once silent, it blocks until this end is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. Once silent, it discards the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes this end of the connection. The other end of a silent connection doesn't notice.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener, after which its address refuses connections.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return pipeAddress(l.address) }

// Network returns the network's name.
func (a pipeAddress) Network() string { return "pipe" }

// String returns the address.
func (a pipeAddress) String() string { return string(a) }
