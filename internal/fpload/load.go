package fpload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// longestFirstToken bounds the histogram, in microseconds.
	longestFirstToken = 120_000_000
	significantDigits = 3
	// callCycle is the number of prompts over which calls are spread.
	callCycle = 100
)

type (
	// Settings describes one drive.
	Settings struct {
		Shape    fpworkload.Shape
		Seed     uint64
		Callers  []string
		TeamKeys []string
		Model    string
		Duration time.Duration
		Warm     time.Duration
		Rate     float64
		// Service and Path name a non-idempotent call that is made beside the
		// prompts, CallShare times as often; an empty Service makes none.
		Service   string
		Path      string
		CallShare float64
	}

	// ClassReport is what the callers of one team and class saw; times are in milliseconds.
	ClassReport struct {
		Team         string
		Class        string
		Requests     int
		Refused      int
		Broken       int
		PromptTokens int
		CachedTokens int
		// Recomputed counts tokens of levels that had been asked for before and were not found cached.
		Recomputed   int
		HitRate      float64
		FirstToken50 float64
		FirstToken99 float64
		histogram    *hdrhistogram.Histogram
	}

	// Report is what all callers saw.
	Report struct {
		Workload string
		Classes  []*ClassReport
		Calls    CallReport
	}

	// CallReport is what became of the non-idempotent calls.
	CallReport struct {
		Calls   int
		Refused int
		Doubled int
	}

	drive struct {
		settings Settings
		client   *http.Client
		mu       sync.Mutex
		classes  map[string]*ClassReport
		asked    map[fpprefix.Key]bool
		calls    CallReport
	}

	seen struct {
		first  time.Duration
		prompt int
		cached int
	}
)

var errRefused = errors.New("refused")

// Run drives the workload until its duration is over or the context ends.
func Run(ctx context.Context, s Settings) Report {
	if s.Rate > 0 {
		s.Shape.RequestsRate = s.Rate
	}
	d := &drive{
		settings: s,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		classes:  make(map[string]*ClassReport),
		asked:    make(map[fpprefix.Key]bool),
	}
	g := fpworkload.NewGenerator(s.Shape, s.Seed)
	start := time.Now()
	var wg sync.WaitGroup
	for r := g.Next(); r.At < s.Warm+s.Duration; r = g.Next() {
		if !fpclock.Sleep(ctx, time.Until(start.Add(r.At))) {
			break
		}
		before := d.askedBefore(r)
		wg.Go(func() { d.send(ctx, r, before) })
		if s.Service != "" && float64(r.Serial%callCycle) < s.CallShare*callCycle {
			wg.Go(func() { d.call(ctx, r) })
		}
	}
	wg.Wait()
	d.client.CloseIdleConnections()
	return d.report()
}

// askedBefore returns the tokens of the longest level that was asked for before, and marks all of them.
func (d *drive) askedBefore(r fpworkload.Request) int {
	before := 0
	for _, l := range r.Prompt.Levels {
		if d.asked[l.Key] {
			before = l.Tokens
		}
		d.asked[l.Key] = true
	}
	return before
}

