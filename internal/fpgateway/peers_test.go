package fpgateway

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRelays checks that a large fleet tells one host of each other region, and a small one none.
func TestRelays(t *testing.T) {
	is := is.New(t)
	a, b := &net.UDPAddr{Port: 1}, &net.UDPAddr{Port: 2}
	s := &snapshot{
		hosts:     maxToldHosts + 1,
		regions:   map[string][]string{"here": {"x"}, "there": {"h1", "h2"}, "far": {"h3"}},
		addresses: map[string]*net.UDPAddr{"h1": a, "h2": a, "h3": b},
	}
	is.Equal(len(s.relays("replica", "here")), 2)
	s.addresses["h3"] = nil
	is.Equal(s.relays("replica", "here"), []*net.UDPAddr{a})
	s.hosts = maxToldHosts
	is.Equal(len(s.relays("replica", "here")), 0)
}
