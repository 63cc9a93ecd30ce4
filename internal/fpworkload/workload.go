package fpworkload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// TinggiSelamat is the workload of course work; its prefix levels are manual, module
	// and worker.
	TinggiSelamat = "tinggi-selamat"
	// Roostwell is the workload of alarms from farm sheds; its prefix levels are fleet, farm
	// and shed.
	Roostwell = "roostwell"

	// hotPrefixInterval is the time after which another prefix becomes the hot one.
	hotPrefixInterval = 10 * time.Second
	// hotPrefixShare is the share of requests for the hot prefix.
	hotPrefixShare = 0.25
)

// ErrUnknownWorkload means that there is no workload of the given name.
var ErrUnknownWorkload = errors.New("no workload of this name")

type (
	// Shape describes a workload. Sizes are in blocks of fpprefix.BlockTokens tokens, rates
	// are per second and latencies one way.
	Shape struct {
		Name                   string
		Zones                  []string
		TeamWeights            []float64
		TopPrefixes            int
		MiddlePrefixes         int
		LeafPrefixes           int
		TopBlocks              int
		MiddleBlocks           int
		LeafBlocks             int
		RequestsPerSecond      float64
		Kinds                  []RequestKind
		PrefillTokensPerSecond float64
		CacheBlocks            int
		ReplicasPerZone        int
		HostsPerZone           int
		InterRegionLatency     time.Duration
		ClientLatency          time.Duration
		InZoneLatency          time.Duration
		TokenInterval          time.Duration
	}

	// RequestKind is one kind of request of a workload.
	RequestKind struct {
		Share              float64
		Class              fproute.Class
		Levels             int
		MinUniqueTokens    int
		UniqueTokensSpread int
		MeanOutputTokens   int
	}

	// Request is one generated request; Keys holds the keys of its complete blocks.
	Request struct {
		Serial       int
		At           time.Duration
		Zone         int
		Host         int
		Team         int
		Class        fproute.Class
		Prompt       fpprefix.Prompt
		Keys         []fpprefix.Key
		OutputTokens int
		// PrefixNumbers holds the number of the prefix at each level, from which text can be generated.
		PrefixNumbers []int
	}

	// Generator generates a workload's requests in order of arrival.
	Generator struct {
		shape           Shape
		random          *rand.Rand
		now             time.Duration
		serial          int
		cumulativeTeams []float64
		cumulativeKinds []float64
	}
)

// ShapeByName returns the shape of the workload with the given name.
func ShapeByName(name string) (Shape, error) {
	switch name {
	case TinggiSelamat:
		return tinggiSelamat(), nil
	case Roostwell:
		return roostwell(), nil
	default:
		return Shape{}, errors.Wrapf(ErrUnknownWorkload, "%q", name)
	}
}

func tinggiSelamat() Shape {
	return Shape{
		Name:              TinggiSelamat,
		Zones:             []string{"johor-a", "klang-a", "penang-a"},
		TeamWeights:       []float64{40, 25, 12, 8, 6, 4, 3, 2},
		TopPrefixes:       3,
		MiddlePrefixes:    6,
		LeafPrefixes:      40,
		TopBlocks:         12,
		MiddleBlocks:      4,
		LeafBlocks:        2,
		RequestsPerSecond: 65,
		Kinds: []RequestKind{
			{Share: 0.70, Class: fproute.Interactive, Levels: 3, MinUniqueTokens: 200, UniqueTokensSpread: 200, MeanOutputTokens: 40},
			{Share: 0.285, Class: fproute.Standard, Levels: 2, MinUniqueTokens: 400, UniqueTokensSpread: 400, MeanOutputTokens: 120},
			{Share: 0.015, Class: fproute.Bulk, Levels: 1, MinUniqueTokens: 12_000, UniqueTokensSpread: 8_000, MeanOutputTokens: 400},
		},
		PrefillTokensPerSecond: 50_000,
		CacheBlocks:            400,
		ReplicasPerZone:        3,
		HostsPerZone:           3,
		InterRegionLatency:     30 * time.Millisecond,
		ClientLatency:          time.Millisecond,
		InZoneLatency:          1500 * time.Microsecond,
		TokenInterval:          12 * time.Millisecond,
	}
}

