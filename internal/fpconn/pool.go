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
	// maxIdle bounds the kept connections to one upstream.
	maxIdle = 32
	// idleFor is how long a connection is kept; upstreams that say less go first.
	idleFor = 8 * time.Second
	// keepAliveMargin is taken off the time for which an upstream says it keeps a connection.
	keepAliveMargin = 500 * time.Millisecond
	// userTimeout bounds written bytes without acknowledgement.
	userTimeout = 3 * time.Second
	// dialTimeout bounds a new connection; the longest way between regions takes 60 ms there and back.
	dialTimeout = 700 * time.Millisecond
)

var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = errors.New("no connection to the upstream")
	// ErrBroken means that the request left this host and no whole answer came.
	ErrBroken = errors.New("the upstream gave no whole answer")
)

type (
	// Pool keeps idle connections to upstreams.
	Pool struct {
		clock  fpclock.Clock
		opened func(address string)
		mu     sync.Mutex
		idle   map[string][]*conn
		closed bool
	}
)

// NewPool returns a pool without connections; opened is called for each new one.
func NewPool(clock fpclock.Clock, opened func(address string)) *Pool {
	return &Pool{clock: clock, opened: opened, idle: make(map[string][]*conn)}
}

// get returns a kept connection that was used within recent, or a new one.
func (p *Pool) get(ctx context.Context, address string, recent time.Duration) (*conn, error) {
	now := p.clock()
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if now < c.expires && now-c.used < recent && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) take(address string) *conn {
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
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	setUserTimeout(c, userTimeout)
	if p.opened != nil {
		p.opened(address)
	}
	return newConn(c, address), nil
}

// put keeps a connection for keep, or closes it when there are enough.
func (p *Pool) put(c *conn, keep time.Duration) {
	now := p.clock()
	c.used = now
	c.expires = now + keep
	c.served++
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 || len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the kept connections to an upstream.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Expire closes connections that were idle for too long.
func (p *Pool) Expire() {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expires {
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

// Close closes all kept connections; later ones are not kept.
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
