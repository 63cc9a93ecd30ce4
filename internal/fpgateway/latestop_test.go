package fpgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestRequestLateInPlannedStop sends requests whose bodies end at a time after the planned stop of their host, to
// replicas that never answer. One that comes too late to be answered must not be passed on, and no other may be cut
// without an answer.
func TestRequestLateInPlannedStop(t *testing.T) {
	const grace, end = 4 * time.Second, 3500 * time.Millisecond
	tests := map[string]struct {
		route string
		// after is when the body ends, since the stop.
		after  time.Duration
		status int
		ran    bool
	}{
		"call, early":   {route: "call", after: 100 * time.Millisecond, status: http.StatusBadGateway, ran: true},
		"call, late":    {route: "call", after: end - 400*time.Millisecond, status: http.StatusServiceUnavailable},
		"stream, early": {route: "hint", after: 100 * time.Millisecond, status: http.StatusBadGateway, ran: true},
		"stream, late":  {route: "hint", after: end - 400*time.Millisecond, status: http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.hostSettings.GracePeriod = grace
			d := configDocument(1)
			for _, r := range d["routes"].([]any) {
				r.(map[string]any)["timeout_ms"] = 20_000
			}
			tc.store.Put("op/config", d)
			tc.startHost()
			tc.waitFor(tc.isReady, "ready")
			tc.queueBehaviours(fpfake.Silent, fpfake.Silent)
			conn, err := net.Dial("tcp", tc.hostSettings.CallersAddress)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nAuthorization: Token key\r\nDeadline-Ms: 20000\r\n"+
				"Model: m\r\nToken-Usage: 1500,20\r\nPrompt-Prefix: aa:1200,bb:300\r\nContent-Length: 4\r\n\r\nbo", tt.route)
			is.NoErr(err)
			fpclock.Sleep(context.Background(), 100*time.Millisecond)
			tc.cancel()
			fpclock.Sleep(context.Background(), tt.after)
			_, err = io.WriteString(conn, "dy")
			is.NoErr(err)
			sent := time.Now()
			res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
			is.NoErr(err) // an answer, not the end of the connection
			_ = res.Body.Close()
			t.Logf("status %d after %v, %d runs", res.StatusCode, time.Since(sent), len(tc.allRuns()))
			is.Equal(res.StatusCode, tt.status)
			is.Equal(len(tc.allRuns()) > 0, tt.ran)
		})
	}
}
