package fpgateway_test

import (
	"slices"
	"testing"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestCacheEventsSkippedInNewEpoch restarts a replica's cache events in a new epoch with more events than were
// read of the one before. The new ones must be read from the first.
func TestCacheEventsSkippedInNewEpoch(t *testing.T) {
	tc := newTestCluster(t)
	e := tc.engines[0]
	polled := func(p fpfake.EventPoll) func() bool {
		return func() bool { return slices.Contains(e.EventPolls(), p) }
	}
	e.SetCacheEvents(1, 3)
	tc.waitFor(polled(fpfake.EventPoll{Epoch: 1, Since: 3}), "the events of the first epoch")
	e.SetCacheEvents(2, 5)
	tc.waitFor(polled(fpfake.EventPoll{Epoch: 2, Since: 0}), "the new epoch from its first event")
	tc.waitFor(polled(fpfake.EventPoll{Epoch: 2, Since: 5}), "the events of the new epoch")
}
