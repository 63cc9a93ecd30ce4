package fpoutcome

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIncompleteOutcome(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		mark       func(*Ledger)
		want       Kind
	}{
		"never dispatched":                    {false, func(*Ledger) {}, NotRun},
		"idempotent, never dispatched":        {true, func(*Ledger) {}, NotRun},
		"dispatched":                          {false, (*Ledger).MarkDispatched, Unknown},
		"claimed by another host":             {false, (*Ledger).MarkClaimedElsewhere, Unknown},
		"idempotent, dispatched":              {true, (*Ledger).MarkDispatched, Failed},
		"idempotent, claimed by another host": {true, (*Ledger).MarkClaimedElsewhere, Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(tt.idempotent)
			tt.mark(l)
			o := l.IncompleteOutcome("no upstream", time.Second)
			is.Equal(o.Kind(), tt.want)
			is.Equal(o.Reason(), "no upstream")
			is.Equal(o.RetryAfter(), time.Second)
		})
	}
}
