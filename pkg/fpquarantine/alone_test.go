package fpquarantine

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loneCrash is a crash of a replica that had run for a time, with the attempts that it broke off.
type loneCrash struct {
	uptime   time.Duration
	at       time.Duration
	attempts []Part
}

// TestConvictWithoutAnswers checks which requests and parts are convicted though nothing is answered. It guards against a
// request that goes on crashing replicas while few others are answered, and against blame for replicas that crash by
// themselves.
func TestConvictWithoutAnswers(t *testing.T) {
	const ms, second = time.Millisecond, time.Second
	request := func(id string, sentAt time.Duration, trial bool) Part {
		return Part{ID: id, Request: true, SentAt: sentAt, Trial: trial}
	}
	// alone returns crashes under one request, an interval apart: each replica had it for age.
	alone := func(count int, interval, uptime, age time.Duration) []loneCrash {
		var out []loneCrash
		for i := range count {
			at := 10*second + time.Duration(i)*interval
			out = append(out, loneCrash{uptime, at, []Part{request("dead", at-age, i >= minSuspectLinks)}})
		}
		return out
	}
	parts := func(at time.Duration, trial bool, ids ...string) []Part {
		out := []Part{request(fmt.Sprint("request", at), at-20*ms, trial)}
		for i, id := range ids {
			out = append(out, Part{ID: id, Depth: i, SentAt: at - 20*ms, Trial: trial})
		}
		return out
	}
	tests := map[string]struct {
		crashes  []loneCrash
		survived map[string]time.Duration
		// waiting says that it is not known whether what survived has begun to run.
		waiting bool
		want    []string
	}{
		"crashes idle replicas at once":      {crashes: alone(5, 1500*ms, 10*second, 20*ms), want: []string{"dead"}},
		"seconds apart":                      {crashes: alone(5, 10*second, 10*second, 20*ms), want: []string{"dead"}},
		"two trials are too few":             {crashes: alone(4, 1500*ms, 10*second, 20*ms)},
		"runs for long before":               {crashes: alone(6, 3*second, 10*second, 2*second)},
		"replicas that live for a moment":    {crashes: alone(5, 1500*ms, 500*ms, 20*ms)},
		"replicas of unknown age":            {crashes: alone(6, 1500*ms, 0, 20*ms)},
		"more trials where replicas are new": {crashes: alone(7, 1500*ms, 500*ms, 20*ms), want: []string{"dead"}},
		"others run on": {
			crashes: alone(5, 1500*ms, 10*second, 20*ms), survived: map[string]time.Duration{"dead": second},
		},
		"others wait": {
			crashes: alone(5, 1500*ms, 10*second, 20*ms), survived: map[string]time.Duration{"dead": second}, waiting: true,
		},
		"others run on, but not longer than it took": {
			crashes: alone(9, 1500*ms, 10*second, 400*ms), survived: map[string]time.Duration{"dead": 450 * ms}, want: []string{"dead"},
		},
		"all requests crash replicas": {
			crashes: []loneCrash{
				{10 * second, 11 * second, []Part{request("a", 11*second-20*ms, false)}},
				{10 * second, 12 * second, []Part{request("b", 12*second-20*ms, false)}},
				{10 * second, 13 * second, []Part{request("c", 13*second-20*ms, false)}},
				{10 * second, 14 * second, []Part{request("d", 14*second-20*ms, false)}},
				{10 * second, 15 * second, []Part{request("a", 15*second-20*ms, false)}},
				{10 * second, 16 * second, []Part{request("b", 16*second-20*ms, false)}},
				{10 * second, 17 * second, []Part{request("c", 17*second-20*ms, false)}},
				{10 * second, 18 * second, []Part{request("d", 18*second-20*ms, false)}},
				{10 * second, 19 * second, []Part{request("a", 19*second-20*ms, true)}},
				{10 * second, 20 * second, []Part{request("b", 20*second-20*ms, true)}},
				{10 * second, 21 * second, []Part{request("c", 21*second-20*ms, true)}},
				{10 * second, 22 * second, []Part{request("d", 22*second-20*ms, true)}},
				{10 * second, 23 * second, []Part{request("a", 23*second-20*ms, true)}},
				{10 * second, 24 * second, []Part{request("b", 24*second-20*ms, true)}},
				{10 * second, 25 * second, []Part{request("c", 25*second-20*ms, true)}},
				{10 * second, 26 * second, []Part{request("d", 26*second-20*ms, true)}},
			},
		},
		"a part of prompts": {
			crashes: []loneCrash{
				{10 * second, 11 * second, parts(11*second, false, "dead", "after")},
				{10 * second, 12 * second, parts(12*second, false, "dead", "after")},
				{10 * second, 13 * second, parts(13*second, true, "dead", "after")},
				{10 * second, 14 * second, parts(14*second, true, "dead", "after")},
				{10 * second, 15 * second, parts(15*second, true, "dead", "after")},
			},
			survived: map[string]time.Duration{"after": second},
			want:     []string{"dead"},
		},
		"parts that nothing tells apart": {
			crashes: []loneCrash{
				{10 * second, 11 * second, parts(11*second, false, "dead", "after")},
				{10 * second, 12 * second, parts(12*second, false, "dead", "after")},
				{10 * second, 13 * second, parts(13*second, true, "dead", "after")},
				{10 * second, 14 * second, parts(14*second, true, "dead", "after")},
				{10 * second, 15 * second, parts(15*second, true, "dead", "after")},
			},
			want: []string{"dead+after"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			var convicted []string
			now := time.Duration(0)
			for i, c := range tt.crashes {
				replica := fmt.Sprint("r", i)
				if c.uptime > 0 {
					tracker.RecordStart(replica, "s", c.at-c.uptime)
				}
				tracker.RecordCrash(replica, c.attempts, c.at)
				for id, lived := range tt.survived {
					tracker.RecordSurvival([]string{id}, c.at+1, lived, !tt.waiting)
				}
				now = c.at + settleTime
				convicted = append(convicted, tracker.Convict(now)...)
			}
			is.Equal(convicted, tt.want)
		})
	}
}

