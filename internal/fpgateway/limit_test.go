package fpgateway_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestLogsNamedLimit checks that the limit that a replica names, and its end, are logged once, and that
// the caller sees the replica's header.
func TestLogsNamedLimit(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.serviceReplicas[1].Close()
	tc.store.Delete("servers/s2")
	tc.waitFor(func() bool { return tc.linesWith("replica entry deleted") != "" }, "one replica left")
	tc.serviceReplicas[0].SetLimit("50.5")
	r := tc.sendRequest("call", nil)
	is.Equal(r.header.Get("Server-Limit"), "50.5")
	is.Equal(tc.sendRequest("call", nil).status, 200)
	tc.serviceReplicas[0].SetLimit("")
	is.Equal(tc.sendRequest("call", nil).status, 200)
	tc.waitFor(func() bool { return tc.linesWith("replica limit changed") != "" }, "logged")
	tc.waitFor(func() bool { return tc.linesWith(`"Named":false`) != "" }, "its end logged")
	is.Equal(countLines(tc.linesWith("replica limit changed")), 2)
}
