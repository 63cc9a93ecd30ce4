package fpfeed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestFetchChanges fetches changes from a host whose clock differs, and checks that the age
// is never underestimated.
func TestFetchChanges(t *testing.T) {
	const localNow, peerNow = time.Hour, 500 * time.Hour
	list := fpstore.Update{Complete: true, Position: at(10), SentAt: peerNow - 400*time.Millisecond}
	change := fpstore.Update{Items: []fpstore.Item{{Key: "k", Value: []byte("\x00v"), Revision: 11}, {Key: "l", Revision: 12, Deleted: true}}, Position: at(12), SentAt: list.SentAt}
	tests := map[string]struct {
		after int64
		host  string
		// suspended is how long the requesting host is suspended before it reads the response.
		suspended time.Duration
		check     func(*is.I, ChangeSet, error)
	}{
		"changes and age": {after: 10, host: "peer", check: func(is *is.I, changes ChangeSet, err error) {
			is.NoErr(err)
			is.Equal(changes.Items, change.Items)
			is.Equal(changes.Position, at(12))
			is.Equal(changes.SentAt, localNow-400*time.Millisecond)
		}},
		"no changes": {after: 12, host: "peer", check: func(is *is.I, changes ChangeSet, err error) {
			is.NoErr(err)
			is.Equal(len(changes.Items), 0)
		}},
		"requesting host suspended": {after: 12, host: "peer", suspended: 7 * time.Second, check: func(is *is.I, changes ChangeSet, err error) {
			is.NoErr(err)
			is.Equal(changes.SentAt, localNow-400*time.Millisecond)
		}},
		"revision no longer in the history": {after: 9, host: "peer", check: func(is *is.I, _ ChangeSet, err error) {
			is.True(errors.Is(err, ErrHistoryTrimmed))
		}},
		"another host at the address": {after: 10, host: "other", check: func(is *is.I, _ ChangeSet, err error) {
			is.True(errors.Is(err, ErrUnreachable))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h History
			h.ApplyUpdate(list)
			h.ApplyUpdate(change)
			now := localNow
			inner := NewHandler("peer", &h, func() time.Duration { return peerNow })
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				inner.ServeHTTP(w, r)
				now += tt.suspended
			}))
			defer s.Close()
			c := NewClient(func() time.Duration { return now })
			defer c.Close()
			changes, err := c.FetchChanges(context.Background(), s.Listener.Addr().String(), tt.host, at(tt.after))
			tt.check(is.New(t), changes, err)
		})
	}
}

// TestFetchChangesUnreachable checks that an unreachable host is told apart from a trimmed history.
func TestFetchChangesUnreachable(t *testing.T) {
	c := NewClient(func() time.Duration { return 0 })
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	_, err := c.FetchChanges(context.Background(), address, "peer", at(1))
	is.New(t).True(errors.Is(err, ErrUnreachable))
}

// TestFetchChangesMalformed checks that bytes that are no answer in the protocol bring no changes.
func TestFetchChangesMalformed(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			c := NewClient(func() time.Duration { return 0 })
			defer c.Close()
			text = strings.NewReplacer("{}", `{"Host":"peer"}`, "Length: 2", "Length: 15", "\r\n2\r\n", "\r\nf\r\n").Replace(text)
			address := fpconntest.ServeText(t, fmt.Sprintf(text, "Content-Type: application/json\r\n"))
			_, err := c.FetchChanges(context.Background(), address, "peer", at(1))
			is.New(t).True(errors.Is(err, ErrUnreachable))
		})
	}
}
