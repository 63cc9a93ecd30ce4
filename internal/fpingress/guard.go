package fpingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	// connectionBytes is what an open connection takes, and requestBytes what a request takes besides its head and body.
	connectionBytes = 10 << 10
	requestBytes    = 16 << 10
	// secureBytes is what a connection takes besides for its encryption.
	secureBytes = 48 << 10
	// bytesPerLine is what a field of a head takes besides its text, parsed and forwarded.
	bytesPerLine = 256
	// copiesOfHead is how often the text of a head is kept: as received, parsed and forwarded.
	copiesOfHead = 3
	// receiveBufferBytes bounds what a connection's socket holds of bytes that are not read yet, and is the most that arrives
	// in a round trip; longBufferBytes applies from the first long body that was admitted on. The kernel holds up to
	// twice as much.
	receiveBufferBytes = 16 << 10
	longBufferBytes    = 128 << 10
	kernelOverhead     = 2
	// evictionInterval is the least time from a search for stalled clients that found none to the next.
	evictionInterval = 10 * time.Millisecond
	// stallChecks is how often in a stall timeout the connections are looked through.
	stallChecks = 4
	// loudRefusals is the number of refusals within a second that are worth a line each.
	loudRefusals = 20
	// controlShare is which part of the connections callers leave to other listeners: one of so many.
	controlShare = 8
)

const (
	// ReasonHead means that a request's header is longer than the limit.
	ReasonHead Reason = "long_header"
	// ReasonMemory means that a connection or request found no room in the memory.
	ReasonMemory Reason = "no_memory"
	// ReasonConnections means that as many connections are open as may be.
	ReasonConnections Reason = "too_many_connections"
	// ReasonStalled means that a connection was closed whose client stalled, for too long or while others needed its room.
	ReasonStalled Reason = "stalled"
)

type (
	// Reason is why a client was refused or its connection closed.
	Reason string

	// Settings configures a guard.
	Settings struct {
		// Budget is the memory that connections, requests and answers share.
		Budget *fpbudget.Budget
		// MaxConnections bounds the open connections of all listeners.
		MaxConnections int
		// StallTimeout is how long a client may keep a request or an answer unfinished without progress, or behind a
		// minimum rate, while nobody else needs its room; 0 has no bound.
		StallTimeout time.Duration
		Clock        fpclock.Clock
		// RefusalHeader is added to each refusal.
		RefusalHeader http.Header
		// OnRefuse, unless nil, is called for each client that is refused or whose connection is closed.
		OnRefuse func(Refusal)
	}

	// Refusal describes a client that was refused, or whose connection was closed.
	Refusal struct {
		Reason Reason
		Client string
		// Header is that of the request, nil if it was not read.
		Header http.Header
		// Quiet says that there were many refusals within this second already.
		Quiet bool
	}

	// Rules are the limits of a listener. A function of them may be nil and may return 0 for the default.
	Rules struct {
		// HeaderBytes returns the longest header, without the request line.
		HeaderBytes func() int
		// BodyBytes returns the longest body. A body that is declared longer is left to the handler to reject.
		BodyBytes func() int64
		// BodyCopies is how many copies of a body the handler holds, 1 if it is 0.
		BodyCopies int64
		// Control says that the listener serves the host's own needs, not callers.
		Control bool
	}

	// Guard admits the connections and requests of all listeners of a host.
	Guard struct {
		settings    Settings
		mu          sync.Mutex
		connections map[*conn]struct{}
		callers     int
		evictAt     time.Duration
		// refusals is the number of refusals within the given second of the clock.
		refusals, second int64
	}

	listener struct {
		net.Listener
		guard *Guard
		rules Rules
	}
)

// NewGuard returns a guard without connections.
func NewGuard(s Settings) *Guard {
	return &Guard{settings: s, connections: make(map[*conn]struct{})}
}

// Listen listens on a TCP address, with a bounded receive buffer for each connection.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, receiveBufferBytes) }}
	return c.Listen(context.Background(), "tcp", address)
}

func setReceiveBuffer(raw syscall.RawConn, n int) error {
	return raw.Control(func(fd uintptr) {
		// The error is ignored: without the option, the kernel's own bound applies.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
	})
}

