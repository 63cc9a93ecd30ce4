package fpstoretest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	silenceTimeout = 300 * time.Millisecond
)

type (
	// Control injects faults into the store under test.
	Control struct {
		// MinLeaseTTL is the shortest time to live that the store grants.
		MinLeaseTTL time.Duration
		// Compact drops the store's history.
		Compact func()
		// SetRefusing makes the store reject all calls without executing them.
		SetRefusing func(on bool)
		// SetSilent makes the store neither execute nor answer any call.
		SetSilent func(on bool)
		// SetLosingResponses makes the store execute writes and lose their responses.
		SetLosingResponses func(on bool)
	}
)

// Run runs each conformance test on a new store.
func Run(t *testing.T, open func(*testing.T) (fpstore.Store, Control)) {
	tests := map[string]func(context.Context, *is.I, fpstore.Store, Control){
		"read and write":             testReadAndWrite,
		"conditions":                 testConditions,
		"pagination":                 testPagination,
		"watch":                      testWatch,
		"watch of an expiring lease": testWatchLeaseExpiry,
		"compacted history":          testCompactedHistory,
		"leases":                     testLeases,
		"refusal and silence":        testRefusalAndSilence,
		"lost response":              testLostResponse,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := open(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			test(ctx, is.New(t), s, c)
		})
	}
}

func newPut(key, value string) fpstore.Transaction {
	return fpstore.Transaction{Puts: []fpstore.Put{{Key: key, Value: []byte(value)}}}
}

func testReadAndWrite(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	_, err := s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrKeyNotFound))
	position, err := s.Commit(ctx, newPut("k", "\x00binary"))
	is.NoErr(err)
	i, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(i.Value), "\x00binary")
	is.Equal(i.Revision, position.Revision)
	_, err = s.Commit(ctx, fpstore.Transaction{Deletes: []string{"k"}})
	is.NoErr(err)
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrKeyNotFound))
}

func testConditions(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	create := newPut("k", "1")
	create.Conditions = []fpstore.Condition{{Key: "k"}}
	created, err := s.Commit(ctx, create)
	is.NoErr(err)
	_, err = s.Commit(ctx, create)
	is.True(errors.Is(err, fpstore.ErrConflict))
	change := newPut("k", "2")
	change.Conditions = []fpstore.Condition{{Key: "k", Revision: created.Revision}}
	_, err = s.Commit(ctx, change)
	is.NoErr(err)
	_, err = s.Commit(ctx, change)
	is.True(errors.Is(err, fpstore.ErrConflict))
}

func testPagination(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	const batches, batchSize = 31, 20
	for b := range batches {
		var t fpstore.Transaction
		for i := range batchSize {
			t.Puts = append(t.Puts, fpstore.Put{Key: fmt.Sprintf("p/%04d", b*batchSize+i), Value: []byte("v")})
		}
		_, err := s.Commit(ctx, t)
		is.NoErr(err)
	}
	seen, last := 0, ""
	for {
		p, err := s.Range(ctx, "p/", last)
		is.NoErr(err)
		seen += len(p.Items)
		if !p.More {
			break
		}
		last = p.Items[len(p.Items)-1].Key
	}
	is.Equal(seen, batches*batchSize)
}

func testWatch(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	after, err := s.Commit(ctx, newPut("w", "1"))
	is.NoErr(err)
	start := time.Now()
	items, position, err := s.Watch(ctx, "w", after.Revision, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(items), 0)
	is.Equal(position, after)
	is.True(time.Since(start) >= 50*time.Millisecond)
	_, err = s.Commit(ctx, newPut("other", "1"))
	is.NoErr(err)
	last, err := s.Commit(ctx, fpstore.Transaction{Deletes: []string{"w", "missing"}})
	is.NoErr(err)
	items, position, err = s.Watch(ctx, "w", after.Revision, time.Second)
	is.NoErr(err)
	is.Equal(len(items), 1)
	is.True(items[0].Deleted)
	is.Equal(position, last)
}

// testWatchLeaseExpiry checks that a waiting watch returns keys deleted by the expiry of their
// lease.
func testWatchLeaseExpiry(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	id, err := s.GrantLease(ctx, c.MinLeaseTTL)
	is.NoErr(err)
	after, err := s.Commit(ctx, fpstore.Transaction{Puts: []fpstore.Put{{Key: "l/1", Value: []byte("v"), Lease: id}}})
	is.NoErr(err)
	items, _, err := s.Watch(ctx, "l/", after.Revision, 3*c.MinLeaseTTL)
	is.NoErr(err)
	is.Equal(len(items), 1)
	is.Equal(items[0].Key, "l/1")
	is.True(items[0].Deleted)
}

func testCompactedHistory(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	after, err := s.Commit(ctx, newPut("a", "1"))
	is.NoErr(err)
	_, err = s.Commit(ctx, newPut("b", "1"))
	is.NoErr(err)
	c.Compact()
	_, _, err = s.Watch(ctx, "", after.Revision, time.Second)
	is.True(errors.Is(err, fpstore.ErrCompacted))
}

func testLeases(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	id, err := s.GrantLease(ctx, c.MinLeaseTTL)
	is.NoErr(err)
	attached := fpstore.Transaction{Puts: []fpstore.Put{{Key: "l", Value: []byte("v"), Lease: id}}}
	_, err = s.Commit(ctx, attached)
	is.NoErr(err)
	for range 4 {
		fpclock.Sleep(ctx, c.MinLeaseTTL/2)
		is.NoErr(s.RenewLease(ctx, id))
	}
	_, err = s.Get(ctx, "l")
	is.NoErr(err)
	fpclock.Sleep(ctx, 2*c.MinLeaseTTL)
	_, err = s.Get(ctx, "l")
	is.True(errors.Is(err, fpstore.ErrKeyNotFound))
	is.True(errors.Is(s.RenewLease(ctx, id), fpstore.ErrLeaseNotFound))
	_, err = s.Commit(ctx, attached)
	is.True(errors.Is(err, fpstore.ErrLeaseNotFound))
	id, err = s.GrantLease(ctx, time.Minute)
	is.NoErr(err)
	is.NoErr(s.RevokeLease(ctx, id))
	is.True(errors.Is(s.RenewLease(ctx, id), fpstore.ErrLeaseNotFound))
}

func testRefusalAndSilence(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	c.SetRefusing(true)
	_, err := s.Commit(ctx, newPut("k", "1"))
	is.True(errors.Is(err, fpstore.ErrRefused))
	c.SetRefusing(false)
	c.SetSilent(true)
	short, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	_, err = s.Commit(short, newPut("k", "1"))
	is.True(errors.Is(err, fpstore.ErrOutcomeUnknown))
	c.SetSilent(false)
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrKeyNotFound))
}

func testLostResponse(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	c.SetLosingResponses(true)
	create := newPut("k", "mine")
	create.Conditions = []fpstore.Condition{{Key: "k"}}
	_, err := s.Commit(ctx, create)
	is.True(errors.Is(err, fpstore.ErrOutcomeUnknown))
	c.SetLosingResponses(false)
	i, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(i.Value), "mine")
}
