package fphost

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	openStreams = 1000
	// promptBytes is so small that the queue of all prompts stays below the bound at which the host
	// refuses requests as overload.
	promptBytes = 40
	// maxMemoryBytes is the required bound on a host's memory with openStreams open: 256 MiB.
	maxMemoryBytes = 256 << 20
)

// TestOpenStreams guards against a rise of the memory for each open stream. It
// holds openStreams streams open at once; the memory measured includes that of
// the stand-ins and callers, which run in the same process.
func TestOpenStreams(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t)
	s.engine.BlockPrefill(time.Hour)
	body := `{"model":"tutor","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", promptBytes) + `"}]}`
	responses := make([]*http.Response, openStreams)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, s.callersURL+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return
			}
			req.Header.Set("Authorization", "Bearer "+teamKey)
			responses[i], _ = http.DefaultClient.Do(req)
		})
	}
	wg.Wait()
	open := 0
	for _, r := range responses {
		switch {
		case r == nil:
			t.Error("a stream got no response")
		case r.StatusCode != http.StatusOK:
			body, _ := io.ReadAll(r.Body)
			t.Errorf("status %d: %s", r.StatusCode, body)
		default:
			open++
		}
	}
	is.Equal(open, openStreams)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d streams: %d MB of heap in use, %d MB of stacks, in this process", open, m.HeapInuse>>20, m.StackInuse>>20)
	if m.HeapInuse+m.StackInuse > maxMemoryBytes {
		t.Errorf("%d bytes, bound %d", m.HeapInuse+m.StackInuse, maxMemoryBytes)
	}
	for _, r := range responses {
		_ = r.Body.Close()
	}
	s.stop()
}
