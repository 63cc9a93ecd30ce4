package fpcaller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpdispatch"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

// TestFailedStreamLooksIncomplete checks that a stream that fails midway brings the error as an event
// that holds no text, and has no end that a reader takes for the answer's.
func TestFailedStreamLooksIncomplete(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	sink := &streamSink{writer: w, controller: http.NewResponseController(w), writeTimeout: time.Second, closed: make(chan struct{})}
	sink.BeginAnswer("engine-1", "")
	is.NoErr(sink.WriteText(0, "hello "))
	ledger := fpoutcome.NewLedger(true)
	ledger.MarkDispatched()
	sink.writeError(fpdispatch.AdmittedRequest{}, ledger.IncompleteOutcome("status 500", 0))
	sink.close()
	reader, text := fpchat.NewChunkReader(strings.NewReader(w.Body.String())), ""
	for {
		a, _, err := reader.ReadChunk()
		if err != nil {
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
			break
		}
		is.True(a.Total == nil)
		text += a.Text()
	}
	is.Equal(text, "hello ")
	is.Equal(strings.Count(w.Body.String(), `"Failed"`), 1)
}
