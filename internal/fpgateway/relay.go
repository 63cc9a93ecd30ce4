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
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	idField = []byte("id:")
	errLong = errors.New("an event is too long")
	// errTorn means that a stream ended in the middle of an event.
	errTorn = errors.New("the stream ended in the middle of an event")
	// errUnsigned means that a success does not bear the replica's signature.
	errUnsigned = errors.New("the answer is not the replica's own")
)

type (
	// streamState is how far a stream has been handed on.
	streamState struct {
		committed bool
		lastEvent string
	}

	spareAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// relayPlain reads an answer whole and hands it on.
func (q *request) relayPlain(ctx context.Context, c fpbalance.Choice, a *fpconn.Answer, r Reply) verdict {
	body, err := fpconn.ReadAll(a.Body, maxPlainBytes)
	success := a.Status >= 200 && a.Status < 300
	if err == nil && success && (r.Signature == "" || r.Encoded) {
		err = errUnsigned
	}
	if err == nil && r.ID != q.caller.ID {
		err = errUnsigned
	}
	if err != nil {
		if ctx.Err() == nil {
			q.gateway.fail(c.Replica.ID)
		}
		return q.brokenOff(ctx, c, err)
	}
	q.note("%s %d", c.Replica.ID, a.Status)
	answer := &spareAnswer{status: a.Status, header: a.Header, body: body}
	if a.Status >= 500 && !promises(a.Status) && q.mayRepeat() {
		q.spare = answer
		return again
	}
	if promises(a.Status) && q.route.Kind != fpcatalog.Idempotent {
		// The status says that nothing ran; the replica doesn't.
		q.refuse("the replica's status promises what it does not say", 0)
		return done
	}
	q.deliver(answer)
	return done
}

// deliver hands a whole answer on.
func (q *request) deliver(a *spareAnswer) {
	q.commit(q.gateway.dialect.Answer(a.header))
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.status = a.status
	q.writer.WriteHeader(a.status)
	if _, err := q.writer.Write(a.body); err != nil {
		q.note("caller: %v", err)
	}
}

// mayRepeat reports whether a failure that a replica answered may be tried elsewhere.
func (q *request) mayRepeat() bool {
	return q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.gateway.clock() < q.ends
}

// promises reports whether a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// commit sets the header of the answer.
func (q *request) commit(h http.Header) {
	out := q.writer.Header()
	for k, v := range h {
		out[k] = v
	}
}

// relayStream hands on whole events as they come. A stream that breaks goes on
// at another replica where the route allows it.
func (q *request) relayStream(ctx context.Context, c fpbalance.Choice, a *fpconn.Answer, r Reply, onFirst func()) verdict {
	if r.Signature == "" || r.Encoded || r.ID != q.caller.ID {
		q.gateway.fail(c.Replica.ID)
		return q.brokenOff(ctx, c, errUnsigned)
	}
	reader := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			break
		}
		if err != nil {
			if ctx.Err() == nil {
				q.gateway.fail(c.Replica.ID)
			}
			return q.brokenOff(ctx, c, err)
		}
		if !q.stream.committed {
			q.commit(q.gateway.dialect.Answer(a.Header))
			q.writer.WriteHeader(a.Status)
			q.status = a.Status
			q.stream.committed = true
		}
		if onFirst != nil {
			onFirst()
			onFirst = nil
		}
		if err := q.emit(event); err != nil {
			q.note("caller: %v", err)
			q.reason = "the caller left"
			return done
		}
	}
	if !q.stream.committed {
		return q.brokenOff(ctx, c, errTorn)
	}
	q.note("%s whole", c.Replica.ID)
	return done
}

// emit hands an event on at once.
func (q *request) emit(event []byte) error {
	if _, err := q.writer.Write(event); err != nil {
		return err
	}
	if id, ok := eventID(event); ok {
		q.stream.lastEvent = id
	}
	return http.NewResponseController(q.writer).Flush()
}

// readEvent reads up to and including the empty line that ends an event. At
// the end of the stream it returns io.EOF with no bytes.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return event, errLong
			}
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errTorn
		case err != nil:
			return event, err
		case len(event) > maxEventBytes:
			return event, errLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// eventID returns the ID that an event carries.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}
