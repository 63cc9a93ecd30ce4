package fpgateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
)

// TestStoreEntriesOfFormerBuild reads the entries of hosts, of noted weights and of software versions as the build of
// 7c711f0 writes them to the store, and checks that this build writes the same.
func TestStoreEntriesOfFormerBuild(t *testing.T) {
	is := is.New(t)
	const host, weights, build = "10.0.0.1:7340 north north-a", `{"Version":3,"Former":2,"RecentMs":9000,"Incarnation":4}`, `{"Service":"s","Build":"v1"}`
	h, err := decodeHostEntry([]byte(host))
	is.NoErr(err)
	is.Equal(h.region, "north")
	is.Equal(h.zone, "north-a")
	s := Settings{CallersAddress: "10.0.0.1:80", PeerPort: 7340}
	s.Place.Region, s.Place.Zone = "north", "north-a"
	is.Equal(s.encodeHostEntry(), host)
	var w weightsRecord
	is.NoErr(json.Unmarshal([]byte(weights), &w))
	is.Equal(w, weightsRecord{Version: 3, Former: 2, RecentMs: 9000, Incarnation: 4})
	written, err := json.Marshal(w)
	is.NoErr(err)
	is.Equal(string(written), weights)
	is.True(isBuildKey("fescuepoint/builds/s/v1"))
	o, err := unmarshalOrigin([]byte(build))
	is.NoErr(err)
	is.Equal(o, fporigin.Origin{Service: "s", Build: "v1"})
	written, err = json.Marshal(o)
	is.NoErr(err)
	is.Equal(string(written), build)
}

// TestSegmentInStore pins how stream origins stand in the store, where hosts of other builds read them. That of 1eb6711
// has no such keys and takes none of their items for anything else.
func TestSegmentInStore(t *testing.T) {
	is := is.New(t)
	const value = `[{"Service":"s","Build":"v1","Digests":"ypeBEsobvcr6wjGz"}]`
	s, err := fporigin.UnmarshalSegment([]byte(value))
	is.NoErr(err)
	is.Equal(s.Len(), 1)
	written, err := s.Marshal()
	is.NoErr(err)
	is.Equal(string(written), value)
	a := fporigin.Archive{Retention: time.Second, MaxOrigins: 1}
	a.Add(s, 0)
	o, _, found := a.Find("s", "a", 0)
	is.True(found)
	is.Equal(o.Build, "v1")
	key := originKeyPrefix + "h1/a-1"
	is.True(isOriginKey(key))
	is.True(!isBuildKey(key))
	for _, prefix := range []string{hostKeyPrefix, quarantineKeyPrefix, notedWeightsPrefix, recentWeightsPrefix, orderLeaseKey} {
		is.True(!strings.HasPrefix(key, prefix))
	}
}
