package fpgateway

import (
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpfresh"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

const (
	defaultGracePeriod = 8 * time.Second
	// defaultShutdownDelay is long enough for the load balancer, which checks once a second and
	// removes a host after two failed checks.
	defaultShutdownDelay = 2500 * time.Millisecond
	defaultOrderLeaseTTL = 3 * time.Second
	defaultRetryWindow   = 10 * time.Second
)

type (
	// Settings are the settings of one host; WithDefaults sets zero durations to their defaults.
	Settings struct {
		Host  string
		Place fpbalance.Location
		// Zones holds the region of each availability zone.
		Zones map[string]string
		// The addresses to listen on for callers, readiness checks and metrics, and the address
		// of the store. Without an address for metrics none are served.
		Callers string
		Ready   string
		Metrics string
		Store   string
		// PeerPort is the port for notices and peer reads between hosts, 0 for none.
		PeerPort    int
		MemoryBytes int64
		Fresh       fpfresh.Bounds
		Retry       fplimit.RetryRule
		// Grace is the time between the request to stop and the end of the process.
		Grace time.Duration
		// Notice is how long a stopping host still accepts requests.
		Notice time.Duration
		// Drain is the time after which a draining replica must get no new work.
		Drain time.Duration
		// OldWeights is how long replaced weights may still be used, 0 for no limit.
		OldWeights time.Duration
		// OrderLease is the time to live of the order lease.
		OrderLease time.Duration
		// LeaseFloor is the shortest lease that the store grants.
		LeaseFloor time.Duration
	}
)

// WithDefaults returns the settings with each zero duration set to its default.
func (s Settings) WithDefaults() Settings {
	s.Grace = orDefault(s.Grace, defaultGracePeriod)
	s.Notice = orDefault(s.Notice, defaultShutdownDelay)
	s.OrderLease = max(orDefault(s.OrderLease, defaultOrderLeaseTTL), s.LeaseFloor)
	s.Retry.Window = orDefault(s.Retry.Window, defaultRetryWindow)
	return s
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// WithReloaded returns n with the settings that can't change while the host runs taken from s.
func (s Settings) WithReloaded(n Settings) Settings {
	n.Host, n.Place = s.Host, s.Place
	n.Callers, n.Ready, n.Metrics, n.Store, n.PeerPort = s.Callers, s.Ready, s.Metrics, s.Store, s.PeerPort
	return n
}
