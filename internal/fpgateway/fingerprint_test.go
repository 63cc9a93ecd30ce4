package fpgateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

func newFingerprinted(method, target, team, body string) *request {
	q := &request{http: httptest.NewRequest(method, target, nil), body: []byte(body)}
	if team != "" {
		q.team = &fpcatalog.Team{Name: team}
	}
	return q
}

// TestFingerprint checks what makes two requests the same: all that a caller repeats, and none of what
// differs from one attempt to the next.
func TestFingerprint(t *testing.T) {
	base := newFingerprinted("POST", "http://a.example/x/y?q=1", "team", "body")
	repeat := newFingerprinted("POST", "http://a.example/x/y?q=1", "team", "body")
	repeat.caller.ID, repeat.caller.Model = "other attempt", "m"
	tests := map[string]struct {
		other *request
		same  bool
	}{
		"another attempt":  {other: repeat, same: true},
		"another method":   {other: newFingerprinted("PUT", "http://a.example/x/y?q=1", "team", "body")},
		"another host":     {other: newFingerprinted("POST", "http://b.example/x/y?q=1", "team", "body")},
		"another path":     {other: newFingerprinted("POST", "http://a.example/x/z?q=1", "team", "body")},
		"another query":    {other: newFingerprinted("POST", "http://a.example/x/y?q=2", "team", "body")},
		"another team":     {other: newFingerprinted("POST", "http://a.example/x/y?q=1", "teams", "body")},
		"no team":          {other: newFingerprinted("POST", "http://a.example/x/y?q=1", "", "body")},
		"another body":     {other: newFingerprinted("POST", "http://a.example/x/y?q=1", "team", "body2")},
		"fields run on":    {other: newFingerprinted("POST", "http://a.example/x/y?q=1", "teambody", "")},
		"body of the team": {other: newFingerprinted("POST", "http://a.example/x/y?q=1", "", "teambody")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(base.computeFingerprint() == tt.other.computeFingerprint(), tt.same)
		})
	}
}

// BenchmarkFingerprint measures the fingerprint of a request with a body of 4 KB.
func BenchmarkFingerprint(b *testing.B) {
	q := newFingerprinted("POST", "http://a.example/x/y?q=1", "team", strings.Repeat("body", 1024))
	b.ReportAllocs()
	for b.Loop() {
		q.computeFingerprint()
	}
}
