package fpfeed

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestMessagesOfFormerBuild reads a request and a response as the build of 7c711f0 writes them, and checks that this
// build writes the same for the same content.
func TestMessagesOfFormerBuild(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/7c711f0.json")
	is.NoErr(err)
	var messages struct {
		Request  changesRequest  `json:"request"`
		Response changesResponse `json:"response"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	is.NoErr(d.Decode(&messages))
	is.Equal(len(messages.Response.Items), 2)
	written, err := json.Marshal(messages)
	is.NoErr(err)
	var compact bytes.Buffer
	is.NoErr(json.Compact(&compact, data))
	is.Equal(string(written), compact.String())
}
