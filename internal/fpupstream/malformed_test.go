package fpupstream

import (
	"context"
	"fmt"
	"net/http"
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