// TestSurvivalClears checks that a replica that lives on with an attempt clears it of crashes that came sooner, and
// of no others.
func TestSurvivalClears(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	tracker := New()
	tracker.RecordCrash("r1", []Part{{ID: "a", Request: true, SentAt: 950 * ms}}, 1000*ms)
	tracker.RecordCrash("r2", []Part{{ID: "a", Request: true, SentAt: 1400 * ms}}, 2000*ms)
	tracker.RecordCrash("r3", []Part{{ID: "a", Request: true, SentAt: 3250 * ms}}, 3300*ms)
	is.Equal(tracker.RecordSurvival([]string{"a", "b"}, 2500*ms, 60*ms, true), nil)
	is.Equal(tracker.RecordSurvival([]string{"a", "b"}, 2500*ms, 700*ms, true), []string{"a"})
	is.Equal(tracker.held["a"], 2) // the second came late, the third after the attempt was last seen
	is.Equal(tracker.RecordSurvival([]string{"a", "b"}, 2500*ms, 700*ms, true), nil)
	is.Equal(tracker.RecordSurvival([]string{"a", "b"}, 3500*ms, 800*ms, true), []string{"a"})
	is.Equal(tracker.held["a"], 0)

	tracker.RecordCrash("r4", []Part{{ID: "b", Request: true, SentAt: 5950 * ms}}, 6000*ms)
	is.Equal(tracker.RecordSurvival([]string{"b"}, 6500*ms, 700*ms, false), []string{"b"})
	is.Equal(tracker.RecordSurvival([]string{"b"}, 6500*ms, 700*ms, false), nil) // told once
	is.Equal(tracker.held["b"], 1)
}

// TestLivesAreDropped checks that replicas that are gone take no memory for long, and are known until their crash may have
// been reported.
func TestLivesAreDropped(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.RecordStart("r1", "s", time.Second)
	tracker.RecordEnd("r1", 5*time.Second)
	tracker.RecordEnd("unknown", 5*time.Second)
	tracker.Convict(10 * time.Second)
	tracker.RecordCrash("r1", []Part{{ID: "a", Request: true, SentAt: 4 * time.Second}}, 4*time.Second)
	is.Equal(tracker.crashes[0].uptime, 3*time.Second)
	tracker.RecordRunning(maps.All(map[string]string{"r1": "s", "r2": "s"}), 6*time.Second)
	tracker.RecordRunning(maps.All(map[string]string{"r1": "s"}), 7*time.Second)
	is.Equal(tracker.lives, map[string]life{"r1": {service: "s", since: 6 * time.Second}, "r2": {service: "s", since: 6 * time.Second, endedAt: 7 * time.Second}})
	tracker.RecordRunning(maps.All(map[string]string{"r2": "s"}), 8*time.Second)
	is.Equal(tracker.lives["r2"], life{service: "s", since: 8 * time.Second})
	tracker.RecordEnd("r2", 8*time.Second)
	tracker.Convict(8*time.Second + evidenceTTL + 1)
	is.Equal(len(tracker.lives), 0)
}

// TestCombination checks that a combination keeps those prompts from replicas that have all of its parts, and explains
// the crashes under them.
func TestCombination(t *testing.T) {
	is := is.New(t)
	tracker := New()
	id := Combine([]string{"dead", "after"})
	is.True(tracker.Quarantine(id, 0))
	for ids, want := range map[string]string{"dead,after": id, "common,after,dead": id, "dead": "", "common,after": ""} {
		found, _ := tracker.Find(strings.Split(ids, ","), time.Second)
		is.Equal(found, want)
	}
	tracker.RecordCrash("r1", []Part{{ID: "common"}, {ID: "dead", Depth: 1}, {ID: "after", Depth: 2}}, time.Second)
	is.Equal(len(tracker.held), 0)
	is.Equal(tracker.Expired(Duration), []string{id})
	is.True(tracker.Release(id))
	found, _ := tracker.Find([]string{"dead", "after"}, Duration)
	is.Equal(found, "")
	is.Equal(Combine([]string{"a", "b+c"}), "")
	long := strings.Repeat("x", MaxIDBytes-2)
	is.Equal(Combine([]string{"first", long, "z"}), long+"+z")
}

// TestChanceFollowsRate checks that replicas which are known to run without crashing make a sudden crash tell more, and
// those of other services don't.
func TestChanceFollowsRate(t *testing.T) {
	const second = time.Second
	chance := func(service string, idle int) float64 {
		tracker := New()
		for i := range idle {
			tracker.RecordStart(fmt.Sprint("idle", i), service, 0)
		}
		for i := range 4 {
			replica, at := fmt.Sprint("r", i), time.Duration(10+i)*second
			tracker.RecordStart(replica, "s", 0)
			tracker.RecordCrash(replica, []Part{{ID: "dead", Request: true, SentAt: at - 20*time.Millisecond, Trial: i >= 2}}, at)
		}
		tracker.Convict(14 * second)
		return tracker.Suspects()["dead"].Chance
	}
	is := is.New(t)
	is.True(Suspicion{Links: 2, Chance: 0.1}.CountsEqual(Suspicion{Links: 2, Chance: 0.2}))
	is.True(!Suspicion{Links: 2}.CountsEqual(Suspicion{Links: 3}))
	is.True(chance("s", 8) < chance("s", 0)/4)
	is.Equal(chance("other", 8), chance("s", 0))
}
