package fpmemory_test

import (
	"context"
	"testing"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/internal/fpstore/fpstoretest"
)

// TestDirect runs the conformance tests of fpstore.Store on the in-memory store.
func TestDirect(t *testing.T) {
	fpstoretest.Run(t, func(*testing.T) (fpstore.Store, fpstoretest.Control) {
		s := fpmemory.New()
		var refusing, silent, losing bool
		d := fpmemory.Direct{Store: s, BeforeCall: func(ctx context.Context, write bool) (bool, error) {
			switch {
			case refusing:
				return false, fpstore.ErrRefused
			case silent:
				<-ctx.Done()
				return false, fpstore.ErrOutcomeUnknown
			case losing && write:
				return true, fpstore.ErrOutcomeUnknown
			}
			return true, nil
		}}
		return d, fpstoretest.Control{
			MinLeaseTTL:        200 * time.Millisecond,
			Compact:            s.Compact,
			SetRefusing:        func(on bool) { refusing = on },
			SetSilent:          func(on bool) { silent = on },
			SetLosingResponses: func(on bool) { losing = on },
		}
	})
}
