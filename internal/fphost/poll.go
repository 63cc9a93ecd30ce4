package fphost

import (
	"context"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	// maxConcurrentPolls bounds the number of load reports that are fetched at the same time.
	maxConcurrentPolls = 16
)

// pollLoadReports fetches the upstreams' load reports at the interval of the settings.
func (h *Host) pollLoadReports(ctx context.Context) error {
	return runEvery(ctx, h.settings.Placement.Poll, func() { h.fetchLoadReports(ctx) })
}

// fetchLoadReports fetches the load report of every upstream once; cache stores have none.
func (h *Host) fetchLoadReports(ctx context.Context) {
	r, _ := h.follower.Replica()
	slots := make(chan struct{}, maxConcurrentPolls)
	var wg sync.WaitGroup
	for _, u := range r.Current().Document.Upstreams {
		if u.Kind == fpconfig.KindCacheStore {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l, err := h.upstreams.FetchLoad(ctx, u.Address)
			h.controlLoop.submitTask(ctx, func(c *controlState) { c.recordLoadReport(u.Name, l, err, time.Now()) })
		})
	}
	wg.Wait()
}
