package fpupstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/pkg/fpstream"
)

type (
	// Stream is an attempt's answer as it comes.
	Stream struct {
		id      string
		body    io.ReadCloser
		events  *fpchat.Events
		cancel  context.CancelCauseFunc
		ctx     context.Context
		watch   *time.Timer
		silence time.Duration
		usage   fpchat.Usage
	}
)

// Stream sends an attempt and returns its answer stream.
func (c *Client) Stream(ctx context.Context, a Attempt) (*Stream, error) {
	return c.open(ctx, a.ID, func(ctx context.Context) (*http.Response, error) { return c.send(ctx, a) })
}

// Resume returns the rest of an attempt's answer over a new connection; ErrGone
// means that the engine no longer knows it.
func (c *Client) Resume(ctx context.Context, address, id string, offset int) (*Stream, error) {
	return c.open(ctx, id, func(ctx context.Context) (*http.Response, error) {
		return c.fresh(ctx, address, "/v1/attempts/"+id+"?offset="+strconv.Itoa(offset))
	})
}

// fresh reads a path over a connection of its own.
func (c *Client) fresh(ctx context.Context, address, path string) (*http.Response, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "request")
	}
	res, err := single(conn).Do(req)
	if err != nil {
		return nil, callError(ctx, err)
	}
	return res, nil
}

func (c *Client) open(ctx context.Context, id string, send func(context.Context) (*http.Response, error)) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{id: id, cancel: cancel, ctx: ctx, silence: c.silence}
	s.watch = time.AfterFunc(c.silence, func() { cancel(ErrSilent) })
	res, err := send(ctx)
	if err != nil {
		s.stop()
		return nil, err
	}
	s.body = res.Body
	if err := statusError(res); err != nil {
		s.Close()
		return nil, err
	}
	if got := res.Header.Get(fpchat.AttemptHeader); got != id {
		s.Close()
		return nil, errors.Wrapf(ErrCrossed, "asked for %q, got %q", id, got)
	}
	s.events = fpchat.NewEvents(res.Body)
	return s, nil
}

// Next returns the next piece, skipping heartbeats; io.EOF ends a stream whose
// end was marked, ErrCut, ErrSilent and ErrCrossed one that broke.
func (s *Stream) Next() (fpstream.Piece, error) {
	for {
		a, ok, err := s.events.Next()
		s.watch.Reset(s.silence)
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return fpstream.Piece{}, io.EOF
		case err != nil:
			return fpstream.Piece{}, callError(s.ctx, err)
		case !ok:
			continue
		case a.ID != s.id:
			return fpstream.Piece{}, errors.Wrapf(ErrCrossed, "piece of %q", a.ID)
		}
		if a.Usage != nil {
			s.usage = *a.Usage
		}
		return piece(a), nil
	}
}

// Usage returns the token counts of the latest piece that carried them.
func (s *Stream) Usage() fpchat.Usage { return s.usage }

// Close ends the stream and frees its connection.
func (s *Stream) Close() {
	s.stop()
	_ = s.body.Close()
}

func (s *Stream) stop() {
	s.watch.Stop()
	s.cancel(context.Canceled)
}

func piece(a fpchat.Answer) fpstream.Piece {
	p := fpstream.Piece{Attempt: a.ID, Offset: a.Offset, Text: a.Text()}
	if a.Total != nil {
		p.Final = true
		p.Total = *a.Total
	}
	return p
}
