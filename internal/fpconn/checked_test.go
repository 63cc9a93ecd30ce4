package fpconn

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
)

// TestMalformedAnswer checks that bytes that are no answer in the protocol are none to a call.
func TestMalformedAnswer(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.SinceBoot, nil)
			defer p.Close()
			address := fpconntest.ServeText(t, fmt.Sprintf(text, "Id: 0\r\n"))
			_, _, err := doCall(p, newCall(address, "0", "body"))
			is.True(errors.Is(err, ErrIncompleteResponse))
		})
	}
}
