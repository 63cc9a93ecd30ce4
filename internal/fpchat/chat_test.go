package fpchat

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestEvents reads what is written, and tells a marked end from a cut one.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(WriteEvent(&b, Chunk("a", "m", 0, "hello ")))
	b.WriteString(Heartbeat)
	is.NoErr(WriteEvent(&b, End("a", "m", 6, Usage{PromptTokens: 2})))
	cut := NewEvents(strings.NewReader(b.String()))
	is.NoErr(WriteDone(&b))
	whole := NewEvents(strings.NewReader(b.String()))
	text, beats := "", 0
	for {
		a, ok, err := whole.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if !ok {
			beats++
		}
		text += a.Text()
	}
	is.Equal(text, "hello ")
	is.Equal(beats, 1)
	var err error
	for err == nil {
		_, _, err = cut.Next()
	}
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestLevelEnds takes declared levels, or every message but the last.
func TestLevelEnds(t *testing.T) {
	is := is.New(t)
	r := Request{Messages: []Message{{Content: "ab"}, {Content: "c"}, {Content: "d"}}}
	is.Equal(r.LevelEnds(), []int{3, 5})
	r.PrefixLevels = []int{1, 9, -1, 3}
	is.Equal(r.LevelEnds(), []int{3, 7})
	is.Equal(len(Request{}.LevelEnds()), 0)
}

func FuzzEvents(f *testing.F) {
	f.Add("data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n")
	f.Fuzz(func(_ *testing.T, text string) {
		events := NewEvents(strings.NewReader(text))
		for {
			if _, _, err := events.Next(); err != nil {
				return
			}
		}
	})
}
