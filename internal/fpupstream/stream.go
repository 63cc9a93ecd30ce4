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
	// Stream reads an attempt's streamed answer.
	Stream struct {
		attemptID      string
		body           io.ReadCloser
		chunks         *fpchat.ChunkReader
		cancel         context.CancelCauseFunc
		ctx            context.Context
		silenceTimer   *time.Timer
		silenceTimeout time.Duration
		usage          fpchat.Usage
		header         http.Header
	}
)

// OpenStream sends an attempt and returns the stream of its answer.
func (c *Client) OpenStream(ctx context.Context, a Attempt) (*Stream, error) {
	return c.openStream(ctx, a.ID, func(ctx context.Context) (*http.Response, error) { return c.send(ctx, a) })
}

// ResumeStream returns an attempt's answer from an offset on, over a new
// connection; ErrAttemptUnknown means that the engine no longer has it.
func (c *Client) ResumeStream(ctx context.Context, a Attempt, offset int) (*Stream, error) {
	return c.openStream(ctx, a.ID, func(ctx context.Context) (*http.Response, error) {
		res, err := c.getOverNewConn(ctx, a.Address, "/v1/attempts/"+a.ID+"?offset="+strconv.Itoa(offset))
		if err != nil {
			return nil, err
		}
		a.reportIntake(res)
		if res.StatusCode == http.StatusTooManyRequests {
			// The attempt may still run there.
			_ = res.Body.Close()
			return nil, errors.Wrapf(ErrInterrupted, "status %d", res.StatusCode)
		}
		return res, nil
	})
}

// getOverNewConn sends a GET request over a new connection.
func (c *Client) getOverNewConn(ctx context.Context, address, path string) (*http.Response, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "create request")
	}
	res, err := singleUseClient(conn).Do(req)
	if err != nil {
		return nil, classifyError(ctx, err)
	}
	return res, nil
}

func (c *Client) openStream(ctx context.Context, attemptID string, send func(context.Context) (*http.Response, error)) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{attemptID: attemptID, cancel: cancel, ctx: ctx, silenceTimeout: c.silenceTimeout}
	s.silenceTimer = time.AfterFunc(c.silenceTimeout, func() { cancel(ErrSilent) })
	res, err := send(ctx)
	if err != nil {
		s.cancelRead()
		return nil, err
	}
	s.body, s.header = res.Body, res.Header
	if err := statusError(res); err != nil {
		s.Close()
		return nil, err
	}
	if got := res.Header.Get(fpchat.AttemptHeader); got != attemptID {
		s.Close()
		return nil, errors.Wrapf(ErrMismatched, "asked for %q, got %q", attemptID, got)
	}
	s.chunks = fpchat.NewChunkReader(res.Body)
	return s, nil
}

// Next returns the next piece and skips heartbeats. It returns io.EOF at a marked
// end of the stream, and ErrInterrupted, ErrSilent or ErrMismatched when the
// stream fails.
func (s *Stream) Next() (fpstream.Piece, error) {
	for {
		a, ok, err := s.chunks.ReadChunk()
		s.silenceTimer.Reset(s.silenceTimeout)
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return fpstream.Piece{}, io.EOF
		case err != nil:
			return fpstream.Piece{}, classifyError(s.ctx, err)
		case !ok:
			continue
		case a.ID != s.attemptID:
			return fpstream.Piece{}, errors.Wrapf(ErrMismatched, "piece of %q", a.ID)
		}
		if a.Usage != nil {
			s.usage = *a.Usage
		}
		return newPiece(a), nil
	}
}

// Usage returns the token counts of the last piece that carried them.
func (s *Stream) Usage() fpchat.Usage { return s.usage }

// SoftwareVersion returns the software version that the answering process told, and whether it told one.
func (s *Stream) SoftwareVersion() (string, bool) {
	told := s.header.Values(fpchat.SoftwareHeader)
	if len(told) == 0 {
		return "", false
	}
	return told[0], true
}

// Close ends the stream and releases its connection.
func (s *Stream) Close() {
	s.cancelRead()
	_ = s.body.Close()
}

func (s *Stream) cancelRead() {
	s.silenceTimer.Stop()
	s.cancel(context.Canceled)
}

func newPiece(a fpchat.Answer) fpstream.Piece {
	p := fpstream.Piece{Attempt: a.ID, Offset: a.Offset, Text: a.Text()}
	if a.Total != nil {
		p.Final = true
		p.Total = *a.Total
	}
	return p
}
