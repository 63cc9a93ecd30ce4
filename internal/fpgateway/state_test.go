package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestProofInStep checks that a picture for traffic holds the proof of its own
// catalog: with a newer one a key that was just taken away would be accepted.
func TestProofInStep(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Parts{Clock: fpclock.Boot, Log: fplog.NewQueue(&bytes.Buffer{})})
	c := newControl(g)
	before := c.snapshot(time.Minute, false)
	c.update(fpstore.Update{Sent: time.Minute}, time.Minute)
	_, known := before.proof.Age(time.Minute)
	is.True(!known)
	age, known := c.snapshot(time.Minute, false).proof.Age(time.Minute + time.Second)
	is.True(known)
	is.Equal(age, time.Second)
	c.update(fpstore.Update{Sent: 2 * time.Minute, Err: fpstore.ErrRefused}, 2*time.Minute)
	age, _ = c.snapshot(2*time.Minute, false).proof.Age(2 * time.Minute)
	is.Equal(age, time.Minute)
}
