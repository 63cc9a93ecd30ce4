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
		// ZoneRegions holds the region of each availability zone.
		ZoneRegions map[string]string
		// The addresses to listen on for callers, readiness checks and metrics, and the address
		// of the store. Without an address for metrics none are served.
		CallersAddress string
		ReadyAddress   string
		MetricsAddress string
		StoreAddress   string
		// PeerPort is the port for notices and peer reads between hosts, 0 for none.
		PeerPort    int
		MemoryBytes int64
		// MaxConnections bounds the open connections of all listeners, 0 for no bound.
		MaxConnections int
		Freshness      fpfresh.Bounds
		RetryBudget    fplimit.RetryRule
		// GracePeriod is the time between the request to stop and the end of the process.
		GracePeriod time.Duration
		// ShutdownDelay is how long a stopping host still accepts requests.
		ShutdownDelay time.Duration
		// DrainTimeout is the time after which a draining replica must get no new work.
		DrainTimeout time.Duration
		// OldWeightsLimit is how long replaced weights may still be used, 0 for no limit.
		OldWeightsLimit time.Duration
		// OrderLeaseTTL is the time to live of the order lease.
		OrderLeaseTTL time.Duration
		// MinLeaseTTL is the shortest lease that the store grants.
		MinLeaseTTL time.Duration
	}
)

// WithDefaults returns the settings with each zero duration set to its default.
func (s Settings) WithDefaults() Settings {
	s.GracePeriod = orDefault(s.GracePeriod, defaultGracePeriod)
	s.ShutdownDelay = orDefault(s.ShutdownDelay, defaultShutdownDelay)
	s.OrderLeaseTTL = max(orDefault(s.OrderLeaseTTL, defaultOrderLeaseTTL), s.MinLeaseTTL)
	s.RetryBudget.Window = orDefault(s.RetryBudget.Window, defaultRetryWindow)
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
	n.CallersAddress, n.ReadyAddress, n.MetricsAddress, n.StoreAddress, n.PeerPort = s.CallersAddress, s.ReadyAddress, s.MetricsAddress, s.StoreAddress, s.PeerPort
	return n
}