// call makes one non-idempotent call and looks how often it ran.
func (d *drive) call(ctx context.Context, r fpworkload.Request) {
	s := d.settings
	host := s.Callers[r.Serial%len(s.Callers)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/services/"+s.Service+s.Path, strings.NewReader("load"))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.TeamKeys[0])
	req.Header.Set(fpchat.RequestHeader, fmt.Sprintf("load-%d-%d", s.Seed, r.Serial))
	var answer struct{ Run int }
	res, err := d.client.Do(req)
	if err == nil {
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls.Calls++
	switch {
	case err != nil || res.StatusCode != http.StatusOK:
		d.calls.Refused++
	case answer.Run > 1:
		d.calls.Doubled++
	}
}

func (d *drive) send(ctx context.Context, r fpworkload.Request, before int) {
	v, err := d.ask(ctx, r)
	if r.At < d.settings.Warm {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.class(fmt.Sprintf("team-%d", r.Team), r.Class.String())
	c.Requests++
	switch {
	case errors.Is(err, errRefused):
		c.Refused++
	case err != nil:
		c.Broken++
	default:
		c.PromptTokens += v.prompt
		c.CachedTokens += v.cached
		c.Recomputed += max(before-v.cached, 0)
		_ = c.histogram.RecordValue(min(v.first.Microseconds(), longestFirstToken))
	}
}

func (d *drive) class(team, class string) *ClassReport {
	c := d.classes[team+"/"+class]
	if c == nil {
		c = &ClassReport{Team: team, Class: class, histogram: hdrhistogram.New(1, longestFirstToken, significantDigits)}
		d.classes[team+"/"+class] = c
	}
	return c
}

// ask sends one request and follows its answer to the end.
func (d *drive) ask(ctx context.Context, r fpworkload.Request) (seen, error) {
	s := d.settings
	host := s.Callers[(r.Zone*s.Shape.HostsZone+r.Host)%len(s.Callers)]
	body, err := json.Marshal(fpchat.Request{Model: s.Model, Stream: true, MaxTokens: r.Output, Messages: messages(s.Shape, r)})
	if err != nil {
		return seen{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return seen{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.TeamKeys[r.Team%len(s.TeamKeys)])
	req.Header.Set(fpchat.ClassHeader, r.Class.String())
	start := time.Now()
	res, err := d.client.Do(req)
	if err != nil {
		return seen{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return seen{}, errors.Wrapf(errRefused, "status %d", res.StatusCode)
	}
	return follow(res.Body, start)
}

func follow(body io.Reader, start time.Time) (seen, error) {
	var v seen
	events := fpchat.NewChunkReader(body)
	length, total := 0, -1
	for {
		a, ok, err := events.ReadChunk()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return v, err
		}
		if !ok {
			continue
		}
		if v.first == 0 {
			v.first = time.Since(start)
		}
		length += len(a.Text())
		if a.Usage != nil {
			v.prompt, v.cached = a.Usage.PromptTokens, a.Usage.PromptTokensDetails.CachedTokens
		}
		if a.Total != nil {
			total = *a.Total
		}
	}
	if length != total {
		return v, errors.Newf("%d bytes of %d", length, total)
	}
	return v, nil
}

// messages makes the request's text: the same numbers give the same prefix.
func messages(s fpworkload.Shape, r fpworkload.Request) []fpchat.Message {
	sizes := []int{s.TopBlocks, s.MiddleBlocks, s.LeafBlocks}
	var out []fpchat.Message
	used := 0
	for l, number := range r.Path {
		text := fill(fmt.Sprintf("level %d number %d. ", l, number), sizes[l]*fpprefix.BlockBytes-1)
		out = append(out, fpchat.Message{Role: "system", Content: text})
		used += sizes[l] * fpprefix.BlockTokens
	}
	own := max(r.Prompt.Tokens-used, 1) * fpprefix.BytesPerToken
	return append(out, fpchat.Message{Role: "user", Content: fill(fmt.Sprintf("request %d. ", r.Serial), own)})
}

func fill(text string, n int) string {
	return strings.Repeat(text, n/len(text)+1)[:n]
}

func (d *drive) report() Report {
	r := Report{Workload: d.settings.Shape.Name, Calls: d.calls}
	for _, c := range d.classes {
		if c.PromptTokens > 0 {
			c.HitRate = float64(c.CachedTokens) / float64(c.PromptTokens)
		}
		c.FirstToken50 = float64(c.histogram.ValueAtQuantile(50)) / 1000
		c.FirstToken99 = float64(c.histogram.ValueAtQuantile(99)) / 1000
		r.Classes = append(r.Classes, c)
	}
	slices.SortFunc(r.Classes, func(a, b *ClassReport) int {
		return strings.Compare(a.Team+a.Class, b.Team+b.Class)
	})
	return r
}

// String returns the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %-12s %9s %8s %7s %7s %10s %10s\n", "team", "class", "requests", "refused", "broken", "hit", "first 50", "first 99")
	hit, prompt, recomputed := 0, 0, 0
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-8s %-12s %9d %8d %7d %7.3f %8.1fms %8.1fms\n", c.Team, c.Class, c.Requests, c.Refused, c.Broken, c.HitRate, c.FirstToken50, c.FirstToken99)
		hit += c.CachedTokens
		prompt += c.PromptTokens
		recomputed += c.Recomputed
	}
	if prompt > 0 {
		fmt.Fprintf(&b, "prefix hit rate over all tokens: %.3f\n", float64(hit)/float64(prompt))
	}
	fmt.Fprintf(&b, "tokens recomputed that had been asked for before: %d\n", recomputed)
	if r.Calls.Calls > 0 {
		fmt.Fprintf(&b, "non-idempotent calls: %d, not completed %d, run twice %d\n", r.Calls.Calls, r.Calls.Refused, r.Calls.Doubled)
	}
	return b.String()
}
