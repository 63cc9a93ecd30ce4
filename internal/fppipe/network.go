package fppipe

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused is returned when nobody listens on an address.
var ErrRefused = errors.New("connection refused")

type (
	// Network connects dialers and listeners; its zero value has no listener.
	Network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		lost      map[string]bool
		conns     map[string][]*conn
	}

	listener struct {
		network *Network
		address string
		accept  chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	// conn is one end of a connection that can go silent.
	conn struct {
		net.Conn
		silent chan struct{}
		closed chan struct{}
		once   sync.Once
		hush   sync.Once
	}

	address string
)

// Listen returns a listener on an address, in place of any former one.
func (n *Network) Listen(on string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
		n.lost = make(map[string]bool)
		n.conns = make(map[string][]*conn)
	}
	l := &listener{network: n, address: on, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[on] = l
	return l
}

// Serve serves a handler on an address until the returned function is called.
func (n *Network) Serve(on string, h http.Handler) (stop func()) {
	s := &http.Server{Handler: h}
	l := n.Listen(on)
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

// Dial connects to an address; to a lost one it waits until the context ends.
func (n *Network) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	l, lost := n.listeners[to], n.lost[to]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Wrap(ErrRefused, to)
	}
	a, b := net.Pipe()
	near, far := newConn(a), newConn(b)
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, errors.Wrap(ErrRefused, to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[to] = append(n.conns[to], near, far)
	return near, nil
}

// Lose makes an address unreachable, or reachable again; open connections go silent.
func (n *Network) Lose(to string, lost bool) {
	n.mu.Lock()
	n.lost[to] = lost
	n.mu.Unlock()
	if lost {
		n.Silence(to)
	}
}

// Silence makes all open connections to an address silent for good; new ones work.
func (n *Network) Silence(to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[to] {
		c.hush.Do(func() { close(c.silent) })
	}
	delete(n.conns, to)
}

func newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, silent: make(chan struct{}), closed: make(chan struct{})}
}

// Read reads, or once silent waits until the connection is closed.
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

// Write writes, or once silent swallows the bytes.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection; the other end of a silent one never hears of it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
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
func (l *listener) Addr() net.Addr { return address(l.address) }

// Network returns the network's name.
func (a address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
