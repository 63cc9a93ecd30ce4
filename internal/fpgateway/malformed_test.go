package fpgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
)

// replaceServiceReplica has the first replica of the plain service answer each request with what answer writes.
func (tc *testCluster) replaceServiceReplica(answer func(c net.Conn, r *http.Request)) {
	entry := tc.serviceReplicas[0].Registration("ready")
	entry["address"] = fpconntest.Serve(tc.t, answer)
	tc.store.Put("servers/"+tc.serviceReplicas[0].ID, entry)
}

// TestMalformedAnswer checks that a caller gets no answer that is none in the protocol: an idempotent request goes to
// another replica, and the caller is told that a non-idempotent one failed.
func TestMalformedAnswer(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := prepareTestCluster(t)
			tc.store.Put("op/config", configDocument(1))
			asked := make(chan string, 100)
			tc.replaceServiceReplica(func(c net.Conn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				asked <- r.URL.Path
				_, _ = fmt.Fprintf(c, text, "Attempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nReplica-Signature: odd\r\n")
			})
			tc.startHost()
			tc.waitFor(tc.isReady, "ready")
			for range 4 {
				r := tc.sendRequest("read", nil)
				requireNoError(t, r)
				is.Equal(r.status, http.StatusOK)
				is.True(r.header.Get("Replica-Signature") != "odd")
			}
			for n := 0; n < 20 && len(asked) < 4; n++ {
				r := tc.sendRequest("call", nil)
				requireNoError(t, r)
				is.True(r.status == http.StatusOK || r.status == http.StatusBadGateway)
				is.True(r.header.Get("Replica-Signature") != "odd")
			}
			is.True(len(asked) > 0)
		})
	}
}

// TestAnswerResetDuringRequest checks that an answer without a length that a reset cuts, while the request is still
// being sent, reaches no caller as a whole one.
func TestAnswerResetDuringRequest(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	tc.hostSettings.MemoryBytes = 200 << 20
	document := configDocument(1)
	document["limits"].(map[string]any)["max_body_bytes"] = 8 << 20
	tc.store.Put("op/config", document)
	tc.replaceServiceReplica(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Signature: odd\r\n\r\na part", r.Header.Get("Attempt-Id"))
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	tc.startHost()
	tc.waitFor(tc.isReady, "ready")
	body := strings.Repeat("x", 8<<20-1)
	for range 8 {
		r := tc.sendRequest("call", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		})
		requireNoError(t, r)
		is.True(!strings.Contains(r.body, "a part"))
	}
}
