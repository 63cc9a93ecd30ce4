package fpgateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestEarlierRefusalAgain checks that a rejection that a replica writes once more on a kept
// connection is no proof for the request that it runs there: the caller is not told "not run", and
// no second replica runs it.
func TestEarlierRefusalAgain(t *testing.T) {
	head := func(q *http.Request) { q.Method, q.Body, q.ContentLength = http.MethodHead, nil, 0 }
	tests := map[string]struct {
		first, second fpfake.Behaviour
		sameID        bool
		change        func(*http.Request)
		status        int
	}{
		"with its ID":                           {first: fpfake.Reject, second: fpfake.RepeatRefusal, status: 200},
		"with its ID, before an answer to HEAD": {first: fpfake.Reject, second: fpfake.RepeatRefusal, change: head, status: 502},
		"without an ID":                         {first: fpfake.RejectWithoutID, second: fpfake.RepeatRefusal, status: 502},
		"of the same ID":                        {first: fpfake.Reject, second: fpfake.RepeatRefusal, sameID: true, status: 200},
		"of the same ID, without one":           {first: fpfake.RejectWithoutID, second: fpfake.RepeatRefusal, sameID: true, status: 200},
		"after a stray answer":                  {first: fpfake.ResetBeforeRun, second: fpfake.StrayRefusal, status: 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			tc.queueBehaviours(tt.first)
			is.True(tc.sendNumberedRequest("call", 1).status != http.StatusOK)
			tc.queueBehaviours(tt.second)
			number := 2
			if tt.sameID {
				number = 1
			}
			r := tc.sendNumberedRequest("call", number, tt.change)
			is.Equal(len(tc.allRuns()), 1)
			is.Equal(r.status, tt.status)
		})
	}
}
