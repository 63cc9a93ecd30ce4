package fpgateway_test

import (
	"bufio"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpgateway"
	"github.com/fescuepoint/fescuepoint/platform/fpfake"
)

// newCutCluster starts two hosts, the first of which is refused by all replicas from its first request on, and
// returns both with their networks.
func newCutCluster(t *testing.T) (hosts [2]*testCluster, networks [2]*cutNetwork) {
	t.Helper()
	tc := prepareTestCluster(t)
	networks = [2]*cutNetwork{{conns: make(map[*cutConn]bool)}, {conns: make(map[*cutConn]bool)}}
	tc.dial = networks[0].dial
	networks[0].setCut(refuse)
	tc.store.Put("op/config", configDocument(1))
	other, _ := tc.addHost(func(*fpgateway.Settings) {})
	tc.waitFor(func() bool {
		_, ok := tc.store.GetString("fescuepoint/hosts/h2")
		return ok && tc.sendRequest("read", nil).status == http.StatusOK
	}, "forwarded")
	return [2]*testCluster{tc, other}, networks
}

// TestForwardedRequestKeepsItsTerms checks what a replica gets of a forwarded request and what its caller gets of
// the answer: as if it had reached the other host itself, with the time that is left.
func TestForwardedRequestKeepsItsTerms(t *testing.T) {
	is := is.New(t)
	hosts, _ := newCutCluster(t)
	for i, route := range []string{"chat", "hint", "call", "read"} {
		direct := hosts[1].sendNumberedRequest(route, 10+i)
		forwarded := hosts[0].sendNumberedRequest(route, 20+i)
		requireNoError(t, direct)
		requireNoError(t, forwarded)
		is.Equal(forwarded.status, http.StatusOK)
		is.True(forwarded.header.Get("Replica-Signature") != "")
		is.Equal(strings.ReplaceAll(forwarded.body, "id-2", "id-1"), direct.body)
		is.Equal(forwarded.header.Get("Content-Length"), direct.header.Get("Content-Length"))
	}
	seen := 0
	for _, r := range hosts[0].allRuns() {
		if !strings.HasPrefix(r.ID, "id-2") || len(r.ID) != len("id-20") {
			continue
		}
		seen++
		left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		is.NoErr(err)
		is.True(left > 0 && left <= 1500) // the route's timeout
		is.Equal(r.Header.Get("Tenant"), "team")
		is.Equal(r.Header.Get("Authorization"), "")
		is.Equal(r.Header.Get("Fescuepoint-Forwarded-By"), "")
	}
	is.Equal(seen, 4)
	is.Equal(hosts[0].sendNumberedRequest("read", 30, func(q *http.Request) { q.Header.Set("Authorization", "Token unknown") }).status, http.StatusUnauthorized)
}

// TestForwardedHeaderAtLimit checks that a header of the longest legal size, in short lines, passes through a host that
// forwards.
func TestForwardedHeaderAtLimit(t *testing.T) {
	is := is.New(t)
	hosts, _ := newCutCluster(t)
	const limit = 4096 // the configuration's
	header := ordinaryHeader + strings.Repeat("a:\r\n", (limit-len(ordinaryHeader))/4)
	res, err := hosts[0].sendText("GET /read/x HTTP/1.1\r\n" + header + "\r\n")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestForwardsOnce checks that a request is refused at once, as not run, where the other hosts are cut off too.
func TestForwardsOnce(t *testing.T) {
	is := is.New(t)
	hosts, networks := newCutCluster(t)
	hosts[1].cancel()
	is.NoErr(<-hosts[1].runResult)
	hosts[1].runResult <- nil
	cut := &testCluster{t: t, store: hosts[0].store, hostSettings: hosts[1].hostSettings, logs: &syncBuffer{}, dial: networks[1].dial}
	networks[1].setCut(refuse)
	cut.hostSettings.Host = "h3"
	cut.chooseAddresses()
	cut.startHost()
	cut.waitFor(cut.isReady, "ready")
	before := len(hosts[0].allRuns())
	for i, route := range []string{"chat", "hint", "call", "read"} {
		began := time.Now()
		r := hosts[0].sendNumberedRequest(route, 100+i)
		requireNoError(t, r)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.header.Get("Retry-After") != "")
		is.True(time.Since(began) < time.Second)
	}
	is.Equal(len(hosts[0].allRuns()), before)
}

