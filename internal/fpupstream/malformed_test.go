package fpupstream

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
)

// TestMalformedAnswer checks that bytes that are no answer in the protocol are none to any call.
func TestMalformedAnswer(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := fpconntest.ServeText(t, fmt.Sprintf(text, "X-Attempt-Id: a\r\n"))
			c := NewClient(Settings{SilenceTimeout: 50 * time.Millisecond})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.CallService(ctx, Attempt{ID: "a", RequestID: "r", Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{}})
			is.True(err != nil)
			_, err = c.OpenStream(ctx, Attempt{ID: "a", RequestID: "r", Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{}, DispatchGate: func() error { return nil }})
			if name != "name in a trailer" {
				// The trailer follows the stream.
				is.True(err != nil)
			}
			_, err = c.FetchLoad(ctx, address)
			is.True(err != nil)
		})
	}
}

// TestServiceAnswerResetDuringRequest checks that an answer without a length that a reset cuts, while the call is still
// being written, is not taken for a whole one.
func TestServiceAnswerResetDuringRequest(t *testing.T) {
	address := fpconntest.ServeReset(t, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\na part")
	for range 8 {
		c := NewClient(Settings{SilenceTimeout: 200 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		body := []byte(strings.Repeat("x", 16<<20))
		r := c.sendAndRead(ctx, Attempt{ID: "a", RequestID: "r", Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: body})
		cancel()
		c.Close()
		if r.err == nil {
			t.Fatalf("a part counts as whole: %q", r.response.Body)
		}
	}
}
