package fpgateway

import (
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
)

const (
	// linesPerSecond bounds the lines of one kind; those left out are counted.
	linesPerSecond = 200
)

type (
	// lineLimit bounds the lines of each kind.
	lineLimit struct {
		mu    sync.Mutex
		kinds map[string]*lineCount
	}

	lineCount struct {
		second  int64
		written int
		left    int
	}
)

func newLineLimit() *lineLimit { return &lineLimit{kinds: make(map[string]*lineCount)} }

// allow reports whether a line of the kind may be written, and how many were left out before it.
func (l *lineLimit) allow(kind string, now time.Duration) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.kinds[kind]
	if c == nil {
		c = &lineCount{}
		l.kinds[kind] = c
	}
	if second := int64(now / time.Second); second != c.second {
		c.second, c.written = second, 0
	}
	if c.written >= linesPerSecond {
		c.left++
		return false, 0
	}
	c.written++
	left := c.left
	c.left = 0
	return true, left
}

// log writes a line of a kind, which is its message.
func (g *Gateway) log(message string, fields ...any) {
	ok, left := g.limited.allow(message, g.clock())
	if !ok {
		return
	}
	line := append([]any{"Host", g.settings().Host, "Message", message}, fields...)
	if left > 0 {
		line = append(line, "LeftOut", left)
	}
	// The queue takes every line; what it drops it counts itself.
	_ = g.logger.Log(line...)
}

// reportDropped keeps the metric of dropped lines current.
func (g *Gateway) reportDropped() {
	g.metrics.Set("log_lines_dropped", float64(g.queue.Dropped()))
}

// forget drops what is believed of an earlier start of a replica.
func (g *Gateway) forget(r fpfleet.Replica) {
	g.forgetID(r.ID)
	g.pool.Forget(r.Address)
}

func (g *Gateway) forgetID(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Forget(id)
}
