package fpnotice

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestNoticesOfFormerBuild reads the notices that former builds write, and checks that this build writes the same
// for the same content: hosts of both builds serve side by side during an upgrade.
func TestNoticesOfFormerBuild(t *testing.T) {
	for _, build := range []string{"7c711f0", "3096b97", "1eb6711"} {
		data, err := os.ReadFile("testdata/" + build + ".json")
		is.New(t).NoErr(err)
		var samples map[string]json.RawMessage
		is.New(t).NoErr(json.Unmarshal(data, &samples))
		for name, sample := range samples {
			t.Run(build+" "+name, func(t *testing.T) {
				is := is.New(t)
				var compact bytes.Buffer
				is.NoErr(json.Compact(&compact, sample))
				d := json.NewDecoder(bytes.NewReader(sample))
				d.DisallowUnknownFields()
				var n Notice
				is.NoErr(d.Decode(&n))
				written, err := json.Marshal(n)
				is.NoErr(err)
				is.Equal(string(written), compact.String())
			})
		}
	}
}

// TestInferredBuildAtFormerBuild reads a notice of an inferred software version as the build of 3096b97 does, which has to
// take it for unknown.
func TestInferredBuildAtFormerBuild(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(Notice{Host: "h1", Origins: &StreamOrigins{
		Service: "s", Build: "?", IDs: []string{"a"}, Inferred: &InferredBuild{Build: "v1", Replica: "r", StartUnixMilli: 7, AgeMs: 40},
	}})
	is.NoErr(err)
	var n struct {
		Host    string
		Origins *struct {
			Service string
			Build   string
			IDs     []string
		}
	}
	is.NoErr(json.Unmarshal(data, &n))
	is.Equal(n.Origins.Build, "?")
	is.Equal(n.Origins.IDs, []string{"a"})
}

// TestNoticesAtFormerBuild reads notices of this build as that of 1eb6711 does, which has no survivals and does not know
// relayed origins.
func TestNoticesAtFormerBuild(t *testing.T) {
	tests := map[string]Notice{
		"survivals": {Host: "h1", Survived: &PartsSurvived{Begun: true, IDs: []string{"p"}, SentAgesMs: []int64{900}, LivedMs: []int64{800}}},
		"relayed":   {Host: "h1", Origins: &StreamOrigins{Service: "s", Build: "v1", IDs: []string{"a"}, Relayed: true}},
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := json.Marshal(sent)
			is.NoErr(err)
			var n struct {
				Host     string
				Answered *struct{ IDs []string }
				Crash    *struct{ Replica string }
				Origins  *struct {
					Service string
					Build   string
					IDs     []string
				}
			}
			is.NoErr(json.Unmarshal(data, &n))
			is.True(n.Answered == nil && n.Crash == nil) // no evidence of another kind
			if sent.Origins == nil {
				is.True(n.Origins == nil)
				return
			}
			is.Equal(n.Origins.Build, "v1")
			is.Equal(n.Origins.IDs, []string{"a"})
		})
	}
}
