package fpquarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilences lets a replica fall silent under an attempt that is sent at 10 s, with signs of life every 200 ms before.
func TestSilences(t *testing.T) {
	const ms, sent = time.Millisecond, 10 * time.Second
	hear := func(s *Silences[int], from, to time.Duration) {
		for at := from; at <= to; at += 200 * ms {
			s.Hear("r", at)
		}
	}
	tests := map[string]struct {
		// before happens before the attempt ends, after afterwards; proof says that its replica is then proved to
		// have crashed.
		before, after func(*Silences[int])
		proof         bool
		verdict       Verdict
		blamed        int
		at            time.Duration
	}{
		"silent, proof follows":              {before: func(s *Silences[int]) { hear(s, 0, sent+20*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent + 0*ms},
		"silent, no proof":                   {before: func(s *Silences[int]) { hear(s, 0, sent) }, verdict: Silent},
		"answers that were on their way":     {before: func(s *Silences[int]) { hear(s, 0, sent+600*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent + 600*ms},
		"goes on answering":                  {before: func(s *Silences[int]) { hear(s, 0, sent+1400*ms) }, proof: true, verdict: Answering},
		"goes on answering afterwards":       {before: func(s *Silences[int]) { hear(s, 0, sent) }, after: func(s *Silences[int]) { hear(s, sent, sent+1400*ms) }, proof: true, verdict: Silent},
		"pauses, its start answers":          {before: func(s *Silences[int]) { hear(s, 0, sent) }, after: func(s *Silences[int]) { s.HearStart("r", sent+ms, sent+1500*ms) }, proof: true, verdict: Silent},
		"its start answered before":          {before: func(s *Silences[int]) { hear(s, 0, sent) }, after: func(s *Silences[int]) { s.HearStart("r", sent-ms, sent+ms) }, proof: true, verdict: Silent, blamed: 1, at: sent + ms},
		"pauses, then another start answers": {before: func(s *Silences[int]) { hear(s, 0, sent); hear(s, sent+3000*ms, sent+5000*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent},
		"had ended by itself":                {before: func(s *Silences[int]) { hear(s, 0, sent-1200*ms) }, proof: true, verdict: Uncertain},
		"had ended by itself, restarts":      {before: func(s *Silences[int]) { hear(s, 0, sent-1200*ms); hear(s, sent+2000*ms, sent+3000*ms) }, proof: true, verdict: Uncertain},
		"never heard":                        {before: func(*Silences[int]) {}, proof: true, verdict: Uncertain},
		"a new connection":                   {before: func(s *Silences[int]) { s.Hear("r", 0); s.Accept("r", sent-2*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent},
		"proof comes first":                  {before: func(s *Silences[int]) { hear(s, 0, sent); s.Crash("r", sent+4000*ms) }, verdict: Crashed, at: sent},
		"its entry goes as it serves on":     {before: func(s *Silences[int]) { hear(s, 0, sent+200*ms); s.Crash("r", sent+300*ms) }, verdict: Silent},
		"a later connection":                 {before: func(s *Silences[int]) { s.Accept("r", sent+200*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent},
		"accepts but does not answer":        {before: func(s *Silences[int]) { hear(s, 0, sent) }, after: func(s *Silences[int]) { s.Accept("r", sent+5900*ms) }, proof: true, verdict: Silent, blamed: 1, at: sent},
		"a connection of the next start":     {before: func(s *Silences[int]) { s.Accept("r", sent+1200*ms) }, proof: true, verdict: Uncertain},
		"an earlier crash":                   {before: func(s *Silences[int]) { s.Crash("r", sent-4000*ms); hear(s, 0, sent) }, verdict: Silent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Silences[int]
			tt.before(&s)
			verdict, at := s.Add("r", sent, 1)
			is.Equal(verdict, tt.verdict)
			if tt.after != nil {
				tt.after(&s)
			}
			if tt.proof {
				blamed, since := s.Crash("r", sent+6*time.Second)
				is.Equal(len(blamed), tt.blamed)
				at = since
			}
			if tt.verdict == Crashed || tt.blamed > 0 {
				is.Equal(at, tt.at)
			}
			s.Expire(sent + 2*silenceTTL)
			is.Equal(len(s.replicas), 0)
		})
	}
}

// TestSilencesAreBounded adds more attempts than are kept for one replica.
func TestSilencesAreBounded(t *testing.T) {
	is := is.New(t)
	var s Silences[int]
	s.Hear("r", time.Second)
	for range 2 * maxUnanswered {
		s.Add("r", time.Second, 1)
	}
	is.Equal(s.Pending(), []string{"r"})
	blamed, _ := s.Crash("r", 4*time.Second)
	is.Equal(len(blamed), maxUnanswered)
	is.Equal(len(s.Pending()), 0)
}
