package fpframe

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// Nothing means that all bytes were scanned and no part of a message ended.
	Nothing Event = iota
	// HeadEnd means that a head ended. Without a body, the message has ended too.
	HeadEnd
	// BodyEnd means that a body ended, and so did its message.
	BodyEnd
)

const (
	inStart state = iota
	inField
	inLengthBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inEndlessBody
	// atEnd means that a message has ended, whose head is kept until the next one begins.
	atEnd
	// inUnknown means that it is not known what a request's bytes are; they count as a head.
	inUnknown
)

const (
	// keptLineBytes is what is kept of a line: more than any line whose content matters.
	keptLineBytes = 256
	// maxChunkDigits bounds the digits of a chunk's size.
	maxChunkDigits = 15
	chunkedCoding  = "chunked"
	noLength       = -1
)

var (
	// ErrMalformed means that bytes are no answer in the protocol.
	ErrMalformed = errors.New("malformed answer")

	fieldLength   = []byte("content-length")
	fieldEncoding = []byte("transfer-encoding")
	nameBytes     = newNameBytes()
)

type (
	// Event is what ended at a byte.
	Event int

	state int

	// Head is what a head says of its message, and its size so far while it is not complete.
	Head struct {
		// StartBytes is the size of the first line and FieldBytes that of the fields, each with line ends.
		StartBytes, FieldBytes int
		// Lines is the number of fields.
		Lines int
		// Status is an answer's status.
		Status int
		// Method is a request's method, cut off after some bytes.
		Method string
		// Length is the length of the body, -1 without a Content-Length.
		Length int64
		// Chunked says that the body comes in chunks.
		Chunked bool
	}

	// Scanner follows the messages that pass in one direction of a connection. The zero value scans requests, which
	// it follows as far as it can: the server that reads them rejects what is malformed. It is not safe for
	// concurrent use.
	Scanner struct {
		answers bool
		state   state
		head    Head
		// line is the current line so far, cut off after keptLineBytes, lineBytes its length, last its last byte, and
		// nameEnded says that its name, or the size of a chunk, has passed.
		line      []byte
		lineBytes int
		last      byte
		nameEnded bool
		// digits is the number of digits of a chunk's size so far.
		digits int
		// encodings is the number of fields that name an encoding of the transfer, and minorVersion the digit after
		// HTTP/1. in an answer.
		encodings    int
		minorVersion byte
		// remaining is what is left of the body or chunk.
		remaining int64
		bodyBytes int64
		skipsBody bool
	}
)

// NewAnswerScanner returns a scanner of answers. It fails with ErrMalformed at bytes that are no answer in the protocol.
func NewAnswerScanner() Scanner { return Scanner{answers: true} }

// newNameBytes returns the bytes that a field's name may contain.
func newNameBytes() (out [256]bool) {
	for b := range out {
		c := byte(b)
		out[b] = '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
	}
	return out
}

// Head returns the head of the message that is being scanned.
func (s *Scanner) Head() Head { return s.head }

// BodyBytes returns the bytes of the body so far, without what marks its chunks.
func (s *Scanner) BodyBytes() int64 { return s.bodyBytes }

// InHead reports whether the next byte belongs to a head.
func (s *Scanner) InHead() bool {
	return s.state == inStart || s.state == inField || s.state == inUnknown || s.state == atEnd
}

// Between reports whether the next byte is the first of a message.
func (s *Scanner) Between() bool {
	return s.state == atEnd || s.state == inStart && s.head.StartBytes == 0
}

// EndsWithConnection reports whether only the end of the connection ends the message that is being scanned.
func (s *Scanner) EndsWithConnection() bool { return s.state == inEndlessBody }

// SkipBody says that the next answer has no body, whatever its head says of one.
func (s *Scanner) SkipBody() { s.skipsBody = true }

