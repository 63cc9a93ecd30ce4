package fpbalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestLeavingReplicaIsNotChosen checks that a replica that leaves is not chosen until it starts anew.
func TestLeavingReplicaIsNotChosen(t *testing.T) {
	is := is.New(t)
	b := New(Location{})
	replicas := []Replica{{ID: "r1", StartUnixMilli: 1}}
	q := Request{TimeToDeadline: time.Minute}
	is.True(b.RecordLeaving("r1", 1, 0))
	is.True(!b.RecordLeaving("r1", 1, 0))
	b.ForgetReplica("r1")
	_, err := b.Choose(replicas, q, Link{}, 0)
	is.True(errors.Is(err, ErrNoReplica))
	replicas[0].StartUnixMilli = 2
	_, err = b.Choose(replicas, q, Link{}, 0)
	is.NoErr(err)
}

// TestIntakesAreBounded checks that the replicas that were recorded first are forgotten first.
func TestIntakesAreBounded(t *testing.T) {
	is := is.New(t)
	b := New(Location{})
	for i := range maxIntakes + 10 {
		b.RecordLeaving(fmt.Sprint(i), 1, time.Duration(i))
	}
	is.Equal(len(b.intakes), maxIntakes)
	is.True(!b.Leaving("9", 1))
	is.True(b.Leaving("10", 1))
}
