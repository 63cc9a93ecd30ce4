package fphost

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/pkg/fpstream"
)

const (
	// maxPieceAllocations bounds what one piece of a stream allocates on its way through a host.
	maxPieceAllocations = 30
	benchRequest        = `{"model":"tutor","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"why?"}]}`
)

// BenchmarkFirstToken measures a one-token answer from the stand-in engine, directly and through a host.
func BenchmarkFirstToken(b *testing.B) {
	s := newSite(b)
	defer s.stop()
	u, _ := s.host.state.Load().Config.Document.Upstream("engine-1")
	for name, base := range map[string]string{"direct": "http://" + u.Address, "through a host": s.callers} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				benchAsk(b, base, fmt.Sprintf("%s-%d-%d", b.Name(), b.N, i))
			}
		})
	}
}

func benchAsk(b *testing.B, base, attempt string) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(benchRequest))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set(fpchat.AttemptHeader, attempt)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

func piece(offset int) string {
	var b strings.Builder
	_ = fpchat.WriteEvent(&b, fpchat.NewChunk("a", "tutor", offset, "abc "))
	return b.String()
}

// relay takes one piece through decoding, assembly and encoding.
func relay(events *fpchat.ChunkReader, a *fpstream.Assembler) error {
	v, _, err := events.ReadChunk()
	if err != nil {
		return err
	}
	text, err := a.Add(fpstream.Piece{Attempt: v.ID, Offset: v.Offset, Text: v.Text()})
	if err != nil {
		return err
	}
	return fpchat.WriteEvent(io.Discard, fpchat.NewChunk("r", "tutor", v.Offset, text))
}

// TestPieceAllocations bounds the allocations of a piece's way through a host.
func TestPieceAllocations(t *testing.T) {
	const runs = 500
	var all strings.Builder
	for i := range runs + 1 {
		all.WriteString(piece(4 * i))
	}
	events := fpchat.NewChunkReader(strings.NewReader(all.String()))
	a := fpstream.Assembler{}.WithAttempt("a")
	n := testing.AllocsPerRun(runs, func() {
		if err := relay(events, &a); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%v allocations a piece", n)
	if n > maxPieceAllocations {
		t.Errorf("%v allocations a piece, bound %d", n, maxPieceAllocations)
	}
}

// BenchmarkPiece measures pieces through one core, without the network.
func BenchmarkPiece(b *testing.B) {
	b.ReportAllocs()
	var all strings.Builder
	for i := range b.N {
		all.WriteString(piece(4 * i))
	}
	events := fpchat.NewChunkReader(strings.NewReader(all.String()))
	a := fpstream.Assembler{}.WithAttempt("a")
	b.ResetTimer()
	for range b.N {
		if err := relay(events, &a); err != nil {
			b.Fatal(err)
		}
	}
}
