package fpgateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
)

const (
	// maxLinesPerSecond bounds the log lines with one message; suppressed lines are counted.
	maxLinesPerSecond = 200
)

type (
	// lineLimiter limits the rate of log lines with the same message.
	lineLimiter struct {
		mu     sync.Mutex
		counts map[string]*lineCount
	}

	lineCount struct {
		second     int64
		written    int
		suppressed int
	}
)

func newLineLimiter() *lineLimiter { return &lineLimiter{counts: make(map[string]*lineCount)} }

// allow reports whether a line with the message may be written, and how many were suppressed
// before it.
func (l *lineLimiter) allow(message string, now time.Duration) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[message]
	if c == nil {
		c = &lineCount{}
		l.counts[message] = c
	}
	if second := int64(now / time.Second); second != c.second {
		c.second, c.written = second, 0
	}
	if c.written >= maxLinesPerSecond {
		c.suppressed++
		return false, 0
	}
	c.written++
	suppressed := c.suppressed
	c.suppressed = 0
	return true, suppressed
}

// log writes a line, unless the limit of lines with the same message is reached.
func (g *Gateway) log(message string, fields ...any) {
	ok, suppressed := g.logLimiter.allow(message, g.clock())
	if !ok {
		return
	}
	line := append([]any{"Host", g.settings().Host, "Message", message}, fields...)
	if suppressed > 0 {
		line = append(line, "LeftOut", suppressed)
	}
	// The queue accepts every line and counts those that it drops.
	_ = g.logger.Log(line...)
}

// updateDroppedMetric updates the metric of log lines that the queue dropped.
func (g *Gateway) updateDroppedMetric() {
	g.metrics.SetGauge("log_lines_dropped", float64(g.logQueue.Dropped()))
}

// updateFigureMetrics updates the metrics of the learnt figures.
func (g *Gateway) updateFigureMetrics() {
	g.mu.Lock()
	figures, refused, limited := g.balancer.ServiceFigures(), g.balancer.RefusedSamples(), g.balancer.LimitedReplicas()
	g.mu.Unlock()
	g.metrics.SetGauge("limited_replicas", float64(limited))
	for service, f := range figures {
		g.metrics.SetGauge(fmt.Sprintf("estimated_tokens_per_second{service=%q}", service), f.TokensPerSecond)
		g.metrics.SetGauge(fmt.Sprintf("estimated_fixed_seconds{service=%q}", service), f.FixedSeconds)
		g.metrics.SetGauge(fmt.Sprintf("estimated_plain_seconds{service=%q}", service), f.PlainSeconds)
		g.metrics.SetGauge(fmt.Sprintf("estimate_samples{service=%q}", service), float64(f.Samples))
	}
	for reason, n := range refused {
		g.metrics.SetGauge(fmt.Sprintf("estimate_samples_refused{reason=%q}", reason), float64(n))
	}
}

// forgetRestartedReplica drops the balancer's state and the kept connections of an earlier start
// of a replica.
func (g *Gateway) forgetRestartedReplica(r fpfleet.Replica) {
	g.mu.Lock()
	seen := g.seenStarts[r.ID].startUnixMilli == r.StartUnixMilli
	g.mu.Unlock()
	if !seen {
		g.recordCrash(r.ID, "restarted")
	}
	g.dropBrokenAttempts(r.ID)
	g.forgetReplica(r.ID)
	g.pool.CloseIdle(r.Address)
}

func (g *Gateway) forgetReplica(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.ForgetReplica(id)
	delete(g.limitsAnnouncedAt, id)
	delete(g.seenStarts, id)
	delete(g.startReaders, id)
}
