package fpgateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
	"github.com/fescuepoint/fescuepoint/platform/fpsoak"
)

const (
	takenUpStreams = 12
	// takeUpTries is how often a client tries to take a stream up, takeUpPause apart.
	takeUpTries = 10
	takeUpPause = 50 * time.Millisecond
	oldBuildKey = "fescuepoint/builds/llm/v1"
)

type (
	// buildTest is a cluster whose engines run one or two versions of their software.
	buildTest struct {
		*testCluster
		other *testCluster
		// takenUpAt is the host at which the clients take their streams up.
		takenUpAt *testCluster
		streams   []brokenStream
		// mu guards requests, the number of requests so far.
		mu       sync.Mutex
		requests int
	}

	// brokenStream is a stream whose client lost it after the first event.
	brokenStream struct {
		id   string
		text string
	}
)

// newBuildTest starts four engines, those with odd numbers at version v1 and the others at the given one,
// and two hosts.
func newBuildTest(t *testing.T, second string) *buildTest {
	b := &buildTest{testCluster: prepareTestCluster(t)}
	for _, id := range []string{"e3", "e4"} {
		e := fpfake.NewReplica(id, "llm", "z1", "m")
		t.Cleanup(e.Close)
		b.engines = append(b.engines, e)
	}
	for i, e := range b.engines {
		e.Software, e.StreamEvents = "v1", 5
		if i%2 == 1 {
			e.Software = second
		}
		e.SetEventDelay(10 * time.Millisecond)
		b.store.Put("servers/"+e.ID, e.Registration("ready"))
	}
	b.store.Put("op/config", configDocument(1))
	b.other, _ = b.addHost(func(*fpgateway.Settings) {})
	b.takenUpAt = b.testCluster
	b.waitFor(func() bool {
		return strings.Contains(b.logs.String()+b.other.logs.String(), "order lease acquired")
	}, "the order lease")
	return b
}

// awaitStored waits until the version of old is in the store, if hosts keep it there.
func (b *buildTest) awaitStored() {
	for range 200 {
		if _, ok := b.store.GetString(oldBuildKey); ok {
			return
		}
		fpclock.Sleep(context.Background(), 10*time.Millisecond)
	}
}

// restartHosts ends all hosts and then starts them again.
func (b *buildTest) restartHosts() { b.restart(b.testCluster, b.other) }

func (b *buildTest) restart(hosts ...*testCluster) {
	for _, o := range hosts {
		o.cancel()
	}
	for _, o := range hosts {
		o.runResult <- <-o.runResult
	}
	for _, o := range hosts {
		o.startHost()
	}
	for _, o := range hosts {
		b.waitFor(o.isReady, "ready again")
	}
}

// restartFirstHost restarts the host that began the streams, once the other has heard of the last one.
func (b *buildTest) restartFirstHost() {
	b.takenUpAt = b.other
	_, _ = b.takeUp(b.streams[len(b.streams)-1], "")
	b.restart(b.testCluster)
	b.takenUpAt = b.testCluster
}

// addVersion adds engines of a second version, and lets clients return to the other host.
func (b *buildTest) addVersion() {
	b.takenUpAt = b.other
	for _, id := range []string{"e5", "e6"} {
		e := fpfake.NewReplica(id, "llm", "z1", "m")
		b.t.Cleanup(e.Close)
		e.Software, e.StreamEvents = "v2", 5
		b.store.Put("servers/"+id, e.Registration("ready"))
	}
	for _, o := range []*testCluster{b.testCluster, b.other} {
		b.waitFor(func() bool { return strings.Contains(o.linesWith("replica registered"), `"Replica":"e6"`) }, "the second version")
	}
}

// removeEngines ends the engines of a version.
func (b *buildTest) removeEngines(software string) {
	for _, e := range b.engines {
		if e.Software == software {
			b.store.Delete("servers/" + e.ID)
			e.Close()
		}
	}
	b.waitFor(func() bool { return strings.Contains(b.linesWith("replica entry deleted"), `"Replica":"e3"`) }, "the engines are gone")
}

