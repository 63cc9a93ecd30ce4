package fphost

import (
	"context"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	// pollsAtOnce bounds the load reports that are read at the same time.
	pollsAtOnce = 16
)

// poll reads the upstreams' load reports at their pace.
func (h *Host) poll(ctx context.Context) error {
	return every(ctx, h.settings.Placement.Poll, func() { h.pollAll(ctx) })
}

func (h *Host) pollAll(ctx context.Context) {
	r, _ := h.follower.Replica()
	slots := make(chan struct{}, pollsAtOnce)
	var wg sync.WaitGroup
	for _, u := range r.Current().Document.Upstreams {
		if u.Kind == fpconfig.KindCacheStore {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l, err := h.upstreams.FetchLoad(ctx, u.Address)
			h.loop.post(ctx, func(c *control) { c.reported(u.Name, l, err, time.Now()) })
		})
	}
	wg.Wait()
}
