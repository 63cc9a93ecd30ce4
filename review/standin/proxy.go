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
	// silent says that the link carries nothing, without a reset.
	silent bool
	conns  map[net.Conn]bool
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
			p.pump(pair[0], pair[1])
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

// pump carries bytes until an end closes; while the link is silent, it drops them.
func (p *proxy) pump(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isSilent() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// newDatagramProxy carries datagrams to a target, unless the link is silent, and returns its address.
func newDatagramProxy(target string, link *proxy) string {
	from, err := net.ListenPacket("udp4", "127.0.0.1:0")
	check(err)
	to, err := net.Dial("udp4", target)
	check(err)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := from.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !link.isSilent() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}()
	return from.LocalAddr().String()
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