func roostwell() Shape {
	return Shape{
		Name:              Roostwell,
		Zones:             []string{"delta-a", "ngeorgia-a", "sandmtn-a"},
		TeamWeights:       []float64{35, 25, 15, 10, 6, 4, 3, 2},
		TopPrefixes:       1,
		MiddlePrefixes:    6,
		LeafPrefixes:      8,
		TopBlocks:         5,
		MiddleBlocks:      5,
		LeafBlocks:        16,
		RequestsPerSecond: 50,
		Kinds: []RequestKind{
			{Share: 0.45, Class: fproute.Interactive, Levels: 3, MinUniqueTokens: 150, UniqueTokensSpread: 150, MeanOutputTokens: 30},
			{Share: 0.54, Class: fproute.Standard, Levels: 2, MinUniqueTokens: 200, UniqueTokensSpread: 300, MeanOutputTokens: 20},
			{Share: 0.01, Class: fproute.Bulk, Levels: 1, MinUniqueTokens: 10_000, UniqueTokensSpread: 6_000, MeanOutputTokens: 300},
		},
		PrefillTokensPerSecond: 50_000,
		CacheBlocks:            400,
		ReplicasPerZone:        3,
		HostsPerZone:           3,
		InterRegionLatency:     30 * time.Millisecond,
		ClientLatency:          3 * time.Millisecond,
		InZoneLatency:          time.Millisecond,
		TokenInterval:          12 * time.Millisecond,
	}
}

// NewGenerator returns a generator; the same seed gives the same requests.
func NewGenerator(s Shape, seed uint64) *Generator {
	g := &Generator{shape: s, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
	g.cumulativeTeams = cumulativeSums(s.TeamWeights)
	shares := make([]float64, 0, len(s.Kinds))
	for _, k := range s.Kinds {
		shares = append(shares, k.Share)
	}
	g.cumulativeKinds = cumulativeSums(shares)
	return g
}

// Next returns the next request.
func (g *Generator) Next() Request {
	s := g.shape
	g.now += time.Duration(g.random.ExpFloat64() / s.RequestsPerSecond * float64(time.Second))
	g.serial++
	kind := s.Kinds[drawWeighted(g.cumulativeKinds, g.random)]
	r := Request{
		Serial:       g.serial,
		At:           g.now,
		Zone:         g.random.IntN(len(s.Zones)),
		Host:         g.random.IntN(s.HostsPerZone),
		Team:         drawWeighted(g.cumulativeTeams, g.random),
		Class:        kind.Class,
		OutputTokens: 1 + g.random.IntN(2*kind.MeanOutputTokens),
	}
	r.PrefixNumbers = g.drawPrefixes(&r, kind.Levels)
	g.fillPrompt(&r, kind.MinUniqueTokens+g.random.IntN(kind.UniqueTokensSpread))
	return r
}

// drawPrefixes draws the number of a request's prefix at each level. A fixed share of
// requests gets the team, top and middle prefix that are hot at the time.
func (g *Generator) drawPrefixes(r *Request, levels int) []int {
	s := g.shape
	numbers := []int{drawZipf(g.random, s.TopPrefixes), drawZipf(g.random, s.MiddlePrefixes), drawZipf(g.random, s.LeafPrefixes)}
	if g.random.Float64() < hotPrefixShare {
		epoch := int(g.now / hotPrefixInterval)
		r.Team = epoch % min(len(s.TeamWeights), 4)
		numbers[0] = epoch % s.TopPrefixes
		numbers[1] = (epoch * 5) % s.MiddlePrefixes
	}
	return numbers[:levels]
}

// fillPrompt computes the request's block keys and levels; uniqueTokens is the number of
// tokens after the shared prefix.
func (g *Generator) fillPrompt(r *Request, uniqueTokens int) {
	s := g.shape
	sizes := []int{s.TopBlocks, s.MiddleBlocks, s.LeafBlocks}
	k := fpprefix.Seed{Team: string(rune('a' + r.Team)), Model: s.Name}.Key()
	tokens := 0
	for l, number := range r.PrefixNumbers {
		for range sizes[l] {
			k = nextKey(k, uint64(number))
			r.Keys = append(r.Keys, k)
		}
		tokens += sizes[l] * fpprefix.BlockTokens
		r.Prompt.Levels = append(r.Prompt.Levels, fpprefix.Level{Key: k, Tokens: tokens})
	}
	for i := 0; i < uniqueTokens/fpprefix.BlockTokens; i++ {
		k = nextKey(k, uint64(r.Serial)<<20)
		r.Keys = append(r.Keys, k)
	}
	r.Prompt.Tokens = tokens + uniqueTokens
}

// nextKey returns the key that follows k when the next block has the given number.
func nextKey(k fpprefix.Key, number uint64) fpprefix.Key {
	var b [8]byte
	for i := range b {
		b[i] = byte(number >> (8 * i))
	}
	return k.Next(string(b[:]))
}

// drawZipf draws a number below n, approximately by a Zipf distribution with exponent 1.
func drawZipf(r *rand.Rand, n int) int {
	return int(math.Exp(r.Float64()*math.Log(float64(n+1)))) - 1
}

// cumulativeSums returns the running sums of the weights.
func cumulativeSums(weights []float64) []float64 {
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		sums[i] = sum
	}
	return sums
}

// drawWeighted draws an index by weight, given the running sums of the weights.
func drawWeighted(sums []float64, r *rand.Rand) int {
	x := r.Float64() * sums[len(sums)-1]
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return len(sums) - 1
}
