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
	// maxFirstTokenMicroseconds is the histogram's largest value.
	maxFirstTokenMicroseconds = 120_000_000
	significantDigits         = 3
	// callCyclePrompts is the length, in prompts, of the cycle in which CallsPerPrompt is the share
	// of prompts that come with a call.
	callCyclePrompts = 100
)

type (
	// Settings configures one load run.
	Settings struct {
		Shape             fpworkload.Shape
		Seed              uint64
		HostURLs          []string
		TeamKeys          []string
		Model             string
		Duration          time.Duration
		WarmUp            time.Duration
		RequestsPerSecond float64
		// CallService and CallPath name a non-idempotent call that is made beside the prompts,
		// CallsPerPrompt calls per prompt; an empty CallService disables it.
		CallService    string
		CallPath       string
		CallsPerPrompt float64
	}

	// ClassReport holds the results of one team and class; times are in milliseconds.
	ClassReport struct {
		Team         string
		Class        string
		Requests     int
		Refused      int
		Broken       int
		PromptTokens int
		CachedTokens int
		// Recomputed counts tokens of prefix levels that had been requested before and were not cached.
		Recomputed   int
		HitRate      float64
		FirstToken50 float64
		FirstToken99 float64
		histogram    *hdrhistogram.Histogram
	}

	// Report holds the results of a load run.
	Report struct {
		Workload string
		Classes  []*ClassReport
		Calls    CallReport
	}

	// CallReport holds the results of the non-idempotent calls. Doubled counts calls that ran
	// more than once.
	CallReport struct {
		Calls   int
		Refused int
		Doubled int
	}

	driver struct {
		settings        Settings
		client          *http.Client
		mu              sync.Mutex
		classes         map[string]*ClassReport
		requestedLevels map[fpprefix.Key]bool
		calls           CallReport
	}

	streamResult struct {
		firstToken   time.Duration
		promptTokens int
		cachedTokens int
	}
)

var errRefused = errors.New("the request was refused")

// Run sends the workload's requests until its duration is over or the context ends.
func Run(ctx context.Context, s Settings) Report {
	if s.RequestsPerSecond > 0 {
		s.Shape.RequestsPerSecond = s.RequestsPerSecond
	}
	d := &driver{
		settings:        s,
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		classes:         make(map[string]*ClassReport),
		requestedLevels: make(map[fpprefix.Key]bool),
	}
	g := fpworkload.NewGenerator(s.Shape, s.Seed)
	start := time.Now()
	var wg sync.WaitGroup
	for r := g.Next(); r.At < s.WarmUp+s.Duration; r = g.Next() {
		if !fpclock.Sleep(ctx, time.Until(start.Add(r.At))) {
			break
		}
		seenTokens := d.previouslyRequestedTokens(r)
		wg.Go(func() { d.sendAndRecord(ctx, r, seenTokens) })
		if s.CallService != "" && float64(r.Serial%callCyclePrompts) < s.CallsPerPrompt*callCyclePrompts {
			wg.Go(func() { d.sendCall(ctx, r) })
		}
	}
	wg.Wait()
	d.client.CloseIdleConnections()
	return d.report()
}

// previouslyRequestedTokens returns the number of tokens of the longest prefix level that
// was requested before, and marks all of the request's levels as requested.
func (d *driver) previouslyRequestedTokens(r fpworkload.Request) int {
	seenTokens := 0
	for _, l := range r.Prompt.Levels {
		if d.requestedLevels[l.Key] {
			seenTokens = l.Tokens
		}
		d.requestedLevels[l.Key] = true
	}
	return seenTokens
}

