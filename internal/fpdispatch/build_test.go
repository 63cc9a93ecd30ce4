package fpdispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

// newBuildFixture returns a dispatcher with an engine for each of the software versions; the first is
// preferred to the second, and so on.
func newBuildFixture(t *testing.T, versions []string) *engineFixture {
	t.Helper()
	ef := newEngineFixture(t)
	ef.engines, ef.addresses = nil, nil
	ctx, cancel := context.WithCancel(context.Background())
	ef.stops = append(ef.stops, cancel)
	s := &fpstate.Snapshot{View: fproute.View{Zone: "z", Hosts: 1}}
	for i, v := range versions {
		name, address := fmt.Sprint("v", i), fmt.Sprintf("10.3.0.%d:80", i)
		e := fpstandin.NewEngine(fpstandin.EngineSettings{Name: name, Model: "tutor", Weights: "1", SoftwareVersion: v})
		go func() { _ = e.Run(ctx) }()
		ef.stops = append(ef.stops, ef.network.Serve(address, e.Handler()))
		ef.engines, ef.addresses = append(ef.engines, e), append(ef.addresses, address)
		s.View.Replicas = append(s.View.Replicas, fproute.Replica{
			Name: name, Address: address, Incarnation: 1, Zone: "z", Model: "tutor", Weights: "1", SoftwareVersion: v,
			PrefillRate: 20_000, RoundTripSeconds: float64(i),
		})
	}
	ef.state.Publish(s)
	return ef
}

// TestStreamJoinedFromTwoBuilds breaks an answer off and checks that only an engine whose process has the
// software version that began it goes on with it, and that it goes on where there is one.
func TestStreamJoinedFromTwoBuilds(t *testing.T) {
	crash := func(ef *engineFixture) { ef.engines[0].Crash() }
	restart := func(i int, version string) func(*engineFixture) {
		return func(ef *engineFixture) { ef.engines[i].SetSoftwareVersion(version) }
	}
	tests := map[string]struct {
		versions []string
		// before happens before the request, when placement has its reports; midway as text arrives.
		before, midway func(*engineFixture)
		want           fpoutcome.Kind
		// begun is the version that begins the answer.
		begun string
		runs  []int
	}{
		"only another version is free":              {[]string{"1", "2"}, nil, crash, fpoutcome.Failed, "1", []int{1, 0}},
		"only an engine without a version is free":  {[]string{"1", ""}, nil, crash, fpoutcome.Failed, "1", []int{1, 0}},
		"begun without a version, only one is free": {[]string{"", "1"}, nil, crash, fpoutcome.Failed, "", []int{1, 0}},
		"one of the same version is free":           {[]string{"1", "2", "1"}, nil, crash, fpoutcome.Complete, "1", []int{1, 0, 1}},
		"no engine tells a version":                 {[]string{"", ""}, nil, crash, fpoutcome.Complete, "", []int{1, 1}},
		"the other restarted since its report":      {[]string{"1", "1"}, restart(1, "2"), crash, fpoutcome.Failed, "1", []int{1, 1}},
		"the other restarted, a third is free":      {[]string{"1", "1", "1"}, restart(1, "2"), crash, fpoutcome.Complete, "1", []int{1, 1, 1}},
		"the first had restarted since its report":  {[]string{"1", "1", "2"}, restart(0, "2"), crash, fpoutcome.Complete, "2", []int{1, 0, 1}},
		"the first restarts and keeps the attempt": {[]string{"1", "2"}, nil, func(ef *engineFixture) {
			restart(0, "2")(ef)
			ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 1})
		}, fpoutcome.Failed, "1", []int{1, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				whole := newBuildFixture(t, []string{tt.begun})
				want := &collector{}
				whole.sendChat(context.Background(), want)
				whole.close()
				ef := newBuildFixture(t, tt.versions)
				defer ef.close()
				if tt.before != nil {
					tt.before(ef)
				}
				got := &collector{onText: onceAtLength(400, func() { tt.midway(ef) })}
				is.Equal(ef.sendChat(context.Background(), got).Outcome.Kind(), tt.want)
				is.True(got.text.Len() >= 400)
				is.True(strings.HasPrefix(want.text.String(), got.text.String()))
				is.Equal(got.text.Len() == want.text.Len(), tt.want == fpoutcome.Complete)
				for i, runs := range tt.runs {
					is.Equal(ef.engines[i].Counts().Runs["r"], runs)
				}
			})
		})
	}
}

