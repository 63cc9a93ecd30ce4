package fpweights

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func answer(version int64, at time.Duration) Statement {
	return Statement{Version: version, At: at, Lag: AnswerLag}
}

// TestVersion checks which of several statements and a registration counts.
func TestVersion(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		statements    []Statement
		registered    int64
		entryReadAt   time.Duration
		writableSince time.Duration
		want          int64
	}{
		"registration alone":                       {registered: 2, want: 2},
		"statement":                                {statements: []Statement{answer(3, s)}, registered: 2, entryReadAt: s, want: 3},
		"statement of less":                        {statements: []Statement{answer(1, s)}, registered: 2, entryReadAt: s, want: 1},
		"overtaken by an earlier answer":           {statements: []Statement{answer(3, s), answer(2, s+AnswerLag/2)}, registered: 2, want: 3},
		"later answer with less":                   {statements: []Statement{answer(3, s), answer(2, s+AnswerLag)}, registered: 3, want: 2},
		"later report with less":                   {statements: []Statement{answer(3, s), {Version: 2, At: s + ReportLag, Lag: ReportLag}}, registered: 3, want: 2},
		"report that may be older":                 {statements: []Statement{answer(3, s), {Version: 2, At: s + AnswerLag, Lag: ReportLag}}, registered: 2, want: 3},
		"more at once":                             {statements: []Statement{answer(2, s), {Version: 3, At: s, Lag: ReportLag}}, registered: 2, want: 3},
		"registration read much later":             {statements: []Statement{answer(3, s)}, registered: 2, entryReadAt: s + EntryDelay, want: 2},
		"registration that could not be written":   {statements: []Statement{answer(3, s)}, registered: 2, entryReadAt: s + EntryDelay, writableSince: 2 * s, want: 3},
		"statement repeated":                       {statements: []Statement{answer(3, s), answer(3, 3*s)}, registered: 2, entryReadAt: s + EntryDelay, want: 3},
		"statement repeated by one that was older": {statements: []Statement{answer(3, 3*s), answer(3, s)}, registered: 2, entryReadAt: s + EntryDelay, want: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := make(Table)
			for _, m := range tt.statements {
				a.Record("r", m)
			}
			is.New(t).Equal(a.Version("r", tt.registered, tt.entryReadAt, tt.writableSince), tt.want)
		})
	}
}

// TestVersionConverges draws statements that are true at the time that they name. Whatever came before, one that is
// certainly later than all others decides.
func TestVersionConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := make(Table)
		last := time.Duration(0)
		for range rapid.IntRange(0, 8).Draw(t, "statements") {
			at := time.Duration(rapid.IntRange(0, 5000).Draw(t, "at")) * time.Millisecond
			lag := rapid.SampledFrom([]time.Duration{AnswerLag, ReportLag, EntryLag}).Draw(t, "lag")
			a.Record("r", Statement{Version: rapid.Int64Range(1, 4).Draw(t, "version"), At: at, Lag: lag})
			last = max(last, at)
		}
		v := rapid.Int64Range(1, 4).Draw(t, "last version")
		a.Record("r", answer(v, last+AnswerLag))
		if got := a.Version("r", 9, 0, 0); got != v {
			t.Fatalf("version %d, want %d", got, v)
		}
	})
}
