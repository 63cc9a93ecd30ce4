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
	silence = 300 * time.Millisecond
)

type (
	// Control injects faults into the store that a driver speaks to.
	Control struct {
		// Lease is the shortest lease that the store grants.
		Lease   time.Duration
		Compact func()
		Refuse  func(on bool)
		Silence func(on bool)
		// Lose carries writes out and loses their answers.
		Lose func(on bool)
	}
)

// Run plays the port's contract on fresh stores.
func Run(t *testing.T, open func(*testing.T) (fpstore.Store, Control)) {
	tests := map[string]func(context.Context, *is.I, fpstore.Store, Control){
		"read and write":       readAndWrite,
		"conditions":           conditions,
		"pages":                pages,
		"watch":                watch,
		"watch of a lease":     watchOfLease,
		"forgotten history":    forgotten,
		"leases":               leases,
		"refusal and silence":  refusal,
		"a lost answer's fate": lost,
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

func put(key, value string) fpstore.Transaction {
	return fpstore.Transaction{Puts: []fpstore.Put{{Key: key, Value: []byte(value)}}}
}

func readAndWrite(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	_, err := s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrMissing))
	revision, err := s.Commit(ctx, put("k", "\x00binary"))
	is.NoErr(err)
	i, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(i.Value), "\x00binary")
	is.Equal(i.Revision, revision)
	_, err = s.Commit(ctx, fpstore.Transaction{Deletes: []string{"k"}})
	is.NoErr(err)
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrMissing))
}

func conditions(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	create := put("k", "1")
	create.Conditions = []fpstore.Condition{{Key: "k"}}
	revision, err := s.Commit(ctx, create)
	is.NoErr(err)
	_, err = s.Commit(ctx, create)
	is.True(errors.Is(err, fpstore.ErrConflict))
	change := put("k", "2")
	change.Conditions = []fpstore.Condition{{Key: "k", Revision: revision}}
	_, err = s.Commit(ctx, change)
	is.NoErr(err)
	_, err = s.Commit(ctx, change)
	is.True(errors.Is(err, fpstore.ErrConflict))
}

func pages(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	const batches, inBatch = 31, 20
	for b := range batches {
		var t fpstore.Transaction
		for i := range inBatch {
			t.Puts = append(t.Puts, fpstore.Put{Key: fmt.Sprintf("p/%04d", b*inBatch+i), Value: []byte("v")})
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
	is.Equal(seen, batches*inBatch)
}

func watch(ctx context.Context, is *is.I, s fpstore.Store, _ Control) {
	after, err := s.Commit(ctx, put("w", "1"))
	is.NoErr(err)
	began := time.Now()
	items, revision, err := s.Watch(ctx, "w", after, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(items), 0)
	is.Equal(revision, after)
	is.True(time.Since(began) >= 50*time.Millisecond)
	_, err = s.Commit(ctx, put("other", "1"))
	is.NoErr(err)
	last, err := s.Commit(ctx, fpstore.Transaction{Deletes: []string{"w", "missing"}})
	is.NoErr(err)
	items, revision, err = s.Watch(ctx, "w", after, time.Second)
	is.NoErr(err)
	is.Equal(len(items), 1)
	is.True(items[0].Deleted)
	is.Equal(revision, last)
}

// watchOfLease checks that a watch that waits hears of keys that go with their lease.
func watchOfLease(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	id, err := s.Grant(ctx, c.Lease)
	is.NoErr(err)
	after, err := s.Commit(ctx, fpstore.Transaction{Puts: []fpstore.Put{{Key: "l/1", Value: []byte("v"), Lease: id}}})
	is.NoErr(err)
	items, _, err := s.Watch(ctx, "l/", after, 3*c.Lease)
	is.NoErr(err)
	is.Equal(len(items), 1)
	is.Equal(items[0].Key, "l/1")
	is.True(items[0].Deleted)
}

func forgotten(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	after, err := s.Commit(ctx, put("a", "1"))
	is.NoErr(err)
	_, err = s.Commit(ctx, put("b", "1"))
	is.NoErr(err)
	c.Compact()
	_, _, err = s.Watch(ctx, "", after, time.Second)
	is.True(errors.Is(err, fpstore.ErrCompacted))
}

func leases(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	id, err := s.Grant(ctx, c.Lease)
	is.NoErr(err)
	bound := fpstore.Transaction{Puts: []fpstore.Put{{Key: "l", Value: []byte("v"), Lease: id}}}
	_, err = s.Commit(ctx, bound)
	is.NoErr(err)
	for range 4 {
		fpclock.Sleep(ctx, c.Lease/2)
		is.NoErr(s.KeepAlive(ctx, id))
	}
	_, err = s.Get(ctx, "l")
	is.NoErr(err)
	fpclock.Sleep(ctx, 2*c.Lease)
	_, err = s.Get(ctx, "l")
	is.True(errors.Is(err, fpstore.ErrMissing))
	is.True(errors.Is(s.KeepAlive(ctx, id), fpstore.ErrLeaseGone))
	_, err = s.Commit(ctx, bound)
	is.True(errors.Is(err, fpstore.ErrLeaseGone))
	id, err = s.Grant(ctx, time.Minute)
	is.NoErr(err)
	is.NoErr(s.End(ctx, id))
	is.True(errors.Is(s.KeepAlive(ctx, id), fpstore.ErrLeaseGone))
}

func refusal(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	c.Refuse(true)
	_, err := s.Commit(ctx, put("k", "1"))
	is.True(errors.Is(err, fpstore.ErrRefused))
	c.Refuse(false)
	c.Silence(true)
	short, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, err = s.Commit(short, put("k", "1"))
	is.True(errors.Is(err, fpstore.ErrUnsettled))
	c.Silence(false)
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, fpstore.ErrMissing))
}

func lost(ctx context.Context, is *is.I, s fpstore.Store, c Control) {
	c.Lose(true)
	create := put("k", "mine")
	create.Conditions = []fpstore.Condition{{Key: "k"}}
	_, err := s.Commit(ctx, create)
	is.True(errors.Is(err, fpstore.ErrUnsettled))
	c.Lose(false)
	i, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(i.Value), "mine")
}
