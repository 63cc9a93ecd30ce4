package fpgateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

const (
	brokenPart   = "id: 1\ndata: token 1\n\n"
	resumedEvent = "id: 2\ndata: token 2\n\n"
	ownHeader    = "Attempt-Id: {id}\r\nReplica-Signature: sig.{replica}\r\n"
)

// resumedAnswer returns the bytes of an answer with a length.
func resumedAnswer(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, ownHeader, header, len(body), body)
}

// TestErrorInsideStream checks that a stream that broke off never goes on with anything but its own
// later events, and does not end as if it were complete, when the next replica answers otherwise.
func TestErrorInsideStream(t *testing.T) {
	const (
		events = "Content-Type: text/event-stream\r\n"
		page   = "Content-Type: text/html\r\n"
	)
	tests := map[string]struct {
		answer string
		body   string
		whole  bool
	}{
		"failure":                     {answer: resumedAnswer("500 Internal Server Error", "", "failed\n\n")},
		"failure as a stream":         {answer: resumedAnswer("500 Internal Server Error", events, "id: 2\ndata: failed\n\n")},
		"bad request":                 {answer: resumedAnswer("400 Bad Request", "", "no such event\n\n")},
		"unavailable":                 {answer: resumedAnswer("503 Service Unavailable", "", "full\n\n")},
		"refusal":                     {answer: resumedAnswer("503 Service Unavailable", "Not-Executed: 1\r\n", "full\n\n")},
		"redirect":                    {answer: resumedAnswer("302 Found", "Location: /\r\n", "elsewhere\n\n")},
		"no content":                  {answer: "HTTP/1.1 204 No Content\r\n" + ownHeader + "\r\n"},
		"other success":               {answer: resumedAnswer("206 Partial Content", events, resumedEvent)},
		"page":                        {answer: resumedAnswer("200 OK", page, "<p>failed</p>\n\n")},
		"page in the shape of events": {answer: resumedAnswer("200 OK", page, resumedEvent)},
		"no type":                     {answer: resumedAnswer("200 OK", "", resumedEvent)},
		"no receipt":                  {answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n%sContent-Length: %d\r\n\r\n%s", events, len(resumedEvent), resumedEvent)},
		"another request's stream":    {answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Signature: sig.x\r\n%sContent-Length: %d\r\n\r\n%s", events, len(resumedEvent), resumedEvent)},
		"error event":                 {answer: resumedAnswer("200 OK", events, "event: error\ndata: failed\n\n")},
		"text as a stream":            {answer: resumedAnswer("200 OK", events, "failed\n\n"+resumedEvent)},
		"text after a comment":        {answer: resumedAnswer("200 OK", events, ": here\nfailed\n\n"+resumedEvent)},
		"stream from its start":       {answer: resumedAnswer("200 OK", events, wholeStream)},
		"last event again":            {answer: resumedAnswer("200 OK", events, brokenPart+resumedEvent)},
		"events going back":           {answer: resumedAnswer("200 OK", events, resumedEvent+brokenPart), body: brokenPart + resumedEvent},
		"event without its end":       {answer: resumedAnswer("200 OK", events, "id: 2\ndata: tok")},
		"nothing, closed":             {answer: "HTTP/1.1 200 OK\r\n" + ownHeader + events + "\r\n"},
		"a comment, closed":           {answer: "HTTP/1.1 200 OK\r\n" + ownHeader + events + "\r\n: here\n\n", body: brokenPart + ": here\n\n"},
		"nothing at all":              {answer: "\r\n"},
		"nothing more":                {answer: resumedAnswer("200 OK", events, ""), whole: true},
		"the rest":                    {answer: resumedAnswer("200 OK", events, resumedEvent), body: brokenPart + resumedEvent, whole: true},
		"the rest after a comment":    {answer: resumedAnswer("200 OK", events, ": here\n\n"+resumedEvent), body: brokenPart + ": here\n\n" + resumedEvent, whole: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t)
			tc.queueBehaviours(fpfake.Truncate)
			for _, e := range tc.engines {
				e.SetResumedAnswer("1", tt.answer)
			}
			r := tc.sendRequest("hint", nil)
			is.Equal(r.status, http.StatusOK)
			if tt.body == "" {
				tt.body = brokenPart
			}
			is.Equal(r.body, tt.body)
			is.Equal(r.err == nil, tt.whole)
			is.Equal(len(tc.allRuns()), 2)
		})
	}
}

// TestResumesOnlyAfterKnownEvent checks that a stream whose events have no IDs is not resumed, since
// its first events would come twice.
func TestResumesOnlyAfterKnownEvent(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	for _, e := range tc.engines {
		e.SetResumedAnswer("7", "HTTP/1.1 200 OK\r\n"+ownHeader+"Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\ndata: token\n\ndata: to")
	}
	r := tc.sendRequest("hint", func(q *http.Request) { q.Header.Set("Last-Event-Id", "7") })
	is.Equal(r.body, "data: token\n\n")
	is.True(r.err != nil)
	is.Equal(len(tc.allRuns()), 1)
}

// TestResumedBeyondFirstLength checks that a stream may go on for longer than the length that its
// first replica named: it is not cut off there as if it were complete.
func TestResumedBeyondFirstLength(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	rest := wholeStream[len(brokenPart):]
	header := "HTTP/1.1 200 OK\r\n" + ownHeader + "Content-Type: text/event-stream\r\n"
	for _, e := range tc.engines {
		e.SetResumedAnswer("0", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(brokenPart+resumedEvent), brokenPart))
		e.SetResumedAnswer("1", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(rest), rest))
	}
	r := tc.sendRequest("hint", func(q *http.Request) { q.Header.Set("Last-Event-Id", "0") })
	requireNoError(t, r)
	is.Equal(r.body, wholeStream)
}
