package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the link of one host to one replica.
type proxy struct {
	target, address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	p.heal()
	return p
}

// heal lets the link carry connections again.
func (p *proxy) heal() {
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	check(err)
	p.mu.Lock()
	p.address, p.listener = l.Addr().String(), l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
}

func (p *proxy) carry(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	_ = c.Close()
	_ = t.Close()
}

// cut resets the link's connections and refuses new ones.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
