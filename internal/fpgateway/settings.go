package fpgateway

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

const (
	defaultGrace = 8 * time.Second
	// defaultNotice lets the balancer notice: it asks once a second and takes a
	// host out after two misses.
	defaultNotice      = 2500 * time.Millisecond
	defaultOrderLease  = 3 * time.Second
	defaultRetryWindow = 10 * time.Second
)

type (
	// Settings are those of one host; WithDefaults fills what is zero.
	Settings struct {
		Host  string
		Place fpbalance.Location
		// Zones holds the region of each availability zone.
		Zones map[string]string
		// Callers, Ready, Metrics and Store are addresses; without Metrics none are served.
		Callers string
		Ready   string
		Metrics string
		Store   string
		// PeerPort is a port for datagrams between hosts, 0 for none.
		PeerPort    int
		MemoryBytes int64
		Fresh       fpfresh.Bounds
		Retry       fplimit.RetryRule
		// Grace is the time between a request to stop and the end of the process.
		Grace time.Duration
		// Notice is how long a stopping host still takes requests.
		Notice time.Duration
		// Drain is the time after which a leaving replica must get no new work.
		Drain time.Duration
		// OldWeights is how long replaced weights may still be used, 0 for any time.
		OldWeights time.Duration
		// OrderLease is the time for which the right to give orders is held.
		OrderLease time.Duration
		// LeaseFloor is the shortest lease that the store grants.
		LeaseFloor time.Duration
	}
)

// WithDefaults returns the settings with each zero duration set to its default.
func (s Settings) WithDefaults() Settings {
	s.Grace = orDefault(s.Grace, defaultGrace)
	s.Notice = orDefault(s.Notice, defaultNotice)
	s.OrderLease = max(orDefault(s.OrderLease, defaultOrderLease), s.LeaseFloor)
	s.Retry.Window = orDefault(s.Retry.Window, defaultRetryWindow)
	return s
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// WithReloaded returns the settings with what may change while the host runs
// taken from newer ones.
func (s Settings) WithReloaded(n Settings) Settings {
	n.Host, n.Place = s.Host, s.Place
	n.Callers, n.Ready, n.Metrics, n.Store, n.PeerPort = s.Callers, s.Ready, s.Metrics, s.Store, s.PeerPort
	return n
}
