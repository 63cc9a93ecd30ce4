package fpnotice

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestNoticesOfFormerBuild reads the notices that the build of 7c711f0 writes, and checks that this build writes the same
// for the same content: hosts of both builds serve side by side during an upgrade.
func TestNoticesOfFormerBuild(t *testing.T) {
	data, err := os.ReadFile("testdata/7c711f0.json")
	is.New(t).NoErr(err)
	var samples map[string]json.RawMessage
	is.New(t).NoErr(json.Unmarshal(data, &samples))
	for name, sample := range samples {
		t.Run(name, func(t *testing.T) {
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
