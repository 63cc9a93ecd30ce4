package fpgateway

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// TestRecentWeightsBoundReplacedOnes checks how long requests may begin on replaced weights at a host that
// knows of publications from the records in the store alone.
func TestRecentWeightsBoundReplacedOnes(t *testing.T) {
	const limit, existedAt = 12 * time.Second, time.Hour
	left := existedAt - recentAge(limit) - recentLeaseTimeout + limit - existedAt
	record := func(version, former, incarnation int64) fpstore.Item {
		value, err := json.Marshal(weightsRecord{Version: version, Former: former, Incarnation: incarnation})
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
			p.raiseRecent(7, limit, existedAt)
			is.Equal(p.timeToBegin("a/m", tt.version, limit, existedAt), tt.want)
		})
	}
}
