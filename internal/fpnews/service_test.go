package fpnews

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestAfter asks a host whose clock differs, and checks that the proof is never
// younger than it is.
func TestAfter(t *testing.T) {
	const asked, theirs = time.Hour, 500 * time.Hour
	heard := fpstore.Update{Complete: true, Revision: 10, Sent: theirs - 400*time.Millisecond}
	change := fpstore.Update{Items: []fpstore.Item{{Key: "k", Value: []byte("\x00v"), Revision: 11}, {Key: "l", Revision: 12, Deleted: true}}, Revision: 12, Sent: heard.Sent}
	tests := map[string]struct {
		after int64
		name  string
		// stands is how long the asking host stands still before the answer is read.
		stands time.Duration
		check  func(*is.I, News, error)
	}{
		"changes and age": {after: 10, name: "peer", check: func(is *is.I, n News, err error) {
			is.NoErr(err)
			is.Equal(n.Items, change.Items)
			is.Equal(n.Revision, int64(12))
			is.Equal(n.Sent, asked-400*time.Millisecond)
		}},
		"nothing new": {after: 12, name: "peer", check: func(is *is.I, n News, err error) {
			is.NoErr(err)
			is.Equal(len(n.Items), 0)
		}},
		"a host that stood still meanwhile": {after: 12, name: "peer", stands: 7 * time.Second, check: func(is *is.I, n News, err error) {
			is.NoErr(err)
			is.Equal(n.Sent, asked-400*time.Millisecond)
		}},
		"a revision that is forgotten": {after: 9, name: "peer", check: func(is *is.I, _ News, err error) {
			is.True(errors.Is(err, ErrForgotten))
		}},
		"another host at the address": {after: 10, name: "other", check: func(is *is.I, _ News, err error) {
			is.True(errors.Is(err, ErrUnreachable))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h History
			h.Add(heard)
			h.Add(change)
			now := asked
			inner := NewHandler("peer", &h, func() time.Duration { return theirs })
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				inner.ServeHTTP(w, r)
				now += tt.stands
			}))
			defer s.Close()
			c := NewClient(func() time.Duration { return now })
			defer c.Close()
			n, err := c.After(context.Background(), s.Listener.Addr().String(), tt.name, tt.after)
			tt.check(is.New(t), n, err)
		})
	}
}

// TestAfterNoHost checks that a host that is gone is told apart from one that forgot.
func TestAfterNoHost(t *testing.T) {
	c := NewClient(func() time.Duration { return 0 })
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	_, err := c.After(context.Background(), address, "peer", 1)
	is.New(t).True(errors.Is(err, ErrUnreachable))
}
