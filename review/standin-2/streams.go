package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// A stream has streamEvents events, streamGap apart, and its first one comes after firstEvent: a full replica reads
	// the prompts of all that came at once.
	streamEvents = 28
	streamGap    = 250 * time.Millisecond
	firstEvent   = 600 * time.Millisecond
	// streamSlots and streamQueue are a replica's room; it turns others away and wants nothing from the machine for
	// retryAfter.
	streamSlots = 8
	streamQueue = 4
	retryAfter  = 2 * time.Second
	// streamDeadline is the time budget of a stream.
	streamDeadline = 20 * time.Second
	// burstStreams come within burstTime at the first machine; without the burst calmStreams come within calmTime.
	burstStreams, burstTime = 60, 500 * time.Millisecond
	calmStreams, calmTime   = 24, 3 * time.Second
	// minTakeUps is the least number of streams that are taken up for which the rule counts.
	minTakeUps = 12
)

type (
	// streamReplica runs resumable streams.
	streamReplica struct {
		id, address string
		born        int64
		mu          sync.Mutex
		running     int
		rejected    int
	}

	// streamResult is what a client saw of one try.
	streamResult struct {
		id     string
		status int
		first  int
		last   int
		whole  bool
	}
)

func (d *deployment) startStreams(n int, id, zone string) *streamReplica {
	r := &streamReplica{id: id, address: fmt.Sprintf("%s%d:8080", d.network, n), born: time.Now().UnixMilli()}
	m := http.NewServeMux()
	m.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		n := r.running
		r.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": max(n-streamSlots, 0), "inflight": min(n, streamSlots), "born": r.born})
	})
	m.HandleFunc("/", r.answer)
	serve(r.address, m)
	d.store.put("servers/"+id, map[string]any{
		"service": "hints", "address": r.address, "zone": zone, "version": "v1", "slot_count": streamSlots, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": r.born,
	})
	return r
}

func (r *streamReplica) load(w http.ResponseWriter) {
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,%d,%d", min(r.running, streamSlots), max(r.running-streamSlots, 0), streamSlots))
}

func (r *streamReplica) answer(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", r.id)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	r.load(w)
	if r.running >= streamSlots+streamQueue {
		r.rejected++
		r.mu.Unlock()
		note("%s turns %s away: 503, Retry-After %v", r.id, id, retryAfter)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	note("%s begins %s after event %d", r.id, id, last)
	wait := firstEvent
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
		if n == last+1 {
			w.Header().Set("Replica-Signature", "sig."+r.id)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprintf(w, "id: %d\ndata: v1 %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		wait = streamGap
	}
}

// stream asks a machine for a stream, or takes one up after an event.
func stream(m *machine, resumes string, after int) streamResult {
	s := streamResult{id: newID(), last: after}
	q, err := http.NewRequest("POST", "http://"+m.front()+"/hints/x", strings.NewReader("a question"))
	if err != nil {
		cannotRun("%v", err)
	}
	q.Host = "app.example"
	q.Header.Set("Attempt-Id", s.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(streamDeadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Token school-key")
	if resumes != "" {
		q.Header.Set("Resumes", resumes)
		q.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: streamDeadline}
	res, err := c.Do(q)
	if err != nil {
		note("%s at %s, resumes %q after %d: %v", s.id, m.name, resumes, after, err)
		return s
	}
	defer func() { _ = res.Body.Close() }()
	s.status = res.StatusCode
	note("%s at %s, resumes %q after %d: %d", s.id, m.name, resumes, after, s.status)
	if s.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		return s
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(text)
		if s.first == 0 {
			s.first = n
		}
		s.last = n
	}
	s.whole = lines.Err() == nil && s.last == streamEvents
	note("%s at %s ended after event %d, whole: %v", s.id, m.name, s.last, s.whole)
	return s
}

// playTakeUps lets many streams begin at once, so that the replicas turn some away, and then kills the machine that
// carries them. LOST: of the streams that clients take up at the other machines, the share that goes on must not be
// under half of the share of new streams that begin. Without trouble the streams come slowly enough for all to have
// room, and the machine is killed as well.
func playTakeUps(trouble bool) {
	d := newDeployment([]place{{"klang-a", "klang"}, {"klang-a", "klang"}, {"penang-a", "penang"}}, 284)
	var replicas []*streamReplica
	for i, zone := range []string{"klang-a", "klang-a", "penang-a"} {
		replicas = append(replicas, d.startStreams(101+i, fmt.Sprintf("i-stream%d", i+1), zone))
	}
	d.store.put("op/config", map[string]any{
		"version": 7, "limits": limits, "services": []any{service("hints")},
		"routes": []any{route("hints", "/hints/", "streaming", "hints", map[string]any{
			"timeout_ms": streamDeadline.Milliseconds(), "target_latency_ms": 1000, "gap_target_ms": 300, "max_attempts": 3, "resumable": true,
		})},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"school-key"}, "priority": 1, "dedicated": false}},
	})
	d.startAll()
	time.Sleep(6 * time.Second)
	first, others := d.machines[0], d.machines[1:]
	count, spread := calmStreams, calmTime
	if trouble {
		count, spread = burstStreams, burstTime
	}
	var mu sync.Mutex
	var takeUps, goneOn, tries int
	var begun, asked int
	var clients sync.WaitGroup
	killed := make(chan struct{})
	began := time.Now()
	for i := range count {
		clients.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(count))
			s := stream(first, "", 0)
			if s.status != http.StatusOK || s.whole || s.first == 0 {
				return
			}
			select {
			case <-killed:
			default:
				return
			}
			// The client takes the stream up on a new channel, and once more if it is refused.
			ok := false
			for range 2 {
				time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond)
				mu.Lock()
				tries++
				mu.Unlock()
				next := stream(others[i%len(others)], s.id, s.last)
				if next.first == s.last+1 || s.last == streamEvents && next.status == http.StatusOK {
					ok = true
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			takeUps++
			if ok {
				goneOn++
			}
		})
	}
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond)))
	close(killed)
	first.kill()
	// New streams at the machines that live on show that the replicas serve.
	for i := range 16 {
		clients.Go(func() {
			time.Sleep(500*time.Millisecond + time.Duration(i)*500*time.Millisecond)
			s := stream(others[i%len(others)], "", 0)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if s.first == 1 {
				begun++
			}
		})
	}
	clients.Wait()
	rejected := 0
	for _, r := range replicas {
		rejected += r.rejected
	}
	if takeUps < minTakeUps || asked == 0 {
		cannotRun("only %d streams were taken up, %d new ones asked for", takeUps, asked)
	}
	share, newShare := float64(goneOn)/float64(takeUps), float64(begun)/float64(asked)
	verdict(share < newShare/2, "%d of %d streams went on that were taken up (in %d tries); %d of %d new streams began meanwhile; the replicas, all of one software version, turned %d requests away",
		goneOn, takeUps, tries, begun, asked, rejected)
}
