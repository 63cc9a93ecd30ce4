package fpchat

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestReadChunk checks that chunks and heartbeats are read back as written, and that a stream that
// ends without the end marker yields io.ErrUnexpectedEOF.
func TestReadChunk(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(WriteEvent(&b, NewChunk("a", "m", 0, "hello ")))
	b.WriteString(Heartbeat)
	is.NoErr(WriteEvent(&b, NewFinalChunk("a", "m", 6, Usage{PromptTokens: 2})))
	truncated := NewChunkReader(strings.NewReader(b.String()))
	is.NoErr(WriteDone(&b))
	complete := NewChunkReader(strings.NewReader(b.String()))
	text, heartbeats := "", 0
	for {
		a, ok, err := complete.ReadChunk()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if !ok {
			heartbeats++
		}
		text += a.Text()
	}
	is.Equal(text, "hello ")
	is.Equal(heartbeats, 1)
	var err error
	for err == nil {
		_, _, err = truncated.ReadChunk()
	}
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestPrefixLevelEnds checks declared levels, of which invalid ones are skipped, and the default of
// every message but the last.
func TestPrefixLevelEnds(t *testing.T) {
	is := is.New(t)
	r := Request{Messages: []Message{{Content: "ab"}, {Content: "c"}, {Content: "d"}}}
	is.Equal(r.PrefixLevelEnds(), []int{3, 5})
	r.PrefixLevels = []int{1, 9, -1, 3}
	is.Equal(r.PrefixLevelEnds(), []int{3, 7})
	is.Equal(len(Request{}.PrefixLevelEnds()), 0)
}

func FuzzReadChunk(f *testing.F) {
	f.Add("data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n")
	f.Fuzz(func(_ *testing.T, text string) {
		events := NewChunkReader(strings.NewReader(text))
		for {
			if _, _, err := events.ReadChunk(); err != nil {
				return
			}
		}
	})
}
