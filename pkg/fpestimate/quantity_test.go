package fpestimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// warmUpSamples is the few dozen samples that have to outweigh a wrong prior.
	warmUpSamples = 36
	// maxError bounds the logarithm of an estimate's ratio to the truth after them: a quarter.
	maxError = 0.223
)

// TestQuantityOutweighsPrior checks that a few dozen samples with noise, a fifth of them from slow
// replicas, bring an estimate within a quarter of the truth from a prior that is wrong by four times either way.
func TestQuantityOutweighsPrior(t *testing.T) {
	for name, ratio := range map[string]float64{"prior four times too high": 4, "prior right": 1, "prior four times too low": 0.25} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				random := rand.New(rand.NewPCG(seed, 1))
				const truth = 64_000.0
				q := Quantity{}
				for range warmUpSamples {
					sample := truth * math.Exp(0.2*random.NormFloat64())
					if random.Float64() < 0.1 {
						sample /= 10
					} else if random.Float64() < 0.1 {
						sample *= 3
					}
					var err error
					q, err = q.WithSample(sample, truth*ratio)
					if err != nil {
						t.Fatal(err)
					}
				}
				if off := math.Abs(math.Log(q.Value(0) / truth)); off > maxError {
					t.Errorf("seed %d: estimate %.0f of %.0f", seed, q.Value(0), truth)
				}
			}
		})
	}
}

// TestQuantityRefusesSamples checks that a sample that can't be leaves the estimate as it was.
func TestQuantityRefusesSamples(t *testing.T) {
	tests := map[string]struct {
		sample float64
		want   error
	}{
		"zero":           {0, ErrNotPositive},
		"negative":       {-3, ErrNotPositive},
		"not a number":   {math.NaN(), ErrNotPositive},
		"infinite":       {math.Inf(1), ErrNotPositive},
		"far too large":  {1e12, ErrImplausible},
		"far too small":  {1e-12, ErrImplausible},
		"overflowed int": {float64(math.MinInt64), ErrNotPositive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, err := Quantity{}.WithSample(2, 1)
			is.NoErr(err)
			after, err := before.WithSample(tt.sample, 1)
			is.True(errors.Is(err, tt.want))
			is.Equal(after, before)
		})
	}
}

// TestQuantityStaysPositive checks that no sequence of samples makes an estimate zero, negative or
// infinite.
func TestQuantityStaysPositive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prior := rapid.Float64Range(1e-6, 1e9).Draw(t, "prior")
		q := Quantity{}
		for range rapid.IntRange(0, 50).Draw(t, "count") {
			q, _ = q.WithSample(rapid.Float64().Draw(t, "sample"), prior)
			if v := q.Value(prior); !(v > 0) || math.IsInf(v, 0) {
				t.Fatalf("the estimate is %v", v)
			}
		}
	})
}

func ExampleQuantity() {
	const priorSeconds = 1.0
	var load Quantity
	for range 30 {
		load, _ = load.WithSample(0.3, priorSeconds)
	}
	fmt.Printf("%.2f s after %d samples\n", load.Value(priorSeconds), load.Samples())
	// Output: 0.30 s after 30 samples
}
