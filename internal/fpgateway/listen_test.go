package fpgateway_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHostWithoutItsPortEnds starts a host while another process has a port that it needs. It must say so and end, so
// that it is started again, rather than stand by without serving.
func TestHostWithoutItsPortEnds(t *testing.T) {
	for name, address := range map[string]func(*testCluster) string{
		"callers": func(tc *testCluster) string { return tc.hostSettings.CallersAddress },
		"ready":   func(tc *testCluster) string { return tc.hostSettings.ReadyAddress },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			l, err := net.Listen("tcp", address(tc))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			tc.startHost()
			select {
			case err := <-tc.runResult:
				tc.runResult <- err
				is.True(err != nil)
			case <-time.After(5 * time.Second):
				t.Fatal("the host goes on without its port")
			}
			is.True(strings.Contains(tc.logs.String(), "cannot listen"))
		})
	}
}