// Scan scans bytes until a part of a message ends, and returns how many it scanned. After an error it must not be called
// again.
func (s *Scanner) Scan(p []byte) (int, Event, error) {
	for i := 0; i < len(p); {
		switch s.state {
		case atEnd:
			s.begin()
		case inLengthBody, inChunkData, inEndlessBody:
			n := len(p) - i
			if s.state != inEndlessBody {
				n = int(min(int64(n), s.remaining))
				s.remaining -= int64(n)
			}
			s.bodyBytes += int64(n)
			i += n
			if s.state == inEndlessBody || s.remaining > 0 {
				continue
			}
			if s.state == inLengthBody {
				s.state = atEnd
				return i, BodyEnd, nil
			}
			s.state = inChunkEnd
		default:
			i += s.skipUnchecked(p[i:])
			if i == len(p) {
				break
			}
			event, err := s.scanByte(p[i])
			i++
			if err != nil || event != Nothing {
				return i, event, err
			}
		}
	}
	return len(p), Nothing, nil
}

// skipUnchecked scans the bytes of a request's line up to its end, as far as they need no check, and returns their number.
func (s *Scanner) skipUnchecked(p []byte) int {
	if s.answers || s.state == inChunkSize {
		return 0
	}
	n := bytes.IndexByte(p, '\n')
	if n < 0 {
		n = len(p)
	}
	s.countBytes(n)
	s.lineBytes += n
	s.line = append(s.line, p[:min(n, keptLineBytes-len(s.line))]...)
	return n
}

// scanByte scans a byte of a line.
func (s *Scanner) scanByte(b byte) (Event, error) {
	s.countBytes(1)
	if b != '\n' {
		if err := s.checkByte(b); err != nil {
			return Nothing, err
		}
		s.lineBytes++
		s.last = b
		if len(s.line) < keptLineBytes {
			s.line = append(s.line, b)
		}
		return Nothing, nil
	}
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	long := s.lineBytes > len(s.line)
	event, err := s.endLine(line, long)
	s.line, s.lineBytes, s.last, s.nameEnded, s.digits = s.line[:0], 0, 0, false, 0
	return event, err
}

// countBytes counts bytes of a head.
func (s *Scanner) countBytes(n int) {
	switch s.state {
	case inStart:
		s.head.StartBytes += n
	case inField, inUnknown:
		s.head.FieldBytes += n
	}
}

// checkByte checks a byte of a line of an answer.
func (s *Scanner) checkByte(b byte) error {
	if s.state == inChunkSize {
		return s.checkSizeByte(b)
	}
	if !s.answers {
		return nil
	}
	switch {
	case s.last == '\r', s.state == inChunkEnd && b != '\r':
		return ErrMalformed
	case s.state == inField || s.state == inTrailer:
		if !s.nameEnded && b != '\r' {
			s.nameEnded = b == ':' && s.lineBytes > 0
			if !s.nameEnded && !nameBytes[b] {
				return ErrMalformed
			}
			return nil
		}
	}
	if b < ' ' && b != '\t' && b != '\r' || b == 0x7f {
		return ErrMalformed
	}
	return nil
}

// checkSizeByte reads a byte of the line that begins a chunk.
func (s *Scanner) checkSizeByte(b byte) error {
	digit := hexDigit(b)
	switch {
	case s.nameEnded || b == '\r':
	case digit >= 0 && s.digits < maxChunkDigits:
		s.digits++
		s.remaining = s.remaining<<4 | digit
	case s.digits > 0 && (b == ';' || b == ' ' || b == '\t'):
		// What follows are extensions.
		s.nameEnded = true
	case s.answers:
		return ErrMalformed
	default:
		s.state = inUnknown
	}
	return nil
}

func hexDigit(b byte) int64 {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10
	default:
		return -1
	}
}

