package fpconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// maxIdlePerUpstream bounds the idle connections kept for one upstream.
	maxIdlePerUpstream = 32
	// maxIdleTime bounds how long an idle connection is kept; an upstream's Keep-Alive header can
	// shorten it.
	maxIdleTime = 8 * time.Second
	// keepAliveMargin is subtracted from the upstream's Keep-Alive timeout, so that the pool drops
	// a connection before the upstream closes it.
	keepAliveMargin = 500 * time.Millisecond
	// tcpUserTimeout bounds how long sent data may stay unacknowledged.
	tcpUserTimeout = 3 * time.Second
	// dialTimeout bounds connecting; the longest round trip between regions takes 60 ms.
	dialTimeout = 700 * time.Millisecond
)

var (
	// ErrNotSent means that no byte of the request left this host, so it can be retried safely.
	ErrNotSent = errors.New("no connection to the upstream")
	// ErrIncompleteResponse means that bytes of the request may have left this host but no complete
	// response arrived.
	ErrIncompleteResponse = errors.New("the upstream gave no whole answer")
	errDial               = errors.New("no connection was opened")
)

type (
	// DialFunc opens a connection to an address.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Pool keeps idle connections to upstreams for reuse.
	Pool struct {
		dialer DialFunc
		clock  fpclock.Clock
		onOpen func(address string)
		mu     sync.Mutex
		idle   map[string][]*conn
		closed bool
	}
)

// NewPool returns an empty pool; onOpen is called for each new connection.
func NewPool(clock fpclock.Clock, onOpen func(address string)) *Pool {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	return &Pool{dialer: d.DialContext, clock: clock, onOpen: onOpen, idle: make(map[string][]*conn)}
}

// SetDialer sets what opens connections, before the first call.
func (p *Pool) SetDialer(d DialFunc) { p.dialer = d }

// acquireConn returns an idle connection that was last used less than maxIdle ago and on which no call
// with the key was refused, or a new one.
func (p *Pool) acquireConn(ctx context.Context, address string, maxIdle time.Duration, key string) (*conn, error) {
	if maxIdle <= 0 {
		return p.dial(ctx, address)
	}
	now := p.clock()
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if now < c.expiresAt && now-c.lastUsed < maxIdle && !c.hasRefused(key) && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	began := p.clock()
	c, err := p.dialer(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Mark(err, errDial), ErrNotSent)
	}
	setUserTimeout(c, tcpUserTimeout)
	if p.onOpen != nil {
		p.onOpen(address)
	}
	n := newConn(c, address)
	n.openedAt = p.clock()
	n.connectTime = n.openedAt - began
	return n, nil
}

// DialFailed reports whether a call failed since no connection to the upstream could be opened.
func DialFailed(err error) bool { return errors.Is(err, errDial) }

// Probe opens a connection to an address and closes it; the error is that of the dial.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// releaseConn keeps a connection for at most keepFor, or closes it when the upstream has enough
// idle connections.
func (p *Pool) releaseConn(c *conn, keepFor time.Duration) {
	now := p.clock()
	c.lastUsed = now
	c.expiresAt = now + keepFor
	c.completedExchanges++
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keepFor <= 0 || len(p.idle[c.address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an upstream.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections whose keep time has passed.
func (p *Pool) CloseExpired() {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expiresAt {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		p.idle[a] = kept
		if len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}

// Close closes all idle connections; connections released later are closed at once.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