// TestForwardedCallBrokenOff checks that a call that may run once is neither sent again nor reported as not run
// when the replica breaks it off behind the other host.
func TestForwardedCallBrokenOff(t *testing.T) {
	is := is.New(t)
	hosts, _ := newCutCluster(t)
	before := len(hosts[0].allRuns())
	hosts[0].queueBehaviours(fpfake.RunAndReset)
	r := hosts[0].sendNumberedRequest("call", 200)
	requireNoError(t, r)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(len(hosts[0].allRuns()), before+1)
}

// TestForwardedStreamEndsWithItsCaller checks that the run of a forwarded stream ends when its caller leaves.
func TestForwardedStreamEndsWithItsCaller(t *testing.T) {
	hosts, _ := newCutCluster(t)
	for _, e := range hosts[0].engines {
		e.StreamEvents, e.EventDelay = 100, 20*time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		fpclock.Sleep(context.Background(), 300*time.Millisecond) // some events into the stream
		cancel()
	}()
	hosts[0].sendNumberedRequest("chat", 300, func(q *http.Request) { *q = *q.WithContext(ctx) })
	hosts[0].waitFor(func() bool {
		n := 0
		for _, e := range hosts[0].engines {
			n += e.AbandonedStreams()
		}
		return n == 1
	}, "the replica's stream is abandoned")
}

// TestPlannedStopEndsForwardedStreams checks that a forwarded stream is delivered whole, event by event, while the
// host that it was forwarded to stops.
func TestPlannedStopEndsForwardedStreams(t *testing.T) {
	is := is.New(t)
	hosts, _ := newCutCluster(t)
	for _, e := range hosts[0].engines {
		e.StreamEvents, e.EventDelay = 20, 50*time.Millisecond
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+hosts[0].hostSettings.CallersAddress+"/chat/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "a.example"
	for k, v := range map[string]string{
		"Attempt-Id": "id-400", "Authorization": "Token key", "Deadline-Ms": "2000", "Model": "m", "Token-Usage": "1500,20", "Prompt-Prefix": "aa:1200,bb:300",
	} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	is.Equal(res.StatusCode, http.StatusOK)
	events := 0
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			if events++; events == 2 {
				hosts[1].cancel()
			}
		}
	}
	is.Equal(events, 20)
}

// TestForwardedAttemptThatRanIsNotOfferedAgain checks that a request whose attempt broke off behind the other host, which
// reaches no further replica, is not forwarded to a third host.
func TestForwardedAttemptThatRanIsNotOfferedAgain(t *testing.T) {
	is := is.New(t)
	hosts, _ := newCutCluster(t)
	third := &testCluster{t: t, store: hosts[0].store, hostSettings: hosts[1].hostSettings, logs: &syncBuffer{}}
	third.hostSettings.Host = "h3"
	third.chooseAddresses()
	third.hostSettings.PeerPort = portOf(t, freeAddress(t))
	third.startHost()
	third.waitFor(third.isReady, "ready")
	hosts[0].waitFor(func() bool {
		_, ok := hosts[0].store.GetString("fescuepoint/hosts/h3")
		return ok
	}, "the third host registered")
	hosts[0].engines[1].Close()
	hosts[0].engines[0].SetNextBehaviours(fpfake.RunAndReset)
	r := hosts[0].sendNumberedRequest("hint", 500)
	requireNoError(t, r)
	is.Equal(r.status, http.StatusBadGateway)
	runs := 0
	for _, e := range hosts[0].engines[0].ExecutedRequests() {
		if e.ID == "id-500" {
			runs++
		}
	}
	is.Equal(runs, 1)
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return int(a.Port())
}
