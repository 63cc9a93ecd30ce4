package fpfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

func at(revision int64) fpstore.Position { return fpstore.Position{Revision: revision} }

func itemsInRange(from, to int64, value []byte) []fpstore.Item {
	var out []fpstore.Item
	for r := from; r <= to; r++ {
		out = append(out, fpstore.Item{Key: fmt.Sprint(r), Revision: r, Value: value})
	}
	return out
}

// TestHistory checks which changes a history returns after which updates.
func TestHistory(t *testing.T) {
	list := fpstore.Update{Complete: true, Position: at(10), SentAt: time.Second}
	tests := map[string]struct {
		updates []fpstore.Update
		// incarnation is that of the position asked for.
		incarnation int64
		after       int64
		found       bool
		items       int
		sent        time.Duration
	}{
		"no list yet":                    {after: 10},
		"after the list":                 {updates: []fpstore.Update{list}, after: 10, found: true, sent: time.Second},
		"revision before the list":       {updates: []fpstore.Update{list}, after: 9},
		"revision ahead of this host":    {updates: []fpstore.Update{list}, after: 12, found: true, sent: time.Second},
		"changes after the list":         {updates: []fpstore.Update{list, {Items: itemsInRange(11, 15, nil), Position: at(15), SentAt: 2 * time.Second}}, after: 12, found: true, items: 3, sent: 2 * time.Second},
		"a position of before a restore": {updates: []fpstore.Update{list, {Complete: true, Position: fpstore.Position{Incarnation: 1, Revision: 8}}}, after: 10},
		"a position of after a restore":  {updates: []fpstore.Update{list}, incarnation: 1, after: 10},
		"changes after a restore": {
			updates: []fpstore.Update{
				list,
				{Complete: true, Position: fpstore.Position{Incarnation: 1, Revision: 8}},
				{Items: itemsInRange(9, 10, nil), Position: fpstore.Position{Incarnation: 1, Revision: 10}},
			},
			incarnation: 1, after: 8, found: true, items: 2, sent: time.Second,
		},
		"a failed update is ignored": {updates: []fpstore.Update{list, {Err: fpstore.ErrRefused, SentAt: time.Hour, Position: at(99)}}, after: 10, found: true, sent: time.Second},
		"an older send time is ignored": {
			updates: []fpstore.Update{list, {Position: at(10), SentAt: time.Millisecond}}, after: 10, found: true, sent: time.Second,
		},
		"a new list drops the changes": {updates: []fpstore.Update{list, {Items: itemsInRange(11, 15, nil), Position: at(15)}, {Complete: true, Position: at(20)}}, after: 15},
		"limit of changes exceeded":    {updates: []fpstore.Update{list, {Items: itemsInRange(11, 11+maxHistoryItems, nil), Position: at(11 + maxHistoryItems)}}, after: 10},
		"newest changes within the limit": {
			updates: []fpstore.Update{list, {Items: itemsInRange(11, 11+maxHistoryItems, nil), Position: at(11 + maxHistoryItems)}},
			after:   11, found: true, items: maxHistoryItems, sent: time.Second,
		},
		"limit of bytes exceeded": {updates: []fpstore.Update{list, {Items: itemsInRange(11, 13, make([]byte, maxHistoryBytes/2)), Position: at(13)}}, after: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h History
			for _, u := range tt.updates {
				h.ApplyUpdate(u)
			}
			changes, ok := h.ChangesSince(fpstore.Position{Incarnation: tt.incarnation, Revision: tt.after})
			is.Equal(ok, tt.found)
			is.Equal(len(changes.Items), tt.items)
			is.Equal(changes.SentAt, tt.sent)
		})
	}
}
