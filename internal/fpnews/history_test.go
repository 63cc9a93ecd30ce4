package fpnews

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

func items(from, to int64, value []byte) []fpstore.Item {
	var out []fpstore.Item
	for r := from; r <= to; r++ {
		out = append(out, fpstore.Item{Key: fmt.Sprint(r), Revision: r, Value: value})
	}
	return out
}

// TestHistory checks what a host can still tell after which updates.
func TestHistory(t *testing.T) {
	list := fpstore.Update{Complete: true, Revision: 10, Sent: time.Second}
	tests := map[string]struct {
		updates []fpstore.Update
		after   int64
		known   bool
		items   int
		sent    time.Duration
	}{
		"nothing heard":         {after: 10},
		"just listed":           {updates: []fpstore.Update{list}, after: 10, known: true, sent: time.Second},
		"before the list":       {updates: []fpstore.Update{list}, after: 9},
		"ahead of this host":    {updates: []fpstore.Update{list}, after: 12, known: true, sent: time.Second},
		"changes since":         {updates: []fpstore.Update{list, {Items: items(11, 15, nil), Revision: 15, Sent: 2 * time.Second}}, after: 12, known: true, items: 3, sent: 2 * time.Second},
		"an error says nothing": {updates: []fpstore.Update{list, {Err: fpstore.ErrRefused, Sent: time.Hour, Revision: 99}}, after: 10, known: true, sent: time.Second},
		"an older proof changes nothing": {
			updates: []fpstore.Update{list, {Revision: 10, Sent: time.Millisecond}}, after: 10, known: true, sent: time.Second,
		},
		"a new list forgets": {updates: []fpstore.Update{list, {Items: items(11, 15, nil), Revision: 15}, {Complete: true, Revision: 20}}, after: 15},
		"too many changes":   {updates: []fpstore.Update{list, {Items: items(11, 11+maxItems, nil), Revision: 11 + maxItems}}, after: 10},
		"the newest of too many": {
			updates: []fpstore.Update{list, {Items: items(11, 11+maxItems, nil), Revision: 11 + maxItems}},
			after:   11, known: true, items: maxItems, sent: time.Second,
		},
		"too many bytes": {updates: []fpstore.Update{list, {Items: items(11, 13, make([]byte, maxBytes/2)), Revision: 13}}, after: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h History
			for _, u := range tt.updates {
				h.Add(u)
			}
			n, ok := h.After(tt.after)
			is.Equal(ok, tt.known)
			is.Equal(len(n.Items), tt.items)
			is.Equal(n.Sent, tt.sent)
		})
	}
}
