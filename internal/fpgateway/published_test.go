package fpgateway

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestRecentWeightsBoundReplacedOnes checks how long requests may begin on replaced weights at a host that
// knows of publications from the records in the store alone.
func TestRecentWeightsBoundReplacedOnes(t *testing.T) {
	const limit, existedAt = 12 * time.Second, time.Hour
	left := existedAt - recentAge(limit) - recentLeaseTimeout + limit - existedAt
	record := func(version, former, incarnation int64) fpstore.Item {
		value, err := json.Marshal(weightsRecord{Version: version, Former: former, RecentMs: recentAge(limit).Milliseconds(), Incarnation: incarnation})
		is.New(t).NoErr(err)
		return fpstore.Item{Key: recentWeightsKey("a/m", version), Value: value}
	}
	ended := func(version int64) fpstore.Item {
		return fpstore.Item{Key: recentWeightsKey("a/m", version), Deleted: true}
	}
	tests := map[string]struct {
		records []fpstore.Item
		version int64
		want    time.Duration
	}{
		"no record":                     {version: 3, want: unknownPublication + limit - existedAt},
		"replaced recently":             {records: []fpstore.Item{record(4, 3, 7)}, version: 3, want: left},
		"replaced before that":          {records: []fpstore.Item{record(4, 3, 7)}, version: 2, want: unknownPublication + limit - existedAt},
		"both replaced recently":        {records: []fpstore.Item{record(3, 2, 7), record(4, 3, 7)}, version: 2, want: left},
		"newest":                        {version: 4, want: math.MaxInt64},
		"record has ended":              {records: []fpstore.Item{record(4, 3, 7), ended(4)}, version: 3, want: unknownPublication + limit - existedAt},
		"record of another incarnation": {records: []fpstore.Item{record(4, 3, 6)}, version: 3, want: unknownPublication + limit - existedAt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPublications()
			p.raise("a/m", 4, unknownPublication)
			for _, i := range tt.records {
				isRecord, err := p.applyRecord(i)
				is.NoErr(err)
				is.True(isRecord)
			}
			p.raiseRecent(7, existedAt)
			is.Equal(p.timeToBegin("a/m", tt.version, limit, existedAt), tt.want)
		})
	}
}

// publicationDialect takes the item of a model named m for the version that is its value.
type publicationDialect struct{ Dialect }

func (publicationDialect) DecodeItem(i fpstore.Item) (DecodedItem, error) {
	version, err := strconv.ParseInt(string(i.Value), 10, 64)
	return DecodedItem{Weights: &PublishedWeights{Model: i.Key, Version: version}}, err
}

// TestUnnotedWeightsExtendReplacedOnes lists weights that nobody has noted to a host that starts. Replaced
// weights may be used only if the holder of the order lease would have noted a version of the limit's age.
func TestUnnotedWeightsExtendReplacedOnes(t *testing.T) {
	const limit = 12 * time.Second
	lease := func(revision int64) fpstore.Item {
		return fpstore.Item{Key: orderLeaseKey, Value: []byte("h"), Revision: revision}
	}
	noted := func(version string) fpstore.Item {
		return fpstore.Item{Key: notedWeightsPrefix + "m", Value: []byte(`{"Version": ` + version + `}`), Revision: 20}
	}
	newest := fpstore.Item{Key: "m", Value: []byte("3"), Revision: 30}
	tests := map[string]struct {
		items   []fpstore.Item
		version int64
		want    bool
	}{
		"replaced lately":                     {items: []fpstore.Item{lease(10), noted("2"), newest}, version: 2, want: true},
		"replaced by the noted version":       {items: []fpstore.Item{lease(10), noted("2"), newest}, version: 1},
		"published before the lease":          {items: []fpstore.Item{lease(40), noted("2"), newest}, version: 2},
		"no lease":                            {items: []fpstore.Item{noted("2"), newest}, version: 2},
		"noted, its key ended":                {items: []fpstore.Item{lease(10), noted("3"), newest}, version: 2},
		"noted ahead of what a restore lists": {items: []fpstore.Item{lease(10), noted("4"), newest}, version: 3, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			c := newControlState(New(Settings{Host: "h", OldWeightsLimit: limit}.WithDefaults(), Dependencies{
				Dialect: publicationDialect{}, Clock: func() time.Duration { return now }, Log: fplog.NewQueue(&bytes.Buffer{}),
			}))
			c.applyUpdate(fpstore.Update{Complete: true, SentAt: now, Position: fpstore.Position{Revision: 40}, Items: tt.items}, now)
			is.New(t).Equal(c.published.timeToBegin("m", tt.version, limit, now+weightsPropagationMargin) > 0, tt.want)
		})
	}
}
