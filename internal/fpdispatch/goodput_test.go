package fpdispatch

import (
	"testing"

	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	goodputSeeds = 40
	// minGoodput is the share of calls that must complete while at least one host can reach the
	// platform.
	minGoodput = 0.99
)

// TestGoodput reports the outcomes of calls under each fault alone. Under faults that leave the
// platform reachable from some host, it checks the share of completed calls against minGoodput.
func TestGoodput(t *testing.T) {
	tests := map[string]struct {
		faults   []string
		minShare float64
	}{
		"healthy":                     {nil, minGoodput},
		"host cut off from the store": {[]string{"host cut off from the store"}, minGoodput},
		"store answer lost":           {[]string{"store answer lost"}, minGoodput},
		"host frozen":                 {[]string{"host frozen"}, 0},
		"host killed":                 {[]string{"host killed"}, 0},
		"store write delayed":         {[]string{"store write delayed"}, 0},
		"platform down for 3 s":       {[]string{"platform down for 3 s"}, 0},
		"platform down for 20 s":      {[]string{"platform down for 20 s"}, 0},
		"platform slow":               {[]string{"platform slow"}, 0},
		"host isolated":               {[]string{"host isolated"}, 0},
		"service connection silent":   {[]string{"service connection silent"}, minGoodput},
		"service answer mismatched":   {[]string{"service answer mismatched"}, minGoodput},
		"service answer lost":         {[]string{"service answer lost"}, minGoodput},
		"service refuses connections": {[]string{"service refuses connections"}, 0},
		"replica lost while running":  {[]string{"replica lost while running"}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counts := make(map[fpoutcome.Kind]int)
			total := 0
			for seed := range uint64(goodputSeeds) {
				for _, c := range runSeed(t, seed, 3, tt.faults).calls {
					counts[c.result.Outcome.Kind()]++
					total++
				}
			}
			t.Logf("%s: %d calls: %.1f %% complete, %.1f %% not run, %.1f %% unknown", name, total,
				percent(counts[fpoutcome.Complete], total), percent(counts[fpoutcome.NotRun], total), percent(counts[fpoutcome.Unknown], total))
			if got := percent(counts[fpoutcome.Complete], total); got < 100*tt.minShare {
				t.Errorf("%.2f %% complete, target %.0f %%", got, 100*tt.minShare)
			}
		})
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }
