package fpgateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

const (
	// storeBuildsInterval is the interval at which the store's software versions are checked.
	storeBuildsInterval = 200 * time.Millisecond
	// buildsPerTransaction is below the store's limit.
	buildsPerTransaction = 24
	// buildRewriteDelay is the time after which an entry is written again that the store does not show.
	buildRewriteDelay = 10 * time.Second
	// maxLeaseTTL is the longest lease that the store grants.
	maxLeaseTTL = 10 * time.Minute
)

type (
	// buildKeeper keeps the software versions of registered replicas in the store while this host holds
	// the order lease, under a lease that outlasts the last replica and the hosts. The writes are not
	// conditional: those of a former holder do no more than end an entry early, which is then written anew.
	buildKeeper struct {
		gateway   *Gateway
		lease     fpstore.LeaseID
		ttl       time.Duration
		renewedAt time.Duration
		// written holds when each entry was written under the lease, by key.
		written map[string]time.Duration
	}
)

// buildLeaseTTL returns a time to live of which leaseRenewDivisor-1 parts, which are left before a renewal,
// last for as long as streams may be taken up.
func (g *Gateway) buildLeaseTTL(s *snapshot) time.Duration {
	ttl := buildRetention(s.catalog) * leaseRenewDivisor / (leaseRenewDivisor - 1)
	return min(max(ttl, g.settings().MinLeaseTTL), maxLeaseTTL)
}

// storeBuilds keeps the software versions in the store until the context ends.
func (g *Gateway) storeBuilds(ctx context.Context) error {
	k := &buildKeeper{gateway: g}
	for fpclock.Sleep(ctx, storeBuildsInterval) {
		if err := k.keep(ctx, g.snapshot.Load()); err != nil && ctx.Err() == nil {
			g.log("software versions not stored", "Error", err.Error())
			fpclock.Sleep(ctx, hostLeaseRetryPause)
		}
	}
	return nil
}

// keep renews the entries and writes those that are missing. An entry whose version is no longer registered
// stays under its lease, which is left to run out, while the others move to a new one.
func (k *buildKeeper) keep(ctx context.Context, s *snapshot) error {
	g := k.gateway
	if s.orderLeaseHolder != g.settings().Host {
		k.lease = fpstore.LeaseID{}
		return nil
	}
	if s.catalog == nil || s.storeUnreachable {
		return nil
	}
	wanted := make(map[string]fporigin.Origin)
	for o := range s.registeredBuilds {
		wanted[buildKey(o)] = o
	}
	if err := k.ensureLease(ctx, s, wanted); err != nil {
		return err
	}
	return k.writeMissing(ctx, s, wanted)
}

// ensureLease renews the lease, or grants a new one under which nothing is written yet.
func (k *buildKeeper) ensureLease(ctx context.Context, s *snapshot, wanted map[string]fporigin.Origin) error {
	g := k.gateway
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	now := g.clock()
	ttl := g.buildLeaseTTL(s)
	usable := k.lease != (fpstore.LeaseID{}) && k.lease.Incarnation >= s.incarnation && k.ttl == ttl
	for key := range k.written {
		_, registered := wanted[key]
		usable = usable && registered
	}
	if usable && now-k.renewedAt < ttl/leaseRenewDivisor {
		return nil
	}
	if usable {
		err := g.store.RenewLease(ctx, k.lease)
		if err == nil {
			k.renewedAt = now
		}
		if !errors.Is(err, fpstore.ErrLeaseNotFound) {
			return err
		}
	}
	k.lease, k.written = fpstore.LeaseID{}, nil
	if len(wanted) == 0 {
		return nil
	}
	lease, err := g.store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	k.lease, k.ttl, k.renewedAt, k.written = lease, ttl, now, make(map[string]time.Duration)
	return nil
}

// writeMissing writes the entries that are not under the lease, or that the store does not show.
func (k *buildKeeper) writeMissing(ctx context.Context, s *snapshot, wanted map[string]fporigin.Origin) error {
	g := k.gateway
	now := g.clock()
	var puts []fpstore.Put
	for key, o := range wanted {
		at, written := k.written[key]
		if _, stored := s.storedBuilds[key]; written && (stored || now-at < buildRewriteDelay) {
			continue
		}
		value, err := json.Marshal(o)
		if err != nil {
			return errors.Wrap(err, "encode a software version")
		}
		puts = append(puts, fpstore.Put{Key: key, Value: value, Lease: k.lease})
	}
	for part := range slices.Chunk(puts, buildsPerTransaction) {
		if err := k.commit(ctx, part); err != nil {
			return err
		}
		for _, p := range part {
			k.written[p.Key] = now
		}
	}
	return nil
}

func (k *buildKeeper) commit(ctx context.Context, puts []fpstore.Put) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := k.gateway.store.Commit(ctx, fpstore.Transaction{Puts: puts})
	if errors.Is(err, fpstore.ErrLeaseNotFound) {
		k.lease = fpstore.LeaseID{}
	}
	return err
}
