package fpbalance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpestimate"
)

const (
	// warmUpRequests is the few dozen requests that have to outweigh a wrong prior.
	warmUpRequests = 40
	// maxFigureError bounds the logarithm of a figure's ratio to the truth after them: a quarter.
	maxFigureError = 0.223
)

// testEngine is an engine with known figures that has one request at a time.
type testEngine struct {
	tokensPerSecond, fixedSeconds, roundTripSeconds float64
}

// serve sends a request to the only replica and answers it when the engine would.
func (e testEngine) serve(t *testing.T, b *Balancer, q Request, now time.Duration) Choice {
	t.Helper()
	replicas := []Replica{{ID: "e", Service: "llm", Zone: "z2", Region: "r1", Slots: 8, Version: 1, Engine: true}}
	c, err := b.Choose(replicas, q, Link{}, now)
	if err != nil {
		t.Fatal(err)
	}
	b.RecordDispatch(c, q, now)
	seconds := e.roundTripSeconds + e.fixedSeconds + float64(c.MissTokens)/e.tokensPerSecond
	waited := time.Duration(seconds * float64(time.Second))
	b.RecordLoadReport("e", 1, 0, now+waited)
	b.RecordFirstByte(c, waited, now+waited)
	b.RecordEnd(c, true)
	return c
}

// TestFiguresFollowEngine checks that the figures of engines from slow to fast are learnt from a
// prior that fits none of them, and that predictions and ranks follow.
func TestFiguresFollowEngine(t *testing.T) {
	for _, tokensPerMillisecond := range []float64{30, 64, 112, 250} {
		for _, fixed := range []float64{0.002, 0.03} {
			t.Run(fmt.Sprintf("%.0f tokens a millisecond, %.0f ms fixed", tokensPerMillisecond, fixed*1000), func(t *testing.T) {
				is := is.New(t)
				b := New(Location{Zone: "z1", Region: "r1"})
				e := testEngine{tokensPerSecond: tokensPerMillisecond * 1000, fixedSeconds: fixed, roundTripSeconds: 0.002}
				now := testStart
				for i := range warmUpRequests {
					now += 10 * time.Second
					b.RecordRoundTrip(Replica{Zone: "z2", Region: "r1"}, e.roundTripSeconds)
					q := withChange(newLongRequest(), func(q *Request) { q.Parts = []Part{{ID: fmt.Sprint(i), Tokens: 30_000}} })
					e.serve(t, b, q, now)
					now += 10 * time.Second
					e.serve(t, b, withChange(q, func(q *Request) { q.Parts = []Part{{ID: fmt.Sprint("short", i), Tokens: 50}} }), now)
				}
				got := b.ServiceFigures()["llm"]
				is.True(math.Abs(math.Log(got.TokensPerSecond/e.tokensPerSecond)) < maxFigureError)
				is.True(math.Abs(math.Log(b.roundTripSeconds(Replica{Zone: "z2", Region: "r1"})/e.roundTripSeconds)) < maxFigureError)
				is.Equal(len(b.RefusedSamples()), 0)
				now += 10 * time.Second
				c := e.serve(t, b, withChange(newLongRequest(), func(q *Request) { q.Parts, q.LongRank = []Part{{ID: "x", Tokens: 20_000}}, 5 }), now)
				truth := e.roundTripSeconds + e.fixedSeconds + 20_000/e.tokensPerSecond
				is.True(math.Abs(math.Log(c.PredictedWait.Seconds()/truth)) < maxFigureError)
				is.Equal(c.Rank == 5, 20_000/e.tokensPerSecond > longPrefillSeconds)
			})
		}
	}
}

// TestFiguresIgnoreQueues checks that samples taken under load leave the figures of the engine as
// they were.
func TestFiguresIgnoreQueues(t *testing.T) {
	is := is.New(t)
	b := New(Location{Zone: "z1", Region: "r1"})
	replicas := newEngineReplicas()[:1]
	for i := range warmUpRequests {
		now := testStart + time.Duration(i)*time.Second
		q := withChange(newLongRequest(), func(q *Request) { q.Parts = []Part{{ID: fmt.Sprint(i), Tokens: 17_000}} })
		c, err := b.Choose(replicas, q, Link{}, now)
		is.NoErr(err)
		b.RecordDispatch(c, q, now)
		b.RecordLoadReport("a", 8, 5, now+2*time.Second)
		b.RecordFirstByte(c, 2*time.Second, now+2*time.Second)
		b.RecordEnd(c, true)
	}
	is.Equal(b.ServiceFigures()[""].TokensPerSecond, priorTokensPerSecond)
}

// TestFiguresRefuseSamples checks that times that can't be are counted and leave the figures as they
// were.
func TestFiguresRefuseSamples(t *testing.T) {
	is := is.New(t)
	b := New(Location{Zone: "z1", Region: "r1"})
	r := Replica{Zone: "z2", Region: "r1"}
	for _, seconds := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		b.RecordRoundTrip(r, seconds)
	}
	is.Equal(b.roundTripSeconds(r), priorSameRegionRoundTripSeconds)
	is.Equal(b.RefusedSamples()[fpestimate.ErrNotPositive.Error()], 4)
	is.Equal(b.RefusedSamples()[fpestimate.ErrImplausible.Error()], 1)
}

// TestPlainTimeIsLearnt checks that the service time of plain requests follows the answers of
// replicas with free slots.
func TestPlainTimeIsLearnt(t *testing.T) {
	is := is.New(t)
	b := New(Location{Zone: "z1", Region: "r1"})
	replicas := []Replica{{ID: "s", Service: "app", Zone: "z1", Region: "r1", Slots: 6}}
	const serviceTime = 100 * time.Millisecond
	for i := range warmUpRequests {
		now := testStart + time.Duration(i)*time.Second
		c, err := b.Choose(replicas, Request{TimeToDeadline: time.Second}, Link{}, now)
		is.NoErr(err)
		b.RecordDispatch(c, Request{}, now)
		b.RecordFirstByte(c, serviceTime, now+serviceTime)
		b.RecordEnd(c, true)
	}
	is.True(math.Abs(math.Log(b.ServiceFigures()["app"].PlainSeconds/serviceTime.Seconds())) < maxFigureError)
}