// Guard returns a listener whose connections the guard admits by the given rules.
func (g *Guard) Guard(l net.Listener, r Rules) net.Listener {
	r.BodyCopies = max(r.BodyCopies, 1)
	return &listener{Listener: l, guard: g, rules: r}
}

// Accept returns the next connection that is admitted, and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			// The server looks at the error's own type: it goes on after temporary ones.
			return nil, err
		}
		if admitted := l.guard.admit(c, l.rules); admitted != nil {
			return admitted, nil
		}
		_ = c.Close()
	}
}

// admit admits a connection or returns nil.
func (g *Guard) admit(c net.Conn, r Rules) *conn {
	n := newConn(g, c, r)
	limit := g.settings.MaxConnections
	if !r.Control {
		limit -= limit / controlShare
	}
	if g.isFull(r, limit) {
		g.evict(0, 1)
	}
	reason := ReasonConnections
	if !g.isFull(r, limit) {
		if g.grow(n.connection, n.size()) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.connections[n] = struct{}{}
			if !r.Control {
				g.callers++
			}
			return n
		}
		reason = ReasonMemory
	}
	g.refused(reason, c, nil)
	return nil
}

// size returns what the connection itself takes.
func (c *conn) size() int64 {
	if c.socket() != c.Conn {
		return connectionBytes + secureBytes
	}
	return connectionBytes
}

func (g *Guard) isFull(r Rules, limit int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.connections)
	if !r.Control {
		n = g.callers
	}
	return g.settings.MaxConnections > 0 && n >= limit
}

// remove forgets a connection that was closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.connections[c]; !ok {
		return
	}
	delete(g.connections, c)
	if !c.rules.Control {
		g.callers--
	}
}

// grow adds bytes to a reservation. Where memory runs short, clients that stall lose theirs.
func (g *Guard) grow(r *fpbudget.Reservation, n int64) bool {
	if excess := g.settings.Budget.Excess(n); excess > 0 {
		g.evict(excess, 0)
	}
	return r.Grow(n)
}

// evict closes the connections of clients that stall, for the given bytes and number of connections.
func (g *Guard) evict(bytes int64, count int) {
	now := g.settings.Clock()
	g.mu.Lock()
	early := now < g.evictAt
	g.mu.Unlock()
	if early {
		return
	}
	n := g.closeConnections(func(clients []fpbudget.Client) []int { return fpbudget.Evict(clients, bytes, count, now) })
	if n == 0 {
		g.mu.Lock()
		g.evictAt = now + evictionInterval
		g.mu.Unlock()
	}
}

// closeConnections closes the connections of the clients whose indexes are chosen, and returns their number.
func (g *Guard) closeConnections(choose func([]fpbudget.Client) []int) int {
	g.mu.Lock()
	list := make([]*conn, 0, len(g.connections))
	for c := range g.connections {
		list = append(list, c)
	}
	g.mu.Unlock()
	clients := make([]fpbudget.Client, len(list))
	for i, c := range list {
		clients[i] = c.describe()
	}
	chosen := choose(clients)
	for _, i := range chosen {
		list[i].evict()
		g.refused(ReasonStalled, list[i], nil)
	}
	return len(chosen)
}

// Run closes the connections of clients that stall for longer than the settings allow, until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	if g.settings.StallTimeout <= 0 {
		<-ctx.Done()
		return nil
	}
	for fpclock.Sleep(ctx, g.settings.StallTimeout/stallChecks) {
		g.closeConnections(func(clients []fpbudget.Client) []int {
			return fpbudget.Stalled(clients, g.settings.StallTimeout, g.settings.Clock())
		})
	}
	return nil
}

// refused reports that a client was refused, with the header of its request if that was read.
func (g *Guard) refused(r Reason, c net.Conn, h http.Header) {
	if g.settings.OnRefuse == nil {
		return
	}
	second := int64(g.settings.Clock() / time.Second)
	g.mu.Lock()
	if second != g.second {
		g.second, g.refusals = second, 0
	}
	g.refusals++
	quiet := g.refusals > loudRefusals
	g.mu.Unlock()
	g.settings.OnRefuse(Refusal{Reason: r, Client: c.RemoteAddr().String(), Header: h, Quiet: quiet})
}
