package fpquarantine

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	second = time.Second
)

// The cases that tests draw are the same in each run, unless the flag asks for others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.shrinktime": "1s", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// step is one event of a test: a crash with its parts, an answer, or both. The attempts were sent at sentAt, or
// a little before a crash and at an answer.
type step struct {
	at      time.Duration
	sentAt  time.Duration
	crash   string
	parts   []Part
	answers []string
	peers   []string
}

func parts(ids ...string) []Part {
	out := make([]Part, 0, len(ids))
	for i, id := range ids {
		out = append(out, Part{ID: id, Depth: i})
	}
	return out
}

// onTrial returns the parts of a request on trial, and the request with a number.
func onTrial(number int, ids ...string) []Part {
	out := append(parts(ids...), Part{ID: requestName(number), Request: true})
	for i := range out {
		out[i].Trial = true
	}
	return out
}

// TestConvict checks which parts are convicted after a sequence of crashes and answers.
func TestConvict(t *testing.T) {
	others := []string{"x"}
	tests := map[string]struct {
		steps []step
		want  []string
	}{
		"part at four failures without an answer": {steps: []step{
			{at: 500 * time.Millisecond, crash: "r0", parts: parts("common", "dead")},
			{at: 1 * second, crash: "r1", parts: parts("common", "dead")},
			{at: 2 * second, crash: "r2", parts: parts("common", "dead"), answers: []string{"common"}},
			{at: 3 * second, crash: "r3", parts: parts("common", "dead")},
			{at: 3100 * time.Millisecond, answers: []string{"common"}},
			{at: 3200 * time.Millisecond, answers: others},
			{at: 3300 * time.Millisecond, answers: others},
		}, want: []string{"dead"}},
		"three failures are too few": {steps: []step{
			{at: 300 * time.Millisecond, crash: "r0", parts: parts("dead")},
			{at: 1 * second, crash: "r1", parts: parts("dead")},
			{at: 2 * second, crash: "r2", parts: parts("dead")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}},
		"crashes of attempts that were sent before the first one": {steps: []step{
			{at: 1000 * time.Millisecond, sentAt: 900 * time.Millisecond, crash: "r1", parts: parts("common")},
			{at: 1100 * time.Millisecond, sentAt: 900 * time.Millisecond, crash: "r2", parts: parts("common")},
			{at: 1200 * time.Millisecond, sentAt: 900 * time.Millisecond, crash: "r3", parts: parts("common")},
			{at: 1300 * time.Millisecond, sentAt: 900 * time.Millisecond, crash: "r4", parts: parts("common")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}},
		"nothing is answered at all": {steps: []step{
			{at: 300 * time.Millisecond, crash: "r0", parts: parts("common")},
			{at: 1 * second, crash: "r1", parts: parts("common")},
			{at: 2 * second, crash: "r2", parts: parts("common")},
			{at: 3 * second, crash: "r3", parts: parts("common")},
		}},
		"another host got an answer": {steps: []step{
			{at: 300 * time.Millisecond, crash: "r0", parts: parts("rare")},
			{at: 1 * second, crash: "r1", parts: parts("rare")},
			{at: 2 * second, crash: "r2", parts: parts("rare")},
			{at: 3 * second, crash: "r3", parts: parts("rare")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3200 * time.Millisecond, answers: others, peers: []string{"rare"}},
		}},
		"explained crashes do not speak against a rare part": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("common", "rare", "dead")},
			{at: 2 * second, crash: "r2", parts: parts("common", "rare", "dead")},
			{at: 3 * second, crash: "r3", parts: parts("common", "rare", "dead"), answers: []string{"common"}},
			{at: 4 * second, crash: "r4", parts: parts("common", "dead")},
			{at: 4500 * time.Millisecond, answers: []string{"common"}},
			{at: 4600 * time.Millisecond, answers: others},
			{at: 4700 * time.Millisecond, answers: others},
		}, want: []string{"dead"}},
		"the deepest of parts that always come together": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("subject", "dead")},
			{at: 2 * second, crash: "r2", parts: parts("subject", "dead")},
			{at: 3 * second, crash: "r3", parts: parts("subject", "dead")},
			{at: 4 * second, crash: "r4", parts: parts("subject", "dead")},
			{at: 4600 * time.Millisecond, crash: "r5", parts: parts("subject", "dead")},
			{at: 5 * second, answers: others},
			{at: 5 * second, answers: others},
			{at: 5 * second, answers: others},
		}, want: []string{"dead"}},
		"two deadly parts": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("dead1")},
			{at: 2 * second, crash: "r2", parts: parts("dead1")},
			{at: 3 * second, crash: "r3", parts: parts("dead1")},
			{at: 4 * second, crash: "r4", parts: parts("dead1")},
			{at: 4600 * time.Millisecond, crash: "r5", parts: parts("dead1")},
			{at: 5200 * time.Millisecond, crash: "r6", parts: parts("dead2")},
			{at: 5800 * time.Millisecond, crash: "r7", parts: parts("dead2")},
			{at: 6400 * time.Millisecond, crash: "r8", parts: parts("dead2")},
			{at: 7000 * time.Millisecond, crash: "r9", parts: parts("dead2")},
			{at: 7 * second, answers: others},
			{at: 7 * second, answers: others},
			{at: 7 * second, answers: others},
		}, want: []string{"dead1", "dead2"}},
		"a part at some of the replicas that fail together": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("rare")},
			{at: 1 * second, crash: "r2", parts: parts("x")},
			{at: 1 * second, crash: "r3", parts: parts("y")},
			{at: 2 * second, crash: "r4", parts: parts("rare")},
			{at: 2 * second, crash: "r5", parts: parts("x")},
			{at: 2 * second, crash: "r6", parts: parts("y")},
			{at: 3 * second, crash: "r7", parts: parts("rare")},
			{at: 3 * second, crash: "r8", parts: parts("x")},
			{at: 3 * second, crash: "r9", parts: parts("y")},
			{at: 4 * second, crash: "r10", parts: parts("rare")},
			{at: 4 * second, crash: "r11", parts: parts("x")},
			{at: 4 * second, crash: "r12", parts: parts("y")},
			{at: 5 * second, answers: []string{"z"}},
			{at: 5 * second, answers: []string{"z"}},
			{at: 5 * second, answers: []string{"z"}},
		}},
		"a part that misses most crashes and is answered between": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("rare")},
			{at: 2 * second, crash: "r2"},
			{at: 3 * second, crash: "r3", parts: parts("rare")},
			{at: 4 * second, crash: "r4"},
			{at: 5 * second, crash: "r5"},
			{at: 6 * second, crash: "r6", parts: parts("rare")},
			{at: 7 * second, crash: "r7", answers: []string{"rare"}},
			{at: 8 * second, crash: "r8"},
			{at: 9 * second, crash: "r9"},
			{at: 9600 * time.Millisecond, crash: "r10"},
			{at: 10200 * time.Millisecond, crash: "r11", parts: parts("rare")},
			{at: 10500 * time.Millisecond, answers: others},
			{at: 10500 * time.Millisecond, answers: others},
			{at: 10500 * time.Millisecond, answers: others},
		}},
		"crashes close to each other, each of an attempt sent after the one before": {steps: []step{
			{at: 1000 * time.Millisecond, crash: "r1", parts: parts("dead")},
			{at: 1120 * time.Millisecond, crash: "r2", parts: parts("dead")},
			{at: 1240 * time.Millisecond, crash: "r3", parts: parts("dead", "x")},
			{at: 1360 * time.Millisecond, crash: "r4", parts: parts("dead")},
			{at: 1400 * time.Millisecond, crash: "r5", parts: parts("x")},
			{at: 1480 * time.Millisecond, crash: "r6", parts: parts("dead")},
			{at: 1600 * time.Millisecond, crash: "r7", parts: parts("dead")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}, want: []string{"dead"}},
		"answers to attempts that were sent before the crashes": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("dead")},
			{at: 1300 * time.Millisecond, sentAt: 900 * time.Millisecond, answers: []string{"dead"}},
			{at: 1600 * time.Millisecond, crash: "r2", parts: parts("dead")},
			{at: 2200 * time.Millisecond, crash: "r3", parts: parts("dead")},
			{at: 2800 * time.Millisecond, crash: "r4", parts: parts("dead")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}, want: []string{"dead"}},
		"trials that end in a crash": {steps: []step{
			{at: 1000 * time.Millisecond, crash: "r1", parts: onTrial(1, "common", "dead")},
			{at: 1100 * time.Millisecond, crash: "r2", parts: onTrial(2, "common", "dead")},
			{at: 1150 * time.Millisecond, crash: "r3", parts: parts("x")},
			{at: 1200 * time.Millisecond, crash: "r4", parts: onTrial(4, "common", "dead")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}, want: []string{"dead"}},
		"trials with several requests on trial": {steps: []step{
			{at: 1000 * time.Millisecond, crash: "r1", parts: append(onTrial(1, "x"), onTrial(11, "dead")...)},
			{at: 1100 * time.Millisecond, crash: "r2", parts: append(onTrial(2, "x"), onTrial(12, "dead")...)},
			{at: 1200 * time.Millisecond, crash: "r3", parts: append(onTrial(3, "x"), onTrial(13, "dead")...)},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}},
		"reports of one crash count once": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("rare")},
			{at: 1200 * time.Millisecond, crash: "r1", parts: parts("rare")},
			{at: 2200 * time.Millisecond, crash: "r1", parts: parts("rare")},
			{at: 4 * second, answers: others},
			{at: 4 * second, answers: others},
			{at: 4 * second, answers: others},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := New()
			var got []string
			for _, s := range tt.steps {
				if s.crash != "" {
					for i := range s.parts {
						s.parts[i].SentAt = cmp.Or(s.sentAt, s.at-50*time.Millisecond)
					}
					tr.RecordCrash(s.crash, s.parts, s.at)
				}
				if s.answers != nil {
					tr.RecordAnswer(s.answers, cmp.Or(s.sentAt, s.at+time.Millisecond))
				}
				for _, id := range s.peers {
					tr.RecordPeerAnswer(Answer{ID: id, SentAt: s.at + time.Millisecond})
				}
			}
			got = append(got, tr.Convict(12*second)...)
			is.Equal(got, tt.want)
			is.Equal(len(tr.Entries(12*second)), len(tt.want))
		})
	}
}

