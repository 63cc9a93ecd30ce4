package fpgateway

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRelayAddresses checks that a large fleet has one relay host in each other region, and a
// small fleet none.
func TestRelayAddresses(t *testing.T) {
	is := is.New(t)
	a, b := &net.UDPAddr{Port: 1}, &net.UDPAddr{Port: 2}
	s := &snapshot{
		hostCount:     maxBroadcastHosts + 1,
		hostsByRegion: map[string][]string{"here": {"x"}, "there": {"h1", "h2"}, "far": {"h3"}},
		hostAddresses: map[string]*net.UDPAddr{"h1": a, "h2": a, "h3": b},
	}
	is.Equal(len(s.relayAddresses("replica", "here")), 2)
	s.hostAddresses["h3"] = nil
	is.Equal(s.relayAddresses("replica", "here"), []*net.UDPAddr{a})
	s.hostCount = maxBroadcastHosts
	is.Equal(len(s.relayAddresses("replica", "here")), 0)
}
