package fphost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fppipe"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fporder"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

// TestOrderAfterPauseOfHolder checks that an engine that judges orders by their deadline refuses one whose
// sender was paused, until after its lease, between the check of the lease and sending.
func TestOrderAfterPauseOfHolder(t *testing.T) {
	tests := map[string]struct {
		pause   time.Duration
		loading bool
	}{
		"no pause":               {0, true},
		"pause beyond the lease": {fporder.LeaseTTL, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var network fppipe.Network
				engine := fpstandin.NewEngine(fpstandin.EngineSettings{Name: "e", Model: "m", Weights: "1", ChecksFencing: true})
				stop := network.Serve("e:80", engine.Handler())
				client := fpupstream.NewClient(fpupstream.Settings{Dialer: network.Dial})
				defer func() {
					client.Close()
					stop()
					time.Sleep(time.Minute)
				}()
				h := &Host{settings: fpsetting.Settings{}, upstreams: client, records: fprecord.NewRing(10)}
				began := time.Now()
				r := &rolloutRunner{
					host: h,
					clock: func() time.Duration {
						now := time.Since(began)
						time.Sleep(tt.pause)
						return now
					},
					lease: fporder.Lease{FencingToken: 7, AcquiredAt: -fporder.TakeoverDelay, ExpiresAt: fporder.LeaseTTL},
				}
				s := &fpstate.Snapshot{Config: fpconfig.Versioned{Document: fpconfig.Document{
					Upstreams: []fpconfig.Upstream{{Name: "e", Kind: fpconfig.KindEngine, Address: "e:80"}},
				}}}
				r.sendOrder(context.Background(), s, fporder.Replica{Name: "e", WantedWeights: "2"})
				report, err := client.FetchLoad(context.Background(), "e:80")
				is.NoErr(err)
				is.Equal(report.Weights == "2" || report.Loading, tt.loading)
			})
		})
	}
}