// TestTextOfFormerBuildBuffered checks that text that one process sent behind a gap is not delivered after
// what another software version sent for the gap.
func TestTextOfFormerBuildBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		ef := newEngineFixture(t)
		defer ef.close()
		begin := func(w http.ResponseWriter, id, version string) {
			w.Header().Set(fpchat.AttemptHeader, id)
			w.Header().Set(fpchat.SoftwareHeader, version)
		}
		m := http.NewServeMux()
		m.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(fpchat.AttemptHeader)
			begin(w, id, "1")
			_ = fpchat.WriteEvent(w, fpchat.NewChunk(id, "tutor", 4, "old "))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		m.HandleFunc("GET /v1/attempts/{id}", func(w http.ResponseWriter, r *http.Request) {
			id := r.PathValue("id")
			begin(w, id, "2")
			_ = fpchat.WriteEvent(w, fpchat.NewChunk(id, "tutor", 0, "all "))
			_ = fpchat.WriteEvent(w, fpchat.NewChunk(id, "tutor", 4, "new "))
			_ = fpchat.WriteEvent(w, fpchat.NewFinalChunk(id, "tutor", 8, fpchat.Usage{}))
			_ = fpchat.WriteDone(w)
		})
		ef.stops = append(ef.stops, ef.network.Serve("10.4.0.1:80", m))
		ef.state.Publish(&fpstate.Snapshot{View: fproute.View{Zone: "z", Hosts: 1, Replicas: []fproute.Replica{
			{Name: "v", Address: "10.4.0.1:80", Incarnation: 1, Zone: "z", Model: "tutor", Weights: "1", PrefillRate: 20_000},
		}}})
		got := &collector{}
		is.Equal(ef.sendChat(context.Background(), got).Outcome.Kind(), fpoutcome.Complete)
		is.Equal(got.text.String(), "all new ")
	})
}

// grantingBroker grants every claim.
type grantingBroker struct{ ClaimBroker }

// Claim grants the claim.
func (grantingBroker) Claim(_ context.Context, c fpclaim.Claim) fpclaimant.ClaimResult {
	return fpclaimant.ClaimResult{Verdict: fpclaim.Granted, Holder: c}
}

// TestOneRunJoinedFromTwoBuilds checks that a non-idempotent answer that is broken off goes on at its engine,
// and is told as unknown once that engine has another software version.
func TestOneRunJoinedFromTwoBuilds(t *testing.T) {
	tests := map[string]struct {
		version string
		want    fpoutcome.Kind
	}{
		"same version":    {"1", fpoutcome.Complete},
		"another version": {"2", fpoutcome.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				ef := newBuildFixture(t, []string{"1", tt.version})
				defer ef.close()
				ef.dispatcher.broker = grantingBroker{}
				got := &collector{onText: onceAtLength(400, func() {
					ef.engines[0].SetSoftwareVersion(tt.version)
					ef.engines[0].SetFaults(fpstandin.Faults{CutAfterTokens: 1})
				})}
				q := AdmittedRequest{Team: "t", RequestID: "r", ReceivedAt: time.Now(), Deadline: time.Now()}
				req := fpchat.Request{Model: "tutor", MaxTokens: maxOutputTokens, Messages: []fpchat.Message{{Role: "user", Content: "why?"}}}
				result, _ := ef.dispatcher.DispatchChatOnce(context.Background(), q, req, fpconfig.Model{Name: "tutor", Weights: "1"}, got)
				is.Equal(result.Outcome.Kind(), tt.want)
				is.Equal(ef.engines[0].Counts().Resumes, 1)
				is.Equal(ef.engines[1].Counts().Requests, 0)
			})
		})
	}
}
