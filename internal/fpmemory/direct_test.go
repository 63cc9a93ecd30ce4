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
		d := fpmemory.Direct{Store: s, Reach: func(ctx context.Context, write bool) (bool, error) {
			switch {
			case refusing:
				return false, fpstore.ErrRefused
			case silent:
				<-ctx.Done()
				return false, fpstore.ErrUnsettled
			case losing && write:
				return true, fpstore.ErrUnsettled
			}
			return true, nil
		}}
		return d, fpstoretest.Control{
			Lease:   200 * time.Millisecond,
			Compact: s.Compact,
			Refuse:  func(on bool) { refusing = on },
			Silence: func(on bool) { silent = on },
			Lose:    func(on bool) { losing = on },
		}
	})
}
