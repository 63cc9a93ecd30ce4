package fpupstream

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
)

const (
	// maxPollFailures is the number of failed polls after which an attempt is given up.
	maxPollFailures = 3
	// pollTimeout bounds one poll; a reachable upstream is polled again.
	pollTimeout = 5 * time.Second
)

type (
	// Response is a plain service's complete response.
	Response struct {
		Status      int
		ContentType string
		Body        []byte
	}

	callResult struct {
		response Response
		err      error
	}
)

// CallService sends an attempt to a plain service and returns its complete
// response. There is no total timeout: after the silence timeout or a failed
// connection, the service is polled for the attempt over new connections, and
// the first complete response wins.
func (c *Client) CallService(ctx context.Context, a Attempt) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan callResult, 1)
	go func() { direct <- c.sendAndRead(ctx, a) }()
	t := time.NewTimer(c.silenceTimeout)
	defer t.Stop()
	select {
	case r := <-direct:
		if isFinal(r.err) {
			return r.response, r.err
		}
		return c.awaitResponse(ctx, a, r.err, nil)
	case <-t.C:
		return c.awaitResponse(ctx, a, ErrSilent, direct)
	case <-ctx.Done():
		return Response{}, errors.Mark(ctx.Err(), ErrInterrupted)
	}
}

func (c *Client) sendAndRead(ctx context.Context, a Attempt) callResult {
	res, err := c.send(ctx, a)
	if err != nil {
		return callResult{err: err}
	}
	if err := refusalError(res); err != nil {
		_ = res.Body.Close()
		return callResult{err: err}
	}
	response, err := a.readResponse(ctx, res)
	return callResult{response: response, err: err}
}

// isFinal reports whether no other answer can follow a result: polling for a response that is too
// long to be read would only transfer it again.
func isFinal(err error) bool {
	return err == nil || errors.IsAny(err, ErrNotRun, fpconn.ErrResponseTooLong)
}

// awaitResponse polls until a response arrives, over the polling or the direct
// connection, or until the service no longer knows the attempt.
func (c *Client) awaitResponse(ctx context.Context, a Attempt, cause error, direct <-chan callResult) (Response, error) {
	polled := make(chan callResult, 1)
	go func() { polled <- c.pollResponse(ctx, a, cause) }()
	for {
		select {
		case r := <-direct:
			if isFinal(r.err) {
				return r.response, r.err
			}
			direct = nil
		case r := <-polled:
			return r.response, r.err
		}
	}
}

func (c *Client) pollResponse(ctx context.Context, a Attempt, cause error) callResult {
	for failures := 0; failures < maxPollFailures && ctx.Err() == nil; {
		response, err := c.pollOnce(ctx, a)
		switch {
		case errors.Is(err, ErrNotRun):
			// Only the poll did not reach the service; the attempt was sent before.
			return callResult{err: errors.Mark(errors.Wrapf(cause, "then %v", err), ErrAttemptUnknown)}
		case isFinal(err):
			return callResult{response: response, err: err}
		case errors.Is(err, ErrAttemptUnknown):
			return callResult{err: errors.Mark(cause, ErrAttemptUnknown)}
		case errors.Is(err, ErrSilent) && c.isReachable(ctx, a.Address):
			continue
		}
		failures++
		fpclock.Sleep(ctx, c.silenceTimeout/maxPollFailures)
	}
	return callResult{err: errors.Mark(cause, ErrInterrupted)}
}

// pollOnce requests the attempt's response over a new connection and waits at most pollTimeout.
func (c *Client) pollOnce(ctx context.Context, a Attempt) (Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, pollTimeout, ErrSilent)
	defer cancel()
	res, err := c.getOverNewConn(ctx, a.Address, "/v1/attempts/"+a.ID)
	if err != nil {
		return Response{}, err
	}
	a.reportIntake(res)
	return a.readResponse(ctx, res)
}

// isReachable reports whether the upstream responds over a new connection.
func (c *Client) isReachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	res, err := c.getOverNewConn(ctx, address, "/v1/load")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil
}

// readResponse reads the complete response if it echoes the attempt's ID. Its
// status doesn't matter, since an error status is the service's response too.
func (a Attempt) readResponse(ctx context.Context, res *http.Response) (Response, error) {
	defer func() { _ = res.Body.Close() }()
	got := res.Header.Get(fpchat.AttemptHeader)
	switch {
	case got == "" && res.StatusCode == http.StatusNotFound:
		return Response{}, ErrAttemptUnknown
	case got == "":
		return Response{}, errors.Wrapf(ErrInterrupted, "status %d without an attempt", res.StatusCode)
	case got != a.ID:
		return Response{}, errors.Wrapf(ErrMismatched, "asked for %q, got %q", a.ID, got)
	}
	body, err := fpconn.ReadAll(res.Body, MaxResponseBytes, a.Memory)
	if err != nil {
		return Response{}, classifyError(ctx, err)
	}
	return Response{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}