// sendCall makes one non-idempotent call and records whether it ran more than once.
func (d *driver) sendCall(ctx context.Context, r fpworkload.Request) {
	s := d.settings
	host := s.HostURLs[r.Serial%len(s.HostURLs)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/services/"+s.CallService+s.CallPath, strings.NewReader("load"))
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

// sendAndRecord sends one prompt and records its result after the warm-up.
func (d *driver) sendAndRecord(ctx context.Context, r fpworkload.Request, seenTokens int) {
	v, err := d.sendChat(ctx, r)
	if r.At < d.settings.WarmUp {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classReport(fmt.Sprintf("team-%d", r.Team), r.Class.String())
	c.Requests++
	switch {
	case errors.Is(err, errRefused):
		c.Refused++
	case err != nil:
		c.Broken++
	default:
		c.PromptTokens += v.promptTokens
		c.CachedTokens += v.cachedTokens
		c.Recomputed += max(seenTokens-v.cachedTokens, 0)
		_ = c.histogram.RecordValue(min(v.firstToken.Microseconds(), maxFirstTokenMicroseconds))
	}
}

// classReport returns the report of a team and class, which it creates if needed.
func (d *driver) classReport(team, class string) *ClassReport {
	c := d.classes[team+"/"+class]
	if c == nil {
		c = &ClassReport{Team: team, Class: class, histogram: hdrhistogram.New(1, maxFirstTokenMicroseconds, significantDigits)}
		d.classes[team+"/"+class] = c
	}
	return c
}

// sendChat sends one chat request and reads its stream to the end.
func (d *driver) sendChat(ctx context.Context, r fpworkload.Request) (streamResult, error) {
	s := d.settings
	host := s.HostURLs[(r.Zone*s.Shape.HostsPerZone+r.Host)%len(s.HostURLs)]
	body, err := json.Marshal(fpchat.Request{Model: s.Model, Stream: true, MaxTokens: r.OutputTokens, Messages: buildMessages(s.Shape, r)})
	if err != nil {
		return streamResult{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return streamResult{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.TeamKeys[r.Team%len(s.TeamKeys)])
	req.Header.Set(fpchat.ClassHeader, r.Class.String())
	start := time.Now()
	res, err := d.client.Do(req)
	if err != nil {
		return streamResult{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return streamResult{}, errors.Wrapf(errRefused, "status %d", res.StatusCode)
	}
	return readStream(res.Body, start)
}

// readStream reads an answer to its end and checks its length against the announced total.
func readStream(body io.Reader, start time.Time) (streamResult, error) {
	var v streamResult
	chunks := fpchat.NewChunkReader(body)
	length, total := 0, -1
	for {
		a, ok, err := chunks.ReadChunk()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return v, err
		}
		if !ok {
			continue
		}
		if v.firstToken == 0 {
			v.firstToken = time.Since(start)
		}
		length += len(a.Text())
		if a.Usage != nil {
			v.promptTokens, v.cachedTokens = a.Usage.PromptTokens, a.Usage.PromptTokensDetails.CachedTokens
		}
		if a.Total != nil {
			total = *a.Total
		}
	}
	if length != total {
		return v, errors.Newf("answer has %d bytes, want %d", length, total)
	}
	return v, nil
}

// buildMessages generates the request's text; equal prefix numbers give equal text.
func buildMessages(s fpworkload.Shape, r fpworkload.Request) []fpchat.Message {
	sizes := []int{s.TopBlocks, s.MiddleBlocks, s.LeafBlocks}
	var out []fpchat.Message
	prefixTokens := 0
	for l, number := range r.PrefixNumbers {
		text := repeatToLength(fmt.Sprintf("level %d number %d. ", l, number), sizes[l]*fpprefix.BlockBytes-1)
		out = append(out, fpchat.Message{Role: "system", Content: text})
		prefixTokens += sizes[l] * fpprefix.BlockTokens
	}
	uniqueBytes := max(r.Prompt.Tokens-prefixTokens, 1) * fpprefix.BytesPerToken
	return append(out, fpchat.Message{Role: "user", Content: repeatToLength(fmt.Sprintf("request %d. ", r.Serial), uniqueBytes)})
}

// repeatToLength repeats text and truncates it to n bytes.
func repeatToLength(text string, n int) string {
	return strings.Repeat(text, n/len(text)+1)[:n]
}

func (d *driver) report() Report {
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
