package fpgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// hostLease is the time to live of a host's entry.
	hostLease = 9 * time.Second
	// renewEvery is the pace of renewals; two may fail before the entry lapses.
	renewEvery = 3 * time.Second
	// registerRetry is the pause after a failed call.
	registerRetry = time.Second
	// storeTimeout bounds a call that is not a watch.
	storeTimeout = 1500 * time.Millisecond
)

// register keeps this host's entry in the store, by which the hosts count
// themselves to share the retry budget.
func (g *Gateway) register(ctx context.Context) error {
	lease := fpstore.Lease(0)
	for ctx.Err() == nil {
		next, err := g.renew(ctx, lease)
		pause := renewEvery
		if err != nil {
			pause = registerRetry
			g.log("host entry not renewed", "Error", err.Error())
		}
		lease = next
		fpclock.Sleep(ctx, pause)
	}
	return g.endLease(lease)
}

// renew renews the lease, or writes the entry under a new one.
func (g *Gateway) renew(ctx context.Context, lease fpstore.Lease) (fpstore.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		err := g.store.KeepAlive(ctx, lease)
		if !errors.Is(err, fpstore.ErrLeaseGone) {
			return lease, err
		}
	}
	lease, err := g.store.Grant(ctx, hostLease)
	if err != nil {
		return 0, err
	}
	_, err = g.store.Commit(ctx, fpstore.Transaction{
		Puts: []fpstore.Put{{Key: hostsPrefix + g.settings().Host, Value: []byte(g.settings().hostEntry()), Lease: lease}},
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// endLease gives a lease up at a planned stop; one that can't be given up lapses.
func (g *Gateway) endLease(lease fpstore.Lease) error {
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	if err := g.store.End(ctx, lease); err != nil {
		g.log("lease not given up", "Lease", int64(lease), "Error", err.Error())
	}
	return nil
}
