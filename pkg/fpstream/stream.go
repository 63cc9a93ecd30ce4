package fpstream

import (
	"github.com/cockroachdb/errors"
)

const (
	// MaxHeldBytes is the text that may wait behind a gap before the attempt is resumed instead.
	MaxHeldBytes = 256 << 10
)

var (
	// ErrOtherAttempt is returned for a piece of an attempt that is not the current one.
	ErrOtherAttempt = errors.New("piece of another attempt")
	// ErrHeldTooMuch is returned when too much text waits behind a gap.
	ErrHeldTooMuch = errors.New("too much text behind a gap")
	// ErrTotal is returned when the stated total contradicts what was received.
	ErrTotal = errors.New("stated total contradicts the pieces")
)

type (
	// Piece is a part of an answer; Offset counts bytes from the start of the whole answer.
	Piece struct {
		Attempt string
		Offset  int
		Text    string
		Final   bool
		Total   int
	}

	// Assembler puts pieces in order; its zero value waits for the first attempt.
	Assembler struct {
		attempt   string
		delivered int
		held      map[int]string
		heldBytes int
		total     int
		ended     bool
	}
)

// WithAttempt returns the assembler after a new attempt has taken over at the
// delivered offset; what the former attempt left behind a gap is dropped.
func (a Assembler) WithAttempt(id string) Assembler {
	return Assembler{attempt: id, delivered: a.delivered}
}

// Attempt returns the ID of the current attempt.
func (a Assembler) Attempt() string { return a.attempt }

// Delivered returns the number of bytes delivered so far.
func (a Assembler) Delivered() int { return a.delivered }

// Complete reports whether the end was stated and every byte before it delivered.
func (a Assembler) Complete() bool { return a.ended && a.delivered == a.total }

// Add takes in a piece and returns the text that can be delivered now, which
// may be empty. On an error nothing was taken in.
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
	return a.take(p)
}

func (a *Assembler) checkTotal(p Piece) error {
	end := p.Offset + len(p.Text)
	switch {
	case p.Offset < 0:
		return errors.Wrapf(ErrTotal, "offset %d", p.Offset)
	case p.Final && a.ended && p.Total != a.total:
		return errors.Wrapf(ErrTotal, "total %d, before %d", p.Total, a.total)
	case p.Final && (p.Total < end || p.Total < a.delivered):
		return errors.Wrapf(ErrTotal, "total %d, received %d", p.Total, max(end, a.delivered))
	case a.ended && end > a.total:
		return errors.Wrapf(ErrTotal, "piece ends at %d, total %d", end, a.total)
	}
	return nil
}

func (a *Assembler) take(p Piece) (string, error) {
	if p.Offset > a.delivered {
		return "", a.hold(p)
	}
	if p.Offset+len(p.Text) <= a.delivered {
		return "", nil
	}
	text := p.Text[a.delivered-p.Offset:]
	a.delivered += len(text)
	for len(a.held) > 0 {
		more := a.release()
		if more == "" {
			break
		}
		text += more
	}
	return text, nil
}

func (a *Assembler) hold(p Piece) error {
	if a.heldBytes+len(p.Text) > MaxHeldBytes {
		return errors.Wrapf(ErrHeldTooMuch, "%d bytes", a.heldBytes)
	}
	if len(a.held[p.Offset]) >= len(p.Text) {
		return nil
	}
	if a.held == nil {
		a.held = make(map[int]string)
	}
	a.heldBytes += len(p.Text) - len(a.held[p.Offset])
	a.held[p.Offset] = p.Text
	return nil
}

// release returns held text that continues at the delivered offset.
func (a *Assembler) release() string {
	for o, text := range a.held {
		if o > a.delivered {
			continue
		}
		delete(a.held, o)
		a.heldBytes -= len(text)
		if o+len(text) <= a.delivered {
			continue
		}
		text = text[a.delivered-o:]
		a.delivered += len(text)
		return text
	}
	return ""
}
