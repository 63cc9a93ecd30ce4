package fpgateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	idField         = []byte("id:")
	errEventTooLong = errors.New("an event is too long")
	// errStreamTruncated means that a stream ended in the middle of an event, or before the
	// first one.
	errStreamTruncated = errors.New("the stream ended in the middle of an event")
	// errForeignAnswer means that an answer has another request's ID, or that a successful one
	// lacks the replica's signature or is encoded.
	errForeignAnswer = errors.New("the answer is not the replica's own")
)

type (
	// streamState is how much of a stream has been forwarded.
	streamState struct {
		headerSent  bool
		lastEventID string
	}

	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// relayBuffered reads an answer whole and forwards it.
func (q *request) relayBuffered(ctx context.Context, c fpbalance.Choice, a *fpconn.Response, r Reply) attemptResult {
	if q.stream.headerSent {
		return q.handleForeignAnswer(ctx, c, errors.Wrapf(errNotResumed, "status %d", a.Status))
	}
	body, err := fpconn.ReadAll(a.Body, maxBufferedBytes, q.memory)
	successful := a.Status >= 200 && a.Status < 300
	if err == nil && successful && (r.Signature == "" || r.Encoded) {
		err = errForeignAnswer
	}
	if err == nil && r.ID != q.caller.ID {
		err = errForeignAnswer
	}
	if err != nil {
		if ctx.Err() == nil {
			q.gateway.recordFailure(c.Replica.ID)
		}
		return q.handleIncompleteAnswer(ctx, c, err)
	}
	q.appendTrail("%s %d", c.Replica.ID, a.Status)
	q.gateway.hear(c.Replica.ID, q.gateway.clock())
	if a.Status < 500 {
		q.gateway.recordSuccess(c.Replica.ID)
	}
	if successful {
		q.gateway.recordWholeAnswer(q.quarantineIDs, q.sentAt)
		q.endTrial()
	}
	answer := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if a.Status >= 500 && !impliesNotRun(a.Status) && q.mayRetryFailure() {
		q.fallback = answer
		return tryAnotherReplica
	}
	if impliesNotRun(a.Status) && q.route.Kind != fpcatalog.Idempotent {
		// The status says that the request did not run, but the replica did not say so.
		q.failRequest("the replica's status promises what it does not say", 0)
		return requestDone
	}
	q.writeAnswer(answer)
	return requestDone
}

// writeAnswer forwards a buffered answer.
func (q *request) writeAnswer(a *bufferedAnswer) {
	q.setAnswerHeader(q.gateway.dialect.AnswerHeader(a.header))
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.status = a.status
	q.writer.WriteHeader(a.status)
	if _, err := q.writer.Write(a.body); err != nil {
		q.appendTrail("caller: %v", err)
	}
}

// mayRetryFailure reports whether the request may be sent elsewhere after a replica answered
// with a failure.
func (q *request) mayRetryFailure() bool {
	return q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.gateway.clock() < q.deadline
}

// impliesNotRun reports whether a status tells callers that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// setAnswerHeader copies the given fields to the caller's response header.
func (q *request) setAnswerHeader(h http.Header) {
	out := q.writer.Header()
	for k, v := range h {
		out[k] = v
	}
}

// relayStream forwards complete events as they arrive. A stream that breaks off is resumed at
// another replica if the route allows it.
func (q *request) relayStream(ctx context.Context, c fpbalance.Choice, a *fpconn.Response, r Reply, onFirstByte func()) attemptResult {
	if r.Signature == "" || r.Encoded || r.ID != q.caller.ID {
		return q.handleForeignAnswer(ctx, c, errForeignAnswer)
	}
	part := continuation{resumed: q.stream.headerSent}
	if part.resumed && !isStreamAnswer(a) {
		return q.handleForeignAnswer(ctx, c, errors.Wrap(errNotResumed, "no stream"))
	}
	reader := bufio.NewReader(a.Body)
	memory := q.gateway.memory.Reserve(fpbudget.Answer)
	defer memory.Release()
	defer q.keepOrigin()
	for {
		event, err := readEvent(reader, memory)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			break
		}
		if err != nil {
			if ctx.Err() == nil {
				q.gateway.recordFailure(c.Replica.ID)
			}
			return q.handleIncompleteAnswer(ctx, c, err)
		}
		// Callers may take the stream up, which only replicas of the same software version can go on with.
		var inference fporigin.Inference
		if onFirstByte != nil && q.route.Repeatable() {
			switch state := q.confirmStart(ctx, c.Replica, a); {
			case state == startReplaced, state == startUnknown && q.buildKnown:
				return q.handleIncompleteAnswer(ctx, c, errRestarted)
			case state == startUnknown:
				inference = fporigin.Inference{Replica: c.Replica.ID, StartUnixMilli: c.Replica.StartUnixMilli, Since: a.Connection().OpenedAt()}
			}
		}
		if !part.accept(&q.stream, event) {
			return q.handleForeignAnswer(ctx, c, errNotResumed)
		}
		if !q.stream.headerSent {
			q.recordOrigin(c.Replica.Build, inference)
			q.setAnswerHeader(q.gateway.dialect.AnswerHeader(a.Header))
			q.writer.WriteHeader(a.Status)
			q.status = a.Status
			q.stream.headerSent = true
		}
		if onFirstByte != nil {
			onFirstByte()
			onFirstByte = nil
			q.gateway.recordSuccess(c.Replica.ID)
		}
		q.hearEvent(c.Replica.ID)
		if err := q.writeEvent(event); err != nil {
			q.appendTrail("caller: %v", err)
			q.reason = "the caller left"
			return requestDone
		}
		memory.Release()
	}
	if part.endsEarly(a) {
		return q.handleIncompleteAnswer(ctx, c, errors.Mark(errStreamTruncated, io.ErrUnexpectedEOF))
	}
	q.appendTrail("%s whole", c.Replica.ID)
	q.gateway.recordWholeAnswer(q.quarantineIDs, q.sentAt)
	q.endTrial()
	return requestDone
}

// handleForeignAnswer handles an answer that is not the replica's own or not of this stream.
func (q *request) handleForeignAnswer(ctx context.Context, c fpbalance.Choice, err error) attemptResult {
	q.gateway.recordFailure(c.Replica.ID)
	return q.handleIncompleteAnswer(ctx, c, err)
}

// writeEvent forwards an event without delay.
func (q *request) writeEvent(event []byte) error {
	if _, err := q.writer.Write(event); err != nil {
		return err
	}
	if id, ok := eventID(event); ok {
		q.stream.lastEventID = id
	}
	return http.NewResponseController(q.writer).Flush()
}

// readEvent reads up to and including the empty line that ends an event, into memory that it takes
// from m. At the end of the stream it returns io.EOF with no bytes.
func readEvent(r *bufio.Reader, m *fpbudget.Reservation) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		if !m.Grow(int64(len(line))) {
			return event, errEventTooLong
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return event, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errors.Mark(errStreamTruncated, io.ErrUnexpectedEOF)
		case err != nil:
			return event, err
		case len(event) > maxEventBytes:
			return event, errEventTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// eventID returns the ID of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}
