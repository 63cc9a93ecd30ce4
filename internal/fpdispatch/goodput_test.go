package fpdispatch

import (
	"testing"

	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	goodputSeeds = 40
	// minGoodput is the share of calls that must succeed while the platform can be reached by any host.
	minGoodput = 0.99
)

// TestGoodput reports what becomes of calls under each trouble alone, and holds
// those under which some host still reaches the platform to the target.
func TestGoodput(t *testing.T) {
	tests := map[string]struct {
		trouble []string
		bound   float64
	}{
		"healthy":         {nil, minGoodput},
		"cut from store":  {[]string{"cut from store"}, minGoodput},
		"answer lost":     {[]string{"answer lost"}, minGoodput},
		"host frozen":     {[]string{"host frozen"}, 0},
		"host killed":     {[]string{"host killed"}, 0},
		"write late":      {[]string{"write late"}, 0},
		"platform down":   {[]string{"platform down"}, 0},
		"platform out":    {[]string{"platform out"}, 0},
		"platform slow":   {[]string{"platform slow"}, 0},
		"cut from all":    {[]string{"cut from all"}, 0},
		"silent":          {[]string{"silent"}, minGoodput},
		"answer crossed":  {[]string{"answer crossed"}, minGoodput},
		"reply lost":      {[]string{"reply lost"}, minGoodput},
		"service refused": {[]string{"service refused"}, 0},
		"service gone":    {[]string{"service gone"}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counts := make(map[fpoutcome.Kind]int)
			total := 0
			for seed := range uint64(goodputSeeds) {
				for _, c := range play(t, seed, 3, tt.trouble).calls {
					counts[c.result.Outcome.Kind()]++
					total++
				}
			}
			t.Logf("%s: %d calls: %.1f %% complete, %.1f %% not run, %.1f %% unknown", name, total,
				percent(counts[fpoutcome.Complete], total), percent(counts[fpoutcome.NotRun], total), percent(counts[fpoutcome.Unknown], total))
			if got := percent(counts[fpoutcome.Complete], total); got < 100*tt.bound {
				t.Errorf("%.2f %% complete, target %.0f %%", got, 100*tt.bound)
			}
		})
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }
