package fpstream

import (
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestAdd(t *testing.T) {
	tests := map[string]struct {
		pieces   []Piece
		want     string
		complete bool
		err      error
	}{
		"in order":          {pieces: []Piece{{Text: "ab"}, {Offset: 2, Text: "c", Final: true, Total: 3}}, want: "abc", complete: true},
		"duplicate":         {pieces: []Piece{{Text: "ab"}, {Text: "ab"}, {Offset: 1, Text: "bc"}}, want: "abc"},
		"reordered":         {pieces: []Piece{{Offset: 2, Text: "c", Final: true, Total: 3}, {Text: "ab"}}, want: "abc", complete: true},
		"gap":               {pieces: []Piece{{Text: "a"}, {Offset: 2, Text: "c", Final: true, Total: 3}}, want: "a"},
		"short total":       {pieces: []Piece{{Text: "abc"}, {Offset: 3, Final: true, Total: 2}}, want: "abc", err: ErrTotalMismatch},
		"beyond total":      {pieces: []Piece{{Text: "a", Final: true, Total: 1}, {Offset: 1, Text: "b"}}, want: "a", complete: true, err: ErrTotalMismatch},
		"other attempt":     {pieces: []Piece{{Text: "a"}, {Attempt: "2", Offset: 1, Text: "x"}}, want: "a", err: ErrOtherAttempt},
		"negative offset":   {pieces: []Piece{{Offset: -1, Text: "x"}}, err: ErrTotalMismatch},
		"buffer full":       {pieces: []Piece{{Offset: 1, Text: strings.Repeat("x", MaxBufferedBytes+1)}}, err: ErrBufferFull},
		"empty answer":      {pieces: []Piece{{Final: true}}, complete: true},
		"two stated totals": {pieces: []Piece{{Offset: 5, Final: true, Total: 5}, {Offset: 6, Final: true, Total: 6}}, err: ErrTotalMismatch},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var a Assembler
			var got strings.Builder
			var last error
			for _, p := range tt.pieces {
				text, err := a.Add(p)
				got.WriteString(text)
				if err != nil {
					last = err
				}
			}
			is.Equal(got.String(), tt.want)
			is.Equal(a.Complete(), tt.complete)
			is.True(tt.err == nil && last == nil || errors.Is(last, tt.err))
		})
	}
}

// TestDeliversWholeAnswer checks that duplicates, reordering and a change of
// attempt neither lose, repeat nor mix bytes of the answer.
func TestDeliversWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.StringN(1, 200, 400).Draw(t, "whole")
		seed := rapid.Uint64().Draw(t, "seed")
		r := rand.New(rand.NewPCG(seed, 1))
		var a Assembler
		a = a.WithAttempt("first")
		var got strings.Builder
		add := func(p Piece) {
			text, err := a.Add(p)
			if err != nil && !errors.Is(err, ErrOtherAttempt) {
				t.Fatal(err)
			}
			got.WriteString(text)
		}
		for range r.IntN(20) {
			add(randomPiece(r, whole, "first"))
		}
		a = a.WithAttempt("second")
		add(Piece{Attempt: "first", Offset: a.Delivered(), Text: "WRONG"})
		for !a.Complete() {
			add(randomPiece(r, whole, "second"))
		}
		if got.String() != whole {
			t.Fatalf("delivered %q of %q", got.String(), whole)
		}
	})
}

// randomPiece returns a random non-empty part of the whole answer.
func randomPiece(r *rand.Rand, whole, attempt string) Piece {
	from := r.IntN(len(whole))
	to := from + 1 + r.IntN(len(whole)-from)
	return Piece{Attempt: attempt, Offset: from, Text: whole[from:to], Final: to == len(whole), Total: len(whole)}
}

func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	var a Assembler
	for i := range b.N {
		_, _ = a.Add(Piece{Offset: i * 4, Text: "word"})
	}
}
