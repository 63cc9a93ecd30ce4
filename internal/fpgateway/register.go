package fpgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// hostLeaseTTL is the time to live of a host's entry.
	hostLeaseTTL = 9 * time.Second
	// hostLeaseRenewInterval is the interval of renewals; two may fail before the entry expires.
	hostLeaseRenewInterval = 3 * time.Second
	// hostLeaseRetryPause is the pause after a failed renewal.
	hostLeaseRetryPause = time.Second
	// storeCallTimeout bounds a call that is not a watch.
	storeCallTimeout = 1500 * time.Millisecond
)

// maintainHostEntry keeps this host's entry in the store. The hosts share the retry budget by
// the number of entries.
func (g *Gateway) maintainHostEntry(ctx context.Context) error {
	var lease fpstore.LeaseID
	for ctx.Err() == nil {
		next, err := g.renewHostEntry(ctx, lease)
		pause := hostLeaseRenewInterval
		if err != nil {
			pause = hostLeaseRetryPause
			g.log("host entry not renewed", "Error", err.Error())
		}
		lease = next
		fpclock.Sleep(ctx, pause)
	}
	return g.revokeLease(lease)
}

// renewHostEntry renews the lease, or writes the entry under a new lease.
func (g *Gateway) renewHostEntry(ctx context.Context, lease fpstore.LeaseID) (fpstore.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if lease != (fpstore.LeaseID{}) {
		err := g.store.RenewLease(ctx, lease)
		if !errors.Is(err, fpstore.ErrLeaseNotFound) {
			return lease, err
		}
	}
	lease, err := g.store.GrantLease(ctx, hostLeaseTTL)
	if err != nil {
		return fpstore.LeaseID{}, err
	}
	_, err = g.store.Commit(ctx, fpstore.Transaction{
		Puts: []fpstore.Put{{Key: hostKeyPrefix + g.settings().Host, Value: []byte(g.settings().encodeHostEntry()), Lease: lease}},
	})
	if err != nil {
		return fpstore.LeaseID{}, err
	}
	return lease, nil
}

// revokeLease revokes a lease at a planned stop; if that fails, the lease expires.
func (g *Gateway) revokeLease(lease fpstore.LeaseID) error {
	if lease == (fpstore.LeaseID{}) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin)
	defer cancel()
	if err := g.store.RevokeLease(ctx, lease); err != nil {
		g.log("lease not revoked", "Lease", lease.Number, "Error", err.Error())
	}
	return nil
}