// endLine handles the end of a line; long says that only a part of it was kept.
func (s *Scanner) endLine(line []byte, long bool) (Event, error) {
	switch s.state {
	case inStart:
		return s.endStart(line)
	case inField:
		if len(line) == 0 {
			return s.endHead()
		}
		s.head.Lines++
		return Nothing, s.endField(line, long)
	case inChunkSize:
		return s.endChunkSize(line)
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if len(line) == 0 {
			s.state = atEnd
			return BodyEnd, nil
		}
		if s.answers && !s.nameEnded {
			return Nothing, ErrMalformed
		}
	}
	return Nothing, nil
}

func (s *Scanner) endStart(line []byte) (Event, error) {
	s.head.Length = noLength
	if s.answers {
		// HTTP/1.1 200 OK, or without the reason.
		if len(line) < 12 || string(line[:7]) != "HTTP/1." || line[7] != '0' && line[7] != '1' || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
			return Nothing, errors.Wrap(ErrMalformed, "status line")
		}
		for _, b := range line[9:12] {
			if b < '0' || b > '9' {
				return Nothing, errors.Wrap(ErrMalformed, "status")
			}
			s.head.Status = 10*s.head.Status + int(b-'0')
		}
		if s.head.Status < 100 || s.head.Status > 599 || s.head.Status == 101 {
			return Nothing, errors.Wrapf(ErrMalformed, "status %d", s.head.Status)
		}
		s.minorVersion = line[7]
	} else {
		if len(line) == 0 {
			// A server ignores empty lines before a request, or rejects them.
			return Nothing, nil
		}
		method, _, _ := bytes.Cut(line, []byte(" "))
		s.head.Method = string(method)
	}
	s.state = inField
	return Nothing, nil
}

// endField handles a whole field.
func (s *Scanner) endField(line []byte, long bool) error {
	if s.answers && !s.nameEnded {
		return errors.Wrap(ErrMalformed, "a line of the head is no field")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, fieldLength):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || long || s.head.Length != noLength && s.head.Length != int64(n) {
			return s.rejectField("Content-Length")
		}
		s.head.Length = int64(n)
	case bytes.EqualFold(name, fieldEncoding):
		s.encodings++
		if s.encodings > 1 || !bytes.EqualFold(value, []byte(chunkedCoding)) {
			return s.rejectField("Transfer-Encoding")
		}
		s.head.Chunked = true
	}
	return nil
}

// rejectField handles a field that says nothing certain of the body.
func (s *Scanner) rejectField(name string) error {
	if s.answers {
		return errors.Wrap(ErrMalformed, name)
	}
	s.state = inUnknown
	return nil
}

func (s *Scanner) endHead() (Event, error) {
	h := s.head
	if s.answers && h.Chunked && (h.Length != noLength || s.minorVersion == '0') {
		return Nothing, errors.Wrap(ErrMalformed, "the length of the body is not certain")
	}
	s.bodyBytes = 0
	switch {
	case s.answers && (h.Status < 200 || s.skipsBody || h.Status == 204 || h.Status == 304):
		s.skipsBody = s.skipsBody && h.Status < 200
		s.state = atEnd
	case h.Chunked:
		s.state, s.remaining = inChunkSize, 0
	case h.Length > 0:
		s.state, s.remaining = inLengthBody, h.Length
	case h.Length == 0 || !s.answers:
		s.state = atEnd
	default:
		s.state = inEndlessBody
	}
	return HeadEnd, nil
}

func (s *Scanner) endChunkSize(line []byte) (Event, error) {
	switch {
	case s.digits == 0 && s.answers:
		return Nothing, errors.Wrapf(ErrMalformed, "size of a chunk: %.20q", line)
	case s.digits == 0:
		s.state = inUnknown
	case s.remaining == 0:
		s.state = inTrailer
	default:
		s.state = inChunkData
	}
	return Nothing, nil
}

// begin begins a message.
func (s *Scanner) begin() {
	s.state, s.remaining, s.bodyBytes, s.encodings, s.minorVersion = inStart, 0, 0, 0, 0
	s.head = Head{Length: noLength}
}
