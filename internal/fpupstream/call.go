package fpupstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

const (
	// maxAsks is the number of failed questions in a row after which an upstream counts as gone.
	maxAsks = 3
	// askTimeout bounds one question; an upstream that is alive is asked again.
	askTimeout = 5 * time.Second
)

type (
	// Answer is a plain service's whole answer.
	Answer struct {
		Status      int
		ContentType string
		Body        []byte
	}

	answered struct {
		answer Answer
		err    error
	}
)

// Call sends an attempt to a plain service and returns its whole answer. There
// is no total timeout: after a silence the service is asked over a new
// connection whether the attempt still runs, and the first whole answer wins.
func (c *Client) Call(ctx context.Context, a Attempt) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan answered, 1)
	go func() { direct <- c.callOnce(ctx, a) }()
	t := time.NewTimer(c.silence)
	defer t.Stop()
	select {
	case r := <-direct:
		if r.err == nil || errors.Is(r.err, ErrNotRun) {
			return r.answer, r.err
		}
		return c.ask(ctx, a, r.err, nil)
	case <-t.C:
		return c.ask(ctx, a, ErrSilent, direct)
	case <-ctx.Done():
		return Answer{}, errors.Mark(ctx.Err(), ErrCut)
	}
}

func (c *Client) callOnce(ctx context.Context, a Attempt) answered {
	res, err := c.send(ctx, a)
	if err != nil {
		return answered{err: err}
	}
	answer, err := readAnswer(ctx, res, a.ID)
	return answered{answer: answer, err: err}
}

// ask puts the question again until the answer comes, over either connection,
// or the service no longer knows the attempt.
func (c *Client) ask(ctx context.Context, a Attempt, cause error, direct <-chan answered) (Answer, error) {
	asked := make(chan answered, 1)
	go func() { asked <- c.askUntil(ctx, a, cause) }()
	for {
		select {
		case r := <-direct:
			if r.err == nil || errors.Is(r.err, ErrNotRun) {
				return r.answer, r.err
			}
			direct = nil
		case r := <-asked:
			return r.answer, r.err
		}
	}
}

func (c *Client) askUntil(ctx context.Context, a Attempt, cause error) answered {
	for failures := 0; failures < maxAsks && ctx.Err() == nil; {
		answer, err := c.askOnce(ctx, a)
		switch {
		case err == nil:
			return answered{answer: answer}
		case errors.Is(err, ErrGone):
			return answered{err: errors.Mark(cause, ErrGone)}
		case errors.Is(err, ErrSilent) && c.alive(ctx, a.Address):
			continue
		}
		failures++
		fpclock.Sleep(ctx, c.silence/maxAsks)
	}
	return answered{err: errors.Mark(cause, ErrCut)}
}

// askOnce waits a bounded time for the attempt's answer over a new connection.
func (c *Client) askOnce(ctx context.Context, a Attempt) (Answer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, askTimeout, ErrSilent)
	defer cancel()
	res, err := c.fresh(ctx, a.Address, "/v1/attempts/"+a.ID)
	if err != nil {
		return Answer{}, err
	}
	return readAnswer(ctx, res, a.ID)
}

// alive reports whether the upstream answers over a new connection.
func (c *Client) alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	res, err := c.fresh(ctx, address, "/v1/load")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil
}

// readAnswer returns the whole answer of a response that echoes the attempt,
// whatever its status: the service has spoken.
func readAnswer(ctx context.Context, res *http.Response, id string) (Answer, error) {
	defer func() { _ = res.Body.Close() }()
	got := res.Header.Get(fpchat.AttemptHeader)
	switch {
	case got == "" && res.StatusCode == http.StatusNotFound:
		return Answer{}, ErrGone
	case got == "":
		return Answer{}, errors.Wrapf(ErrCut, "status %d without an attempt", res.StatusCode)
	case got != id:
		return Answer{}, errors.Wrapf(ErrCrossed, "asked for %q, got %q", id, got)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes))
	if err != nil {
		return Answer{}, callError(ctx, err)
	}
	return Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}
