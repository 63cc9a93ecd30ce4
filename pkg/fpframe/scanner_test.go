package fpframe

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// scanAll scans a text in pieces of n bytes and returns the heads, and how many bodies ended.
func scanAll(s *Scanner, text string, n int) (heads []Head, bodies int, err error) {
	for p := []byte(text); len(p) > 0; {
		piece := p[:min(n, len(p))]
		p = p[len(piece):]
		for len(piece) > 0 {
			k, event, err := s.Scan(piece)
			if err != nil {
				return heads, bodies, err
			}
			piece = piece[k:]
			switch event {
			case HeadEnd:
				heads = append(heads, s.Head())
			case BodyEnd:
				bodies++
			}
		}
	}
	return heads, bodies, nil
}

// TestMalformedAnswers checks that bytes that are no answer in the protocol are an error, however they are cut.
func TestMalformedAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"status 000":               "HTTP/1.1 000 None\r\n\r\n",
		"status 099":               "HTTP/1.1 099 None\r\n\r\n",
		"status +20":               "HTTP/1.1 +20 None\r\n\r\n",
		"status 999":               "HTTP/1.1 999 None\r\n\r\n",
		"status 600":               "HTTP/1.1 600 None\r\n\r\n",
		"status of four digits":    "HTTP/1.1 2000 OK\r\n\r\n",
		"switched protocols":       "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"version 3.7":              "HTTP/3.7 200 OK\r\n\r\n",
		"version 1.2":              "HTTP/1.2 200 OK\r\n\r\n",
		"two blanks":               "HTTP/1.1  200 OK\r\n\r\n",
		"control byte in reason":   "HTTP/1.1 200 O\x01K\r\n\r\n",
		"no status line":           "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"blank before the colon":   ok + "Content-Length : 5\r\n\r\nhello",
		"tab before the colon":     ok + "Content-Length\t: 5\r\n\r\nhello",
		"blank in a name":          ok + "X Odd: 1\r\n\r\n",
		"control byte in a name":   ok + "X\x01Odd: 1\r\n\r\n",
		"high byte in a name":      ok + "X\xffOdd: 1\r\n\r\n",
		"return in a name":         ok + "X\rOdd: 1\r\n\r\n",
		"return in a value":        ok + "X: a\rb\r\n\r\n",
		"zero byte in a value":     ok + "X: a\x00b\r\n\r\n",
		"control byte in a value":  ok + "X: a\x7fb\r\n\r\n",
		"no name":                  ok + ": 1\r\n\r\n",
		"no colon":                 ok + "Odd\r\n\r\n",
		"folded value":             ok + "X: 1\r\n 2\r\n\r\n",
		"signed length":            ok + "Content-Length: +5\r\n\r\nhello",
		"two lengths":              ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"list of lengths":          ok + "Content-Length: 5, 5\r\n\r\nhello",
		"empty length":             ok + "Content-Length:\r\n\r\nhello",
		"length and chunks":        ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other encoding":           ok + "Transfer-Encoding: gzip\r\n\r\n",
		"two encodings":            ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks in version 1.0":    strings.Replace(chunked, "1.1", "1.0", 1),
		"size is no number":        chunked + "x\r\n",
		"size with a sign":         chunked + "+1\r\na\r\n",
		"no size":                  chunked + "\r\n",
		"size too long":            chunked + "1000000000000000\r\n",
		"more bytes than the size": chunked + "1\r\nab\r\n",
		"blank in a trailer":       chunked + "0\r\nX Odd: 1\r\n\r\n",
		"second answer":            ok + "Content-Length: 1\r\n\r\naHTTP/1.1 000 No\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			for _, n := range []int{1, 7, len(text)} {
				s := NewAnswerScanner()
				_, _, err := scanAll(&s, text, n)
				is.New(t).True(errors.Is(err, ErrMalformed))
			}
		})
	}
}

// TestAnswers checks where the parts of answers end.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		text          string
		skipsBody     bool
		heads, bodies int
		endless       bool
	}{
		"length":              {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.0 404\r\ncontent-length: 1\r\n\r\na", heads: 2, bodies: 2},
		"same length twice":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", heads: 1, bodies: 1},
		"no body":             {text: "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No\r\n\r\nHTTP/1.1 304 Not\r\nContent-Length: 9\r\n\r\n", heads: 3},
		"interim":             {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", heads: 2, bodies: 1},
		"head only":           {text: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", skipsBody: true, heads: 3, bodies: 1},
		"chunks":              {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1;x=y\r\na\r\nA\r\n0123456789\r\n0\r\nT: \xe9\r\n\r\nHTTP/1.1 200 OK\r\n", heads: 1, bodies: 1},
		"bare line feeds":     {text: "HTTP/1.1 200 OK\nContent-Length: 1\n\na", heads: 1, bodies: 1},
		"end with connection": {text: "HTTP/1.1 200 OK\r\nX:\r\n\r\nabc\r\n\r\n", heads: 1, endless: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, n := range []int{1, 5, len(tt.text)} {
				s := NewAnswerScanner()
				if tt.skipsBody {
					s.SkipBody()
				}
				heads, bodies, err := scanAll(&s, tt.text, n)
				is.NoErr(err)
				is.Equal(len(heads), tt.heads)
				is.Equal(bodies, tt.bodies)
				is.Equal(s.EndsWithConnection(), tt.endless)
			}
		})
	}
}

// TestRequests checks the sizes of heads and where the parts of requests end.
func TestRequests(t *testing.T) {
	is := is.New(t)
	text := "POST /a HTTP/1.1\r\na:\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	for _, n := range []int{1, 5, len(text)} {
		var s Scanner
		heads, bodies, err := scanAll(&s, text, n)
		is.NoErr(err)
		is.Equal(len(heads), 3)
		is.Equal(bodies, 2)
		is.Equal(heads[0], Head{StartBytes: 18, FieldBytes: 25, Lines: 2, Method: "POST", Length: 3})
		is.Equal(heads[1].Length, int64(-1))
		is.True(heads[2].Chunked)
		is.True(s.Between())
		is.Equal(s.BodyBytes(), int64(2))
	}
	// What can't be followed counts as a head without end.
	for _, text := range []string{"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx"} {
		var s Scanner
		_, _, err := scanAll(&s, text+strings.Repeat("\r\n", 100), 3)
		is.NoErr(err)
		is.True(s.InHead())
		is.True(!s.Between())
		is.True(s.Head().FieldBytes > 200)
	}
}

// BenchmarkScan scans a request with a header of 1 KB and a body of 10 KB.
func BenchmarkScan(b *testing.B) {
	text := []byte("POST /a HTTP/1.1\r\n" + strings.Repeat("Some-Field: its value, of some length\r\n", 25) + "Content-Length: 10000\r\n\r\n" + strings.Repeat("x", 10000))
	var s Scanner
	for b.Loop() {
		for p := text; len(p) > 0; {
			n, _, _ := s.Scan(p)
			p = p[n:]
		}
	}
}
