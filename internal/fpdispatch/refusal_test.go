package fpdispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

// TestEarlierRefusalAgain checks that a refusal that an engine writes once more on a kept connection
// is no proof for the request that it runs there: no second engine runs it.
func TestEarlierRefusalAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ef := newEngineFixture(t)
		defer ef.close()
		_, err := ef.client.FetchLoad(context.Background(), ef.addresses[0])
		is.NoErr(err)
		ef.engines[0].SetFaults(fpstandin.Faults{RepeatRefusals: 1})
		is.Equal(ef.sendChat(context.Background(), &collector{}).Outcome.Kind(), fpoutcome.Complete)
		is.Equal(ef.engines[0].Counts().Requests, 1)
		is.Equal(ef.engines[1].Counts().Requests, 0)
	})
}
