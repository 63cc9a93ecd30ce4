package fpplatform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/internal/fpstore/fpstoretest"
)

const (
	unlimitedCalls = 1 << 20
)

// TestClient runs the conformance tests of fpstore.Store on the client and a simulated service.
func TestClient(t *testing.T) {
	fpstoretest.Run(t, func(t *testing.T) (fpstore.Store, fpstoretest.Control) {
		p := fpstandin.NewPlatform()
		refused := false
		h := p.Handler()
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refused {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			h.ServeHTTP(w, r)
		}))
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return fpplatform.NewClient(s.Listener.Addr().String()), fpstoretest.Control{
			MinLeaseTTL: time.Second,
			Compact:     p.Store.Compact,
			SetRefusing: func(on bool) { refused = on },
			SetSilent:   func(on bool) { p.SetFaults(fpstandin.Faults{Silent: on}) },
			SetLosingResponses: func(on bool) {
				p.SetFaults(fpstandin.Faults{LoseAnswers: map[bool]int{true: unlimitedCalls}[on]})
			},
		}
	})
}

// TestMalformedAnswers runs the conformance test of fpstore.Store for bytes that are no answer.
func TestMalformedAnswers(t *testing.T) {
	fpstoretest.RunMalformed(t, func(address string) fpstore.Store { return fpplatform.NewClient(address) })
}
