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
		HitRate      float64
		FirstToken50 float64
		FirstToken99 float64
		histogram    *hdrhistogram.Histogram
	}

	// Report is what all callers saw.
	Report struct {
		Workload string
		Classes  []*ClassReport
	}

	drive struct {
		settings Settings
		client   *http.Client
		mu       sync.Mutex
		classes  map[string]*ClassReport
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
	}
	g := fpworkload.NewGenerator(s.Shape, s.Seed)
	start := time.Now()
	var wg sync.WaitGroup
	for r := g.Next(); r.At < s.Warm+s.Duration; r = g.Next() {
		if !fpclock.Sleep(ctx, time.Until(start.Add(r.At))) {
			break
		}
		wg.Go(func() { d.send(ctx, r) })
	}
	wg.Wait()
	d.client.CloseIdleConnections()
	return d.report()
}

func (d *drive) send(ctx context.Context, r fpworkload.Request) {
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
	events := fpchat.NewEvents(body)
	length, total := 0, -1
	for {
		a, ok, err := events.Next()
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
			v.prompt, v.cached = a.Usage.PromptTokens, a.Usage.Details.CachedTokens
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
	r := Report{Workload: d.settings.Shape.Name}
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
	hit, prompt := 0, 0
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-8s %-12s %9d %8d %7d %7.3f %8.1fms %8.1fms\n", c.Team, c.Class, c.Requests, c.Refused, c.Broken, c.HitRate, c.FirstToken50, c.FirstToken99)
		hit += c.CachedTokens
		prompt += c.PromptTokens
	}
	if prompt > 0 {
		fmt.Fprintf(&b, "prefix hit rate over all tokens: %.3f\n", float64(hit)/float64(prompt))
	}
	return b.String()
}