// TestLateReportOfExplainedCrash checks that a report of a crash that is explained already does not
// speak against the parts in it.
func TestLateReportOfExplainedCrash(t *testing.T) {
	is := is.New(t)
	tr := New()
	is.True(tr.Quarantine("dead", 0))
	is.True(!tr.Quarantine("dead", 0))
	for i := range 5 {
		at := time.Duration(i+1) * second
		tr.RecordCrash(fmt.Sprint("r", i), parts("rare", "dead"), at)
		tr.RecordCrash(fmt.Sprint("r", i), parts("rare"), at+100*time.Millisecond)
	}
	for range 5 {
		tr.RecordAnswer([]string{"x"}, 7*second)
	}
	is.Equal(len(tr.Convict(10*second)), 0)
}

// TestReportIsAnsweredByWhatClears checks that a report about parts that were answered since the crash
// returns them, also when it comes late.
func TestReportIsAnsweredByWhatClears(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordAnswer([]string{"a"}, 2*second)
	is.Equal(tr.RecordCrash("r1", parts("a", "b"), second), []Answer{{ID: "a", SentAt: 2 * second}})
	is.Equal(tr.RecordAnswer([]string{"a", "b"}, 3*second), []Answer{{ID: "b", SentAt: 3 * second}})
	is.Equal(len(tr.RecordAnswer([]string{"b"}, 4*second)), 0)
}

