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
	// maxAllocationsPerPiece bounds the allocations for one piece of a stream that a host relays.
	maxAllocationsPerPiece = 30
	benchRequestBody       = `{"model":"tutor","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"why?"}]}`
)

// BenchmarkFirstToken measures a one-token answer from the stand-in engine, directly and through a
// host.
func BenchmarkFirstToken(b *testing.B) {
	s := newTestSite(b)
	defer s.stop()
	u, _ := s.host.snapshots.Load().Config.Document.Upstream("engine-1")
	for name, base := range map[string]string{"direct": "http://" + u.Address, "through a host": s.callersURL} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				sendBenchRequest(b, base, fmt.Sprintf("%s-%d-%d", b.Name(), b.N, i))
			}
		})
	}
}

func sendBenchRequest(b *testing.B, base, attempt string) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(benchRequestBody))
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

func encodePiece(offset int) string {
	var b strings.Builder
	_ = fpchat.WriteEvent(&b, fpchat.NewChunk("a", "tutor", offset, "abc "))
	return b.String()
}

// relayPiece decodes, assembles and encodes one piece.
func relayPiece(events *fpchat.ChunkReader, a *fpstream.Assembler) error {
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

// TestPieceAllocations guards against a rise of the allocations for each piece that a host relays.
func TestPieceAllocations(t *testing.T) {
	const runs = 500
	var stream strings.Builder
	for i := range runs + 1 {
		stream.WriteString(encodePiece(4 * i))
	}
	events := fpchat.NewChunkReader(strings.NewReader(stream.String()))
	a := fpstream.Assembler{}.WithAttempt("a")
	n := testing.AllocsPerRun(runs, func() {
		if err := relayPiece(events, &a); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%v allocations per piece", n)
	if n > maxAllocationsPerPiece {
		t.Errorf("%v allocations per piece, bound %d", n, maxAllocationsPerPiece)
	}
}

// BenchmarkPiece measures the relaying of pieces on one core, without the network.
func BenchmarkPiece(b *testing.B) {
	b.ReportAllocs()
	var stream strings.Builder
	for i := range b.N {
		stream.WriteString(encodePiece(4 * i))
	}
	events := fpchat.NewChunkReader(strings.NewReader(stream.String()))
	a := fpstream.Assembler{}.WithAttempt("a")
	b.ResetTimer()
	for range b.N {
		if err := relayPiece(events, &a); err != nil {
			b.Fatal(err)
		}
	}
}
