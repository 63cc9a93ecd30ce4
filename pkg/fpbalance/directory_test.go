package fpbalance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPrefixTokens checks the leading tokens of a nested prompt that a replica counts as holding.
func TestPrefixTokens(t *testing.T) {
	parts := []Part{{ID: "all", Tokens: 512}, {ID: "subject", Tokens: 4870}, {ID: "own", Tokens: 6610}}
	tests := map[string]struct {
		record            func(*CacheDirectory)
		cached, confirmed int
	}{
		"nothing": {record: func(*CacheDirectory) {}},
		"reported first part": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "all", 512, true, testStart)
		}, cached: 512, confirmed: 512},
		"long first part is not implied": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "own", 6610, true, testStart)
		}},
		"reported second part implies the short first": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "subject", 4870, true, testStart)
		}, cached: 5382, confirmed: 5382},
		"first part known from a dispatch, second reported": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "all", 512, false, testStart)
			d.RecordStored("r", "s", "subject", 4870, true, testStart)
		}, cached: 5382, confirmed: 5382},
		"second part known from a dispatch alone": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "all", 512, true, testStart)
			d.RecordStored("r", "s", "subject", 4870, false, testStart)
		}, cached: 5382, confirmed: 512},
		"second part evicted in part": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "subject", 4870, true, testStart)
			d.RecordEvicted("r", "s", "subject", 1000, testStart)
		}, cached: 1512, confirmed: 1512},
		"second part evicted": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "all", 512, true, testStart)
			d.RecordStored("r", "s", "subject", 4870, true, testStart)
			d.RecordEvicted("r", "s", "subject", 0, testStart)
		}, cached: 512, confirmed: 512},
		"expired": {record: func(d *CacheDirectory) {
			d.RecordStored("r", "s", "subject", 4870, true, testStart-entryTTL-time.Second)
		}},
		"other replica": {record: func(d *CacheDirectory) {
			d.RecordStored("q", "s", "subject", 4870, true, testStart)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewCacheDirectory()
			tt.record(d)
			is.Equal(d.CachedPrefixTokens("r", "s", parts, testStart), tt.cached)
			is.Equal(d.ConfirmedPrefixTokens("r", "s", parts, testStart), tt.confirmed)
		})
	}
}
