package fpgateway

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
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

// TestNoticesReachRegionOnce checks, for fleets of several sizes, that a notice reaches each other host
// of the region once and crosses to each other zone once, whatever the number of hosts.
func TestNoticesReachRegionOnce(t *testing.T) {
	for _, hostsPerZone := range []int{5, 50, 150} {
		t.Run(fmt.Sprint(hostsPerZone), func(t *testing.T) {
			is := is.New(t)
			zones := map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
			hosts := make(map[string]hostEntry)
			zoneOf := make(map[string]string)
			for zone, region := range zones {
				for i := range hostsPerZone {
					a := &net.UDPAddr{IP: net.IPv4(10, byte(len(hosts)>>8), byte(len(hosts)), 1), Port: 1}
					hosts[fmt.Sprint(zone, "-", i)] = hostEntry{region: region, zone: zone, address: a}
					zoneOf[a.String()] = zone
				}
			}
			snapshotOf := func(name string) *snapshot {
				s := Settings{Host: name, Place: fpbalance.Location{Zone: hosts[name].zone, Region: hosts[name].region}}.WithDefaults()
				c := newControlState(New(s, Dependencies{Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})}))
				c.hosts = hosts
				return c.buildSnapshot(time.Minute, false)
			}
			sender := snapshotOf("a1-0")
			received := make(map[string]int)
			for _, a := range sender.nearPeers {
				is.Equal(zoneOf[a.String()], "a1")
				received[a.String()]++
			}
			relays := sender.zoneRelays("key")
			is.Equal(len(relays), 2)
			for _, a := range relays {
				received[a.String()]++
				for name, h := range hosts {
					if h.address == a {
						for _, peer := range snapshotOf(name).nearPeers {
							received[peer.String()]++
						}
					}
				}
			}
			is.Equal(len(received), 3*hostsPerZone-1)
			for address, n := range received {
				is.Equal(n, 1)
				is.True(zones[zoneOf[address]] == "a")
			}
		})
	}
}
