package fpfresh

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProof(t *testing.T) {
	bounds := Bounds{Revoke: 5 * time.Second, Apply: 3 * time.Second}
	at := func(d time.Duration) Proof { return Proof{}.WithAnswer(d) }
	tests := map[string]struct {
		proof  Proof
		bounds Bounds
		now    time.Duration
		keys   bool
		denial bool
	}{
		"no proof":                          {Proof{}, bounds, time.Hour, false, false},
		"no proof, no bound":                {Proof{}, Bounds{}, time.Hour, true, false},
		"recent proof":                      {at(time.Minute), bounds, time.Minute + time.Second, true, true},
		"too old to deny":                   {at(time.Minute), bounds, time.Minute + 3*time.Second, true, false},
		"too old for keys":                  {at(time.Minute), bounds, time.Minute + 5*time.Second, false, false},
		"an earlier call is answered later": {at(time.Minute).WithAnswer(time.Second), bounds, time.Minute, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.proof.AllowsKeys(tt.bounds, tt.now), tt.keys)
			is.Equal(tt.proof.AllowsDenial(tt.bounds, tt.now), tt.denial)
		})
	}
}
