package fpstream

import (
	"github.com/cockroachdb/errors"
)

const (
	// MaxBufferedBytes bounds the text buffered behind a gap; beyond it the caller
	// resumes the attempt at the delivered offset instead.
	MaxBufferedBytes = 256 << 10
)

var (
	// ErrOtherAttempt is returned for a piece of an attempt other than the current one.
	ErrOtherAttempt = errors.New("piece of another attempt")
	// ErrBufferFull is returned when a piece would exceed MaxBufferedBytes.
	ErrBufferFull = errors.New("too much text behind a gap")
	// ErrTotalMismatch is returned when a piece's offset or the stated total length is inconsistent.
	ErrTotalMismatch = errors.New("stated total contradicts the pieces")
)

type (
	// Piece is a part of an answer. Offset counts bytes from the start of the
	// answer; Total is the answer's length and is set when Final is.
	Piece struct {
		Attempt string
		Offset  int
		Text    string
		Final   bool
		Total   int
	}

	// Assembler reassembles the pieces of one answer; its zero value has received
	// nothing and takes pieces of the attempt with the empty ID.
	Assembler struct {
		attempt       string
		delivered     int
		buffered      map[int]string
		bufferedBytes int
		total         int
		ended         bool
	}
)

// WithAttempt returns an assembler that continues with a new attempt at the
// delivered offset; text that the former attempt buffered is dropped.
func (a Assembler) WithAttempt(id string) Assembler {
	return Assembler{attempt: id, delivered: a.delivered}
}

// Attempt returns the ID of the current attempt.
func (a Assembler) Attempt() string { return a.attempt }

// Delivered returns the number of bytes delivered so far.
func (a Assembler) Delivered() int { return a.delivered }

// Complete reports whether the total is known and all bytes are delivered.
func (a Assembler) Complete() bool { return a.ended && a.delivered == a.total }

// Add accepts a piece and returns the text that can be delivered now, which may
// be empty. On ErrOtherAttempt and ErrTotalMismatch the assembler is unchanged.
func (a *Assembler) Add(p Piece) (string, error) {
	if p.Attempt != a.attempt {
		return "", errors.Wrapf(ErrOtherAttempt, "piece of %q, current %q", p.Attempt, a.attempt)
	}
	if err := a.checkTotal(p); err != nil {
		return "", err
	}
	if p.Final {
		a.ended = true
		a.total = p.Total
	}
	return a.deliverOrBuffer(p)
}

func (a *Assembler) checkTotal(p Piece) error {
	end := p.Offset + len(p.Text)
	switch {
	case p.Offset < 0:
		return errors.Wrapf(ErrTotalMismatch, "offset %d", p.Offset)
	case p.Final && a.ended && p.Total != a.total:
		return errors.Wrapf(ErrTotalMismatch, "total %d, before %d", p.Total, a.total)
	case p.Final && (p.Total < end || p.Total < a.delivered):
		return errors.Wrapf(ErrTotalMismatch, "total %d, received %d", p.Total, max(end, a.delivered))
	case a.ended && end > a.total:
		return errors.Wrapf(ErrTotalMismatch, "piece ends at %d, total %d", end, a.total)
	}
	return nil
}

func (a *Assembler) deliverOrBuffer(p Piece) (string, error) {
	if p.Offset > a.delivered {
		return "", a.bufferPiece(p)
	}
	if p.Offset+len(p.Text) <= a.delivered {
		return "", nil
	}
	text := p.Text[a.delivered-p.Offset:]
	a.delivered += len(text)
	for len(a.buffered) > 0 {
		more := a.takeBuffered()
		if more == "" {
			break
		}
		text += more
	}
	return text, nil
}

func (a *Assembler) bufferPiece(p Piece) error {
	if a.bufferedBytes+len(p.Text) > MaxBufferedBytes {
		return errors.Wrapf(ErrBufferFull, "%d bytes", a.bufferedBytes)
	}
	if len(a.buffered[p.Offset]) >= len(p.Text) {
		return nil
	}
	if a.buffered == nil {
		a.buffered = make(map[int]string)
	}
	a.bufferedBytes += len(p.Text) - len(a.buffered[p.Offset])
	a.buffered[p.Offset] = p.Text
	return nil
}

// takeBuffered removes and returns buffered text that continues at the delivered
// offset, or returns the empty string when there is none.
func (a *Assembler) takeBuffered() string {
	for o, text := range a.buffered {
		if o > a.delivered {
			continue
		}
		delete(a.buffered, o)
		a.bufferedBytes -= len(text)
		if o+len(text) <= a.delivered {
			continue
		}
		text = text[a.delivered-o:]
		a.delivered += len(text)
		return text
	}
	return ""
}