// TestFind checks the end of a quarantine by time and by release.
func TestFind(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Quarantine("dead", second)
	id, left := tr.Find([]string{"a", "dead"}, 2*second)
	is.Equal(id, "dead")
	is.Equal(left, Duration-second)
	is.Equal(len(tr.Expired(Duration)), 0)
	is.Equal(tr.Expired(Duration+second), []string{"dead"})
	is.True(tr.Release("dead"))
	is.True(!tr.Release("dead"))
	id, _ = tr.Find([]string{"dead"}, 2*second)
	is.Equal(id, "")
}

// TestAdopt checks that a part that another host convicted is kept for the rest of its time only, so that
// hosts that tell each other do not keep it for ever.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	first, second := New(), New()
	first.Quarantine("dead", 0)
	for _, e := range first.Entries(Duration / 2) {
		second.Adopt(e, time.Hour)
	}
	is.Equal(second.Entries(time.Hour), []Entry{{ID: "dead", Age: Duration / 2}})
	is.Equal(second.Expired(time.Hour+Duration/2), []string{"dead"})
	second.Release("dead")
	for _, e := range first.Entries(Duration) {
		second.Adopt(e, time.Hour+Duration/2)
	}
	is.Equal(len(second.Entries(time.Hour+Duration/2)), 0)
}

