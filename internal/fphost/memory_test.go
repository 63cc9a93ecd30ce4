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
	// promptBytes keeps the queue of all prompts together below what is refused as overload.
	promptBytes = 40
	// maxStreamBytes is the users' bound for that many open streams.
	maxStreamBytes = 256 << 20
)

// TestOpenStreams holds a thousand streams open at once, and counts the memory
// of the host together with that of the stand-ins and callers in this process.
func TestOpenStreams(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.engine.BlockPrefill(time.Hour)
	body := `{"model":"tutor","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", promptBytes) + `"}]}`
	responses := make([]*http.Response, openStreams)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, s.callers+"/v1/chat/completions", strings.NewReader(body))
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
			t.Error("a stream got no answer")
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
	t.Logf("%d streams: %d MB in use of the heap, %d MB of stacks, in this process", open, m.HeapInuse>>20, m.StackInuse>>20)
	if m.HeapInuse+m.StackInuse > maxStreamBytes {
		t.Errorf("%d bytes, bound %d", m.HeapInuse+m.StackInuse, maxStreamBytes)
	}
	for _, r := range responses {
		_ = r.Body.Close()
	}
	s.stop()
}
