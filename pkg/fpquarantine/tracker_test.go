package fpquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	second = time.Second
)

// step is one event of a test: a crash with its parts, an answer, or both.
type step struct {
	at      time.Duration
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

// TestConvict checks which parts are convicted after a sequence of crashes and answers.
func TestConvict(t *testing.T) {
	others := []string{"x"}
	tests := map[string]struct {
		steps []step
		want  []string
	}{
		"part at three failures without an answer": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("common", "dead")},
			{at: 2 * second, crash: "r2", parts: parts("common", "dead"), answers: []string{"common"}},
			{at: 3 * second, crash: "r3", parts: parts("common", "dead")},
			{at: 3100 * time.Millisecond, answers: []string{"common"}},
			{at: 3200 * time.Millisecond, answers: others},
			{at: 3300 * time.Millisecond, answers: others},
		}, want: []string{"dead"}},
		"two failures are too few": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("dead")},
			{at: 2 * second, crash: "r2", parts: parts("dead")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}},
		"crashes at the same moment are one failure": {steps: []step{
			{at: 1000 * time.Millisecond, crash: "r1", parts: parts("common")},
			{at: 1100 * time.Millisecond, crash: "r2", parts: parts("common")},
			{at: 1200 * time.Millisecond, crash: "r3", parts: parts("common")},
			{at: 1300 * time.Millisecond, crash: "r4", parts: parts("common")},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
			{at: 3 * second, answers: others},
		}},
		"nothing is answered at all": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("common")},
			{at: 2 * second, crash: "r2", parts: parts("common")},
			{at: 3 * second, crash: "r3", parts: parts("common")},
		}},
		"another host got an answer": {steps: []step{
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
			{at: 5 * second, answers: others},
			{at: 5 * second, answers: others},
			{at: 5 * second, answers: others},
		}, want: []string{"dead"}},
		"two deadly parts": {steps: []step{
			{at: 1 * second, crash: "r1", parts: parts("dead1")},
			{at: 2 * second, crash: "r2", parts: parts("dead1")},
			{at: 3 * second, crash: "r3", parts: parts("dead1")},
			{at: 4 * second, crash: "r4", parts: parts("dead1")},
			{at: 4 * second, crash: "r5", parts: parts("dead2")},
			{at: 5 * second, crash: "r6", parts: parts("dead2")},
			{at: 6 * second, crash: "r7", parts: parts("dead2")},
			{at: 7 * second, answers: others},
			{at: 7 * second, answers: others},
			{at: 7 * second, answers: others},
		}, want: []string{"dead1", "dead2"}},
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
					tr.RecordCrash(s.crash, s.parts, s.at)
				}
				if s.answers != nil {
					tr.RecordAnswer(s.answers, s.at+time.Millisecond)
				}
				tr.RecordPeerAnswer(s.peers, s.at+time.Millisecond)
			}
			got = append(got, tr.Convict(10*second)...)
			is.Equal(got, tt.want)
			is.Equal(len(tr.Quarantined()), len(tt.want))
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
	is.Equal(tr.RecordCrash("r1", parts("a", "b"), second), []string{"a"})
	is.Equal(tr.RecordAnswer([]string{"a", "b"}, 3*second), []string{"b"})
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

// TestConvictsOnlyDeadlyPart plays random traffic at replicas of which requests with one part crash
// each, and checks that this part is convicted within a few failures and no other ever.
func TestConvictsOnlyDeadlyPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const replicas, tick, downtime, deadlyEvery = 8, 50 * time.Millisecond, 2 * time.Second, 8
		tr := New()
		running := make([][][]string, replicas)
		downUntil := make([]time.Duration, replicas)
		crashes := 0
		for now := second; now < 25*second; now += tick {
			for r := range replicas {
				if now < downUntil[r] {
					continue
				}
				deadly := false
				for _, ids := range running[r] {
					deadly = deadly || ids[len(ids)-1] == "dead"
				}
				for _, ids := range running[r] {
					if deadly {
						tr.RecordCrash(fmt.Sprint("r", r), parts(ids...), now)
					} else {
						tr.RecordAnswer(ids, now)
					}
				}
				running[r] = nil
				if deadly {
					downUntil[r] = now + downtime
					crashes++
					continue
				}
				for range rapid.IntRange(0, 3).Draw(rt, "requests") {
					session := fmt.Sprint("s", rapid.IntRange(0, 40).Draw(rt, "session"))
					running[r] = append(running[r], []string{"common", session})
				}
			}
			if r := rapid.IntRange(0, replicas*deadlyEvery).Draw(rt, "deadly"); r < replicas && now >= downUntil[r] {
				if id, _ := tr.Find([]string{"dead"}, now); id == "" {
					running[r] = append(running[r], []string{"common", fmt.Sprint("s", rapid.IntRange(0, 40).Draw(rt, "session")), "dead"})
				}
			}
			for _, id := range tr.Convict(now) {
				if id != "dead" {
					rt.Fatalf("convicted %s after %d crashes", id, crashes)
				}
			}
		}
		if crashes > 16 {
			rt.Fatalf("%d crashes", crashes)
		}
	})
}