// suspectIDs returns what a tracker suspects, sorted.
func suspectIDs(t *Tracker) []string { return slices.Sorted(maps.Keys(t.Suspects())) }

// TestSuspects checks that a part is suspected from its second failure on, until an answer clears it or it
// is convicted.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.RecordCrash("r1", parts("common", "dead"), 1*second)
	tr.RecordAnswer([]string{"common"}, 1500*time.Millisecond)
	is.Equal(len(tr.Suspects()), 0)
	later := parts("common", "dead")
	for i := range later {
		later[i].SentAt = 1900 * time.Millisecond
	}
	tr.RecordCrash("r2", later, 2*second)
	is.Equal(suspectIDs(tr), []string{"dead"})
	tr.RecordAnswer([]string{"dead"}, 3*second)
	is.Equal(len(tr.Suspects()), 0)
}

// TestBounds checks that evidence of any length takes bounded memory.
func TestBounds(t *testing.T) {
	is := is.New(t)
	tr := New()
	for i := range 4 * maxAnswered {
		tr.RecordAnswer([]string{fmt.Sprint(i)}, time.Duration(i)*time.Millisecond)
	}
	is.True(len(tr.answered) <= maxAnswered+1)
	for i := range 2 * maxCrashes {
		tr.RecordCrash(fmt.Sprint(i), parts(fmt.Sprint(i)), 200*second)
	}
	is.Equal(len(tr.crashes), maxCrashes)
	for i := range 2 * maxQuarantined {
		tr.Quarantine(fmt.Sprint(i), 0)
	}
	is.Equal(len(tr.quarantined), maxQuarantined)
}

// simulation plays random traffic at replicas in steps. Requests with the part "dead" crash their replica
// as their answer begins.
type simulation struct {
	tracker   *Tracker
	random    *rand.Rand
	sessions  int
	running   [][]simulatedRequest
	downUntil []time.Duration
	crashes   int
	deadly    int
}

type simulatedRequest struct {
	ids    []string
	sentAt time.Duration
	endsAt time.Duration
}

const (
	simulatedReplicas = 9
	simulationStep    = 20 * time.Millisecond
)

func newSimulation(seed uint64, sessions int) *simulation {
	return &simulation{
		tracker: New(), random: rand.New(rand.NewPCG(seed, 1)), sessions: sessions,
		running: make([][]simulatedRequest, simulatedReplicas), downUntil: make([]time.Duration, simulatedReplicas),
	}
}

