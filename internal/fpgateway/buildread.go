package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// buildReadTimeout bounds the read of the store for one take-up; the round trip between regions takes 60 ms.
	buildReadTimeout = 400 * time.Millisecond
	// registrationDelay is the time in which replicas register again in a store that was restored.
	registrationDelay = 3 * time.Second
)

var (
	errSeveralBuilds    = errors.New("several serve")
	errStoreUnreachable = errors.New("the store is out of reach")
	errRegistrationsDue = errors.New("replicas may not have registered again in the restored store")
	errUnknownReplica   = errors.New("a replica came and left unseen")
)

// registrationsDue reports whether a store that was restored at a time may still show registrations of before, or lack
// some.
func registrationsDue(restoredAt, now time.Duration) bool {
	return restoredAt > 0 && now-restoredAt < registrationDelay
}

// readBuilds returns the software versions in service by service, as the store shows them now. It changes no
// state: the same changes reach the control goroutine through the follower, in order.
func (g *Gateway) readBuilds() (map[string][]string, error) {
	s := g.snapshot.Load()
	switch _, listed := s.proof.Age(g.clock()); {
	case !listed || s.storeUnreachable:
		return nil, errStoreUnreachable
	case registrationsDue(s.restoredAt, g.clock()):
		return nil, errRegistrationsDue
	}
	g.metrics.AddToCounter("software_version_reads", 1)
	ctx, cancel := context.WithTimeout(context.Background(), buildReadTimeout)
	defer cancel()
	items, p, err := g.store.Watch(ctx, "", s.position.Revision, 0)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read the store")
	case p.Incarnation != s.position.Incarnation:
		return nil, fpstore.ErrRestored
	}
	return s.buildsAfter(items, g.dialect)
}

// buildsAfter returns the software versions in service after changes of the store that the snapshot lacks.
func (s *snapshot) buildsAfter(items []fpstore.Item, d Dialect) (map[string][]string, error) {
	out := make(map[string][]string, len(s.builds))
	for service, list := range s.builds {
		out[service] = slices.Clone(list)
	}
	seen := make(map[string]bool)
	add := func(service, build string) {
		if !slices.Contains(out[service], build) {
			out[service] = append(out[service], build)
		}
	}
	for _, i := range items {
		if isBuildKey(i.Key) {
			if o, err := unmarshalOrigin(i.Value); err == nil && !i.Deleted {
				add(o.Service, o.Build)
			}
			continue
		}
		decoded, err := d.DecodeItem(i)
		switch {
		case err != nil:
		case decoded.Replica != nil:
			seen[decoded.Replica.ID] = true
			add(decoded.Replica.Service, decoded.Replica.Build)
		case decoded.RemovedReplica != "":
			if _, known := s.registration(decoded.RemovedReplica); !known && !seen[decoded.RemovedReplica] {
				return nil, errUnknownReplica
			}
		}
	}
	return out, nil
}