// call sends a request for a stream. Each has a prompt of its own, so that they spread over the engines.
func (b *buildTest) call(o *testCluster, header map[string]string) (*http.Response, string) {
	b.t.Helper()
	b.requests++
	res, id, err := o.openStream(context.Background(), b.requests, header)
	if err != nil {
		b.t.Fatal(err)
	}
	return res, id
}

// openStream sends a numbered request for a stream.
func (tc *testCluster) openStream(ctx context.Context, number int, header map[string]string) (*http.Response, string, error) {
	id := fmt.Sprint("stream-", number)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tc.hostSettings.CallersAddress+"/hint/x", strings.NewReader("body"))
	if err != nil {
		return nil, id, err
	}
	req.Host = "a.example"
	prompt := fmt.Sprintf("a%d:1200,b%d:300", number, number)
	for k, v := range map[string]string{
		"Attempt-Id": id, "Authorization": "Token key", "Deadline-Ms": "6000", "Model": "m", "Token-Usage": "1500,20", "Prompt-Prefix": prompt,
	} {
		req.Header.Set(k, v)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	return res, id, err
}

// readEvent reads the first event of a stream and closes it.
func readEvent(res *http.Response) (string, error) {
	defer func() { _ = res.Body.Close() }()
	text := ""
	for reader := bufio.NewReader(res.Body); !strings.HasSuffix(text, "\n\n"); {
		line, err := reader.ReadString('\n')
		if err != nil {
			return text, err
		}
		text += line
	}
	return text, nil
}

// beginStreams begins streams at the first host, each of which breaks at its client after the first event.
func (b *buildTest) beginStreams() []brokenStream {
	var out []brokenStream
	for range takenUpStreams {
		res, id := b.call(b.testCluster, nil)
		text, err := readEvent(res)
		if err != nil {
			b.t.Fatal(err)
		}
		out = append(out, brokenStream{id: id, text: text})
	}
	return out
}

// takeUp takes a stream up, as that of the named request unless that is "", and returns its whole text, and the status of the last try.
func (b *buildTest) takeUp(s brokenStream, resumes string) (string, int) {
	if resumes == "" {
		resumes = s.id
	}
	status := 0
	for range takeUpTries {
		b.mu.Lock()
		b.requests++
		number := b.requests
		b.mu.Unlock()
		res, _, err := b.takenUpAt.openStream(context.Background(), number, map[string]string{"Last-Event-Id": "1", "Resumes": resumes})
		if err != nil {
			b.t.Error(err)
			return s.text, 0
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if status = res.StatusCode; status == http.StatusOK && err == nil {
			return s.text + string(body), status
		}
		fpclock.Sleep(context.Background(), takeUpPause)
	}
	return s.text, status
}

// requireTakenUp takes all streams up; each must go on, and none be joined.
func (b *buildTest) requireTakenUp(streams []brokenStream) {
	b.t.Helper()
	joinedCount, wentOn := 0, 0
	for _, s := range streams {
		text, status := b.takeUp(s, "")
		if joined(text) {
			joinedCount++
		}
		if status == http.StatusOK {
			wentOn++
		}
	}
	if joinedCount > 0 || wentOn < len(streams) {
		b.t.Errorf("of %d streams %d went on, %d were joined", len(streams), wentOn, joinedCount)
	}
}

func joined(text string) bool {
	return strings.Contains(text, "by v1") && strings.Contains(text, "by v2")
}

// TestStreamJoinedFromTwoBuilds lets clients take up broken streams while replicas of two software versions
// serve, or have just done so. No text may hold events of both; those go on whose version still serves and
// can be known.
func TestStreamJoinedFromTwoBuilds(t *testing.T) {
	const all, none, someRefused = "all go on", "none goes on", "those of the old version are refused"
	tests := map[string]struct {
		second  string
		between func(*buildTest)
		resumes string
		want    string
	}{
		"at the same host":                       {second: "v2", want: all},
		"a second version has appeared":          {second: "v1", between: (*buildTest).addVersion, want: all},
		"at the first host, which has restarted": {second: "v2", between: (*buildTest).restartFirstHost, want: all},
		"at a second host":                       {second: "v2", between: func(b *buildTest) { b.takenUpAt = b.other }, want: all},
		"unknown first attempt":                  {second: "v2", resumes: "never seen", want: none},
		"the old version left":                   {second: "v2", between: func(b *buildTest) { b.removeEngines("v1") }, want: someRefused},
		"all hosts restarted":                    {second: "v2", between: (*buildTest).restartHosts, want: all},
		"all hosts restarted after the old version left": {
			second: "v2", want: someRefused,
			between: func(b *buildTest) {
				b.awaitStored()
				b.removeEngines("v1")
				b.restartHosts()
			},
		},
		"all hosts restarted with one version": {second: "v1", between: (*buildTest).restartHosts, want: all},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBuildTest(t, tt.second)
			streams := b.beginStreams()
			b.streams = streams
			if tt.between != nil {
				tt.between(b)
			}
			joinedCount, wentOn, wanted := 0, 0, 0
			for _, s := range streams {
				text, status := b.takeUp(s, tt.resumes)
				if joined(text) {
					joinedCount++
				}
				if tt.want == all || tt.want == someRefused && strings.Contains(s.text, "by v2") {
					wanted++
				}
				if status == http.StatusOK {
					wentOn++
				} else {
					is.Equal(status, http.StatusServiceUnavailable)
				}
			}
			t.Logf("of %d streams %d went on, %d were joined", len(streams), wentOn, joinedCount)
			is.Equal(joinedCount, 0)
			is.Equal(wentOn, wanted)
		})
	}
}

