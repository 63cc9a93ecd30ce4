package fpgateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// TestLogsCrashWithSharedParts checks that the crash of a replica is logged once with the prompt parts
// of all requests that it broke off, and that a broken answer of a running replica is no crash.
func TestLogsCrashWithSharedParts(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	tc.queueBehaviours(fpfake.Truncate)
	is.True(tc.sendRequest("chat", nil).err != nil)
	for _, e := range tc.engines {
		e.SetEventDelay(300 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i, prompt := range []string{"aa:1200,b1:40,c1:300", "aa:1200,b2:40,c2:300"} {
		wg.Go(func() { tc.sendNumberedRequest("chat", 100+i, withPrompt(prompt)) })
	}
	tc.waitFor(func() bool { return len(tc.allRuns()) == 3 }, "requests running")
	for _, e := range tc.engines {
		e.Crash()
	}
	wg.Wait()
	logged := ""
	tc.waitFor(func() bool {
		logged = tc.linesWith(`"Message":"replica crashed"`)
		return strings.Contains(logged, "b1:1") && strings.Contains(logged, "b2:1")
	}, "crash logged")
	is.True(strings.Contains(logged, `"Proof":"connection refused"`))
	is.True(strings.Contains(logged, "aa:"))
	is.True(!strings.Contains(logged, "c1:")) // the last part is the request's own
	is.Equal(strings.Count(logged, "b1:1"), 1)
}

// linesWith returns the lines of the host's log that contain a text.
func (tc *testCluster) linesWith(text string) string {
	var out strings.Builder
	for line := range strings.Lines(tc.logs.String()) {
		if strings.Contains(line, text) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// withPrompt sets the parts of a request's prompt.
func withPrompt(parts string) func(*http.Request) {
	return func(q *http.Request) { q.Header.Set("Prompt-Prefix", parts) }
}

func countLines(text string) int { return strings.Count(text, "\n") }