// send sends a request with the given part beside the common one to a replica that is up, if there is
// one; it runs for up to a second.
func (s *simulation) send(part string, now time.Duration) {
	ids := []string{"common", part}
	if part == "dead" {
		ids = []string{"common", fmt.Sprint("s", s.random.IntN(s.sessions)), part}
	}
	if id, _ := s.tracker.Find(ids, now); id != "" {
		return
	}
	for _, r := range s.random.Perm(simulatedReplicas) {
		if now >= s.downUntil[r] {
			s.running[r] = append(s.running[r], simulatedRequest{ids: ids, sentAt: now, endsAt: now + time.Duration(50+s.random.IntN(1000))*time.Millisecond})
			return
		}
	}
}

// crash ends a replica, which is back after a while.
func (s *simulation) crash(r int, now time.Duration) {
	for _, q := range s.running[r] {
		broken := parts(q.ids...)
		for i := range broken {
			broken[i].SentAt = q.sentAt
		}
		s.tracker.RecordCrash(fmt.Sprint("r", r, s.downUntil[r]), broken, now)
	}
	s.running[r] = nil
	s.downUntil[r] = now + time.Second + time.Duration(s.random.IntN(1500))*time.Millisecond
	s.crashes++
}

// step ends the requests that are due.
func (s *simulation) step(now time.Duration) {
	for r, list := range s.running {
		var kept []simulatedRequest
		deadly := false
		for _, q := range list {
			switch {
			case now < q.endsAt:
				kept = append(kept, q)
			case q.ids[len(q.ids)-1] == "dead":
				deadly = true
				kept = append(kept, q)
			default:
				s.tracker.RecordAnswer(q.ids, q.sentAt)
			}
		}
		s.running[r] = kept
		if deadly {
			s.deadly++
			s.crash(r, now)
		}
	}
}

// TestConvictsOnlyDeadlyPart checks that a part that crashes each replica is convicted within a few
// failures, and that no other ever is, also while replicas crash for other reasons.
func TestConvictsOnlyDeadlyPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{20, 200, 2000}).Draw(rt, "sessions"))
		others := rapid.Bool().Draw(rt, "other crashes")
		interval := time.Duration(rapid.IntRange(100, 1500).Draw(rt, "interval")) * time.Millisecond
		nextDeadly, nextOther := 2*time.Second, 3*time.Second
		for now := time.Second; now < 30*time.Second; now += simulationStep {
			for range s.random.IntN(8) {
				s.send(fmt.Sprint("s", s.random.IntN(s.sessions)), now)
			}
			if now >= nextDeadly {
				s.send("dead", now)
				nextDeadly = now + interval
			}
			if others && now >= nextOther {
				s.crash(s.random.IntN(simulatedReplicas), now)
				nextOther = now + 2*time.Second + time.Duration(s.random.IntN(3000))*time.Millisecond
			}
			s.step(now)
			for _, id := range s.tracker.Convict(now) {
				if id != "dead" {
					rt.Fatalf("convicted %s after %d crashes", id, s.crashes)
				}
			}
		}
		if s.deadly > 20 {
			rt.Fatalf("%d replicas crashed under the part", s.deadly)
		}
	})
}

// TestCrashesWithoutDeadlyPart checks that replicas that crash for reasons of their own, single ones, many
// or all of them, put no part into quarantine.
func TestCrashesWithoutDeadlyPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{20, 200, 2000}).Draw(rt, "sessions"))
		nextCrash := 2 * time.Second
		for now := time.Second; now < 30*time.Second; now += simulationStep {
			for range s.random.IntN(8) {
				s.send(fmt.Sprint("s", s.random.IntN(s.sessions)), now)
			}
			if now >= nextCrash {
				count := []int{1, 1, 3, 5, simulatedReplicas}[s.random.IntN(5)]
				for _, r := range s.random.Perm(simulatedReplicas)[:count] {
					s.crash(r, now)
				}
				nextCrash = now + time.Second + time.Duration(s.random.IntN(3000))*time.Millisecond
			}
			s.step(now)
			if convicted := s.tracker.Convict(now); len(convicted) > 0 {
				rt.Fatalf("convicted %v after %d crashes", convicted, s.crashes)
			}
		}
	})
}