// TestAnswerJoinedFromTwoBuilds breaks a stream in the middle while the only replica left is of another
// software version. The answer must break off, not go on there.
func TestAnswerJoinedFromTwoBuilds(t *testing.T) {
	is := is.New(t)
	tc := prepareTestCluster(t)
	for i, e := range tc.engines {
		e.Software = fmt.Sprint("v", i+1)
		tc.store.Put("servers/"+e.ID, e.Registration("ready"))
	}
	tc.store.Put("op/config", configDocument(1))
	tc.startHost()
	tc.waitFor(tc.isReady, "ready")
	tc.queueBehaviours(fpfake.Truncate)
	r := tc.sendRequest("hint", nil)
	is.True(!joined(r.body))
	is.True(strings.Contains(r.body, "token 1"))
	is.True(r.err != nil) // broken off
	ran := 0
	for _, e := range tc.engines {
		ran += len(e.ExecutedRequests())
	}
	is.Equal(ran, 1)
}

// TestStreamJoinedAtRestartedReplica restarts all replicas but one under their IDs with another software
// version, of which the store does not tell yet. Streams must go on at the one that is left.
func TestStreamJoinedAtRestartedReplica(t *testing.T) {
	b := newBuildTest(t, "v1")
	streams := b.beginStreams()
	for _, e := range b.engines[1:] {
		e.RestartAs("v2")
	}
	b.requireTakenUp(streams)
}

// TestStreamBegunAtRestartedReplica restarts a replica under its ID with another software version, of which the store
// does not tell yet. Streams begin, the replica ends again, and callers take the streams up at the others.
func TestStreamBegunAtRestartedReplica(t *testing.T) {
	b := newBuildTest(t, "v1")
	b.takenUpAt = b.other
	_ = b.beginStreams() // opens connections
	b.engines[0].RestartAs("v2")
	streams := b.beginStreams()
	b.engines[0].Crash()
	b.requireTakenUp(streams)
}

