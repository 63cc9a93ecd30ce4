package fpupstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

// TestRefusalOfAnotherAttempt checks which refusals prove that an attempt did not run: its own, and
// on a new connection one without an ID.
func TestRefusalOfAnotherAttempt(t *testing.T) {
	tests := map[string]struct {
		id   string
		kept bool
		want error
	}{
		"own":                         {id: "a1", want: fpupstream.ErrNotRun},
		"own, kept connection":        {id: "a1", kept: true, want: fpupstream.ErrNotRun},
		"without ID":                  {want: fpupstream.ErrNotRun},
		"without ID, kept connection": {kept: true, want: fpupstream.ErrMismatched},
		"another's":                   {id: "a0", want: fpupstream.ErrMismatched},
		"another's, kept connection":  {id: "a0", kept: true, want: fpupstream.ErrMismatched},
	}
	for name, tt := range tests {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusConflict} {
			t.Run(name+"/"+http.StatusText(status), func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/v1/load" {
						_, _ = w.Write([]byte("{}"))
						return
					}
					if tt.id != "" {
						w.Header().Set("X-Attempt-Id", tt.id)
					}
					w.WriteHeader(status)
				}))
				defer server.Close()
				c := fpupstream.NewClient(fpupstream.Settings{})
				defer c.Close()
				address := server.Listener.Addr().String()
				if tt.kept {
					_, err := c.FetchLoad(context.Background(), address)
					is.NoErr(err)
				}
				_, err := c.OpenStream(context.Background(), fpupstream.Attempt{ID: "a1", Address: address, Method: http.MethodPost, Path: "/"})
				is.True(errors.Is(err, tt.want))
				is.Equal(errors.Is(err, fpupstream.ErrNotRun), errors.Is(tt.want, fpupstream.ErrNotRun))
			})
		}
	}
}

// TestServiceRefusalOnceMore checks that a refusal without an ID in the place of a service's answer is
// not taken for it, on a new or a kept connection: the service is polled for the attempt.
func TestServiceRefusalOnceMore(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/v1/load":
					_, _ = w.Write([]byte("{}"))
				case "/v1/attempts/a1":
					w.Header().Set("X-Attempt-Id", "a1")
					_, _ = w.Write([]byte("booked"))
				default:
					runs.Add(1)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			defer server.Close()
			c := fpupstream.NewClient(fpupstream.Settings{})
			defer c.Close()
			address := server.Listener.Addr().String()
			if kept {
				_, err := c.FetchLoad(context.Background(), address)
				is.NoErr(err)
			}
			r, err := c.CallService(context.Background(), fpupstream.Attempt{ID: "a1", Address: address, Method: http.MethodPost, Path: "/book"})
			is.NoErr(err)
			is.Equal(string(r.Body), "booked")
			is.Equal(runs.Load(), int32(1))
		})
	}
}
