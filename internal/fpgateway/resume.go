package fpgateway

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
)

const (
	eventStreamType = "text/event-stream"
)

// errNotResumed means that an answer does not go on with the stream that another replica began.
var errNotResumed = errors.New("the answer does not go on with the stream")

type (
	// continuation checks that the events of one answer go on with a stream that the caller has a
	// part of; the zero value is for an answer that begins a stream, and accepts any.
	continuation struct {
		resumed bool
		events  int
	}
)

// mayResume reports whether another replica can be told where to go on.
func (s *streamState) mayResume() bool { return !s.headerSent || s.lastEventID != "" }

// isStreamAnswer reports whether an answer may bring events of a stream that has begun.
func isStreamAnswer(a *fpconn.Response) bool {
	t, _, err := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return a.Status == http.StatusOK && err == nil && t == eventStreamType
}

// accept reports whether an event may follow the last one that was forwarded. The first one has to
// show by its ID that it does, comments excepted; IDs that are not numbers have no order to check.
func (c *continuation) accept(s *streamState, event []byte) bool {
	if c.resumed && isComment(event) {
		return true
	}
	first := c.events == 0
	c.events++
	last, err := strconv.ParseUint(s.lastEventID, 10, 64)
	if !c.resumed || err != nil {
		return true
	}
	id, ok := eventID(event)
	if !ok {
		return !first
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err != nil || n > last
}

// endsEarly reports whether an answer that has ended leaves open whether its stream has: without an
// event, only an answer that resumes a stream and marks its own end is whole.
func (c *continuation) endsEarly(a *fpconn.Response) bool {
	return c.events == 0 && (!c.resumed || !a.EndMarked)
}

// isComment reports whether an event has nothing but comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}