// TestStreamJoinedAtHostOutOfStep cuts a host off from the store and the other host while replicas of a second
// software version join, and takes up at it streams that began there. No text may hold events of both.
func TestStreamJoinedAtHostOutOfStep(t *testing.T) {
	is := is.New(t)
	b := &buildTest{testCluster: prepareTestCluster(t)}
	for _, e := range b.engines {
		e.Software, e.StreamEvents = "v1", 5
		b.store.Put("servers/"+e.ID, e.Registration("ready"))
	}
	b.store.Put("op/config", configDocument(1))
	hosts := 0
	other, proxies := b.addHost(func(s *fpgateway.Settings) {
		if hosts++; hosts == 2 {
			s.PeerPort = 0 // neither hears of the other
		}
	})
	b.other, b.takenUpAt = other, other
	b.waitFor(func() bool { return other.sendNumberedRequest("hint", 1).status == http.StatusOK }, "served")
	proxies[other].SetMode(fpsoak.Blackhole)
	for _, id := range []string{"e5", "e6"} {
		e := fpfake.NewReplica(id, "llm", "z1", "m")
		t.Cleanup(e.Close)
		e.Software, e.StreamEvents = "v2", 5
		e.SetEventDelay(10 * time.Millisecond)
		b.store.Put("servers/"+id, e.Registration("ready"))
	}
	b.waitFor(func() bool { return strings.Contains(b.linesWith("replica registered"), `"Replica":"e6"`) }, "the second version")
	streams := b.beginStreams()
	joinedCount, second := 0, 0
	for _, s := range streams {
		if strings.Contains(s.text, "by v2") {
			second++
		}
		if text, _ := b.takeUp(s, ""); joined(text) {
			joinedCount++
		}
	}
	t.Logf("%d streams began at the second version, %d were joined", second, joinedCount)
	is.Equal(joinedCount, 0)
	proxies[other].SetMode(fpsoak.Forward)
	for _, s := range streams {
		text, _ := b.takeUp(s, "")
		is.True(!joined(text))
	}
}

// TestOriginsOutlastKilledHosts ends all hosts without a word to the store while replicas of two software versions serve,
// and lets clients take up streams afterwards. It guards against origins that live in the hosts' memory alone, and against
// a store that lacks some or tells others.
func TestOriginsOutlastKilledHosts(t *testing.T) {
	tests := map[string]struct {
		// before and away change the store before the streams begin, and while the hosts are away.
		before, away func(*buildTest)
		want         int
	}{
		"killed":                        {want: takenUpStreams},
		"the store had been away":       {before: func(b *buildTest) { b.store.SetFault(fpfake.StoreFault{Status: http.StatusServiceUnavailable}) }},
		"the store lost the origins":    {away: func(b *buildTest) { b.deleteSegments() }},
		"the store tells contradictory": {away: func(b *buildTest) { b.contradictSegments() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBuildTest(t, "v2")
			b.awaitStored()
			if tt.before != nil {
				tt.before(b)
			}
			streams := b.beginStreams()
			fpclock.Sleep(context.Background(), 700*time.Millisecond) // the last origin has been told
			b.store.SetFault(fpfake.StoreFault{Status: http.StatusServiceUnavailable})
			for _, o := range []*testCluster{b.testCluster, b.other} {
				o.cancel()
				o.runResult <- <-o.runResult
			}
			b.store.SetFault(fpfake.StoreFault{})
			if tt.away != nil {
				tt.away(b)
			}
			for _, o := range []*testCluster{b.testCluster, b.other} {
				o.startHost()
			}
			for _, o := range []*testCluster{b.testCluster, b.other} {
				b.waitFor(o.isReady, "ready again")
			}
			wentOn, joinedCount := 0, 0
			for _, s := range streams {
				text, status := b.takeUp(s, "")
				if joined(text) {
					joinedCount++
				}
				if status == http.StatusOK {
					wentOn++
				}
			}
			t.Logf("of %d streams %d went on, %d were joined", len(streams), wentOn, joinedCount)
			is.Equal(joinedCount, 0)
			is.Equal(wentOn, tt.want)
		})
	}
}

const originKeys = "fescuepoint/origins/"

// deleteSegments deletes the origins of streams from the store.
func (b *buildTest) deleteSegments() {
	for _, key := range b.store.Keys(originKeys) {
		b.store.Delete(key)
	}
}

// contradictSegments adds the origins in the store again, each with the other version.
func (b *buildTest) contradictSegments() {
	for i, key := range b.store.Keys(originKeys) {
		value, _ := b.store.GetString(key)
		var groups []map[string]any
		if err := json.Unmarshal([]byte(value), &groups); err != nil {
			b.t.Fatal(err)
		}
		for _, g := range groups {
			g["Build"] = map[any]string{"v1": "v2", "v2": "v1"}[g["Build"]]
		}
		b.store.Put(fmt.Sprint(originKeys, "other/", i), groups)
	}
}
