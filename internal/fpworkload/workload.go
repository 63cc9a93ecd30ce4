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
	// TinggiSelamat is course work: manual, module, worker.
	TinggiSelamat = "tinggi-selamat"
	// Roostwell is shed alarms: fleet, farm, shed.
	Roostwell = "roostwell"

	// hotEvery is the time after which the hot prefix moves.
	hotEvery = 10 * time.Second
	// hotShare is the part of the requests that go to the hot prefix.
	hotShare = 0.25
)

// ErrName is returned for a workload that does not exist.
var ErrName = errors.New("no workload of this name")

type (
	// Shape describes a workload; sizes are in blocks of a thousand tokens.
	Shape struct {
		Name          string
		Zones         []string
		TeamWeights   []float64
		Tops          int
		Middles       int
		Leaves        int
		TopBlocks     int
		MiddleBlocks  int
		LeafBlocks    int
		RequestsRate  float64
		Kinds         []Kind
		PrefillRate   float64
		CacheBlocks   int
		ReplicasZone  int
		HostsZone     int
		RegionOneWay  time.Duration
		ClientOneWay  time.Duration
		InnerOneWay   time.Duration
		TokenInterval time.Duration
	}

	// Kind is one sort of request of a workload.
	Kind struct {
		Share     float64
		Class     fproute.Class
		Levels    int
		OwnTokens int
		OwnSpread int
		Output    int
	}

	// Request is one generated request; Keys are those of its whole blocks.
	Request struct {
		Serial int
		At     time.Duration
		Zone   int
		Host   int
		Team   int
		Class  fproute.Class
		Prompt fpprefix.Prompt
		Keys   []fpprefix.Key
		Output int
		// Path numbers the prefix at each level, for text to be made of.
		Path []int
	}

	// Generator makes a workload's requests in order of time.
	Generator struct {
		shape  Shape
		random *rand.Rand
		now    time.Duration
		serial int
		teams  []float64
		kinds  []float64
	}
)

// Named returns the shape of a named workload.
func Named(name string) (Shape, error) {
	switch name {
	case TinggiSelamat:
		return tinggiSelamat(), nil
	case Roostwell:
		return roostwell(), nil
	default:
		return Shape{}, errors.Wrapf(ErrName, "%q", name)
	}
}

func tinggiSelamat() Shape {
	return Shape{
		Name:         TinggiSelamat,
		Zones:        []string{"johor-a", "klang-a", "penang-a"},
		TeamWeights:  []float64{40, 25, 12, 8, 6, 4, 3, 2},
		Tops:         3,
		Middles:      6,
		Leaves:       40,
		TopBlocks:    12,
		MiddleBlocks: 4,
		LeafBlocks:   2,
		RequestsRate: 65,
		Kinds: []Kind{
			{Share: 0.70, Class: fproute.Interactive, Levels: 3, OwnTokens: 200, OwnSpread: 200, Output: 40},
			{Share: 0.285, Class: fproute.Standard, Levels: 2, OwnTokens: 400, OwnSpread: 400, Output: 120},
			{Share: 0.015, Class: fproute.Bulk, Levels: 1, OwnTokens: 12_000, OwnSpread: 8_000, Output: 400},
		},
		PrefillRate:   50_000,
		CacheBlocks:   400,
		ReplicasZone:  3,
		HostsZone:     3,
		RegionOneWay:  30 * time.Millisecond,
		ClientOneWay:  time.Millisecond,
		InnerOneWay:   1500 * time.Microsecond,
		TokenInterval: 12 * time.Millisecond,
	}
}

func roostwell() Shape {
	return Shape{
		Name:         Roostwell,
		Zones:        []string{"delta-a", "ngeorgia-a", "sandmtn-a"},
		TeamWeights:  []float64{35, 25, 15, 10, 6, 4, 3, 2},
		Tops:         1,
		Middles:      6,
		Leaves:       8,
		TopBlocks:    5,
		MiddleBlocks: 5,
		LeafBlocks:   16,
		RequestsRate: 50,
		Kinds: []Kind{
			{Share: 0.45, Class: fproute.Interactive, Levels: 3, OwnTokens: 150, OwnSpread: 150, Output: 30},
			{Share: 0.54, Class: fproute.Standard, Levels: 2, OwnTokens: 200, OwnSpread: 300, Output: 20},
			{Share: 0.01, Class: fproute.Bulk, Levels: 1, OwnTokens: 10_000, OwnSpread: 6_000, Output: 300},
		},
		PrefillRate:   50_000,
		CacheBlocks:   400,
		ReplicasZone:  3,
		HostsZone:     3,
		RegionOneWay:  30 * time.Millisecond,
		ClientOneWay:  3 * time.Millisecond,
		InnerOneWay:   time.Millisecond,
		TokenInterval: 12 * time.Millisecond,
	}
}

// NewGenerator returns a generator; the same seed gives the same requests.
func NewGenerator(s Shape, seed uint64) *Generator {
	g := &Generator{shape: s, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
	g.teams = cumulative(s.TeamWeights)
	shares := make([]float64, 0, len(s.Kinds))
	for _, k := range s.Kinds {
		shares = append(shares, k.Share)
	}
	g.kinds = cumulative(shares)
	return g
}

// Next returns the next request.
func (g *Generator) Next() Request {
	s := g.shape
	g.now += time.Duration(g.random.ExpFloat64() / s.RequestsRate * float64(time.Second))
	g.serial++
	kind := s.Kinds[choose(g.kinds, g.random)]
	r := Request{
		Serial: g.serial,
		At:     g.now,
		Zone:   g.random.IntN(len(s.Zones)),
		Host:   g.random.IntN(s.HostsZone),
		Team:   choose(g.teams, g.random),
		Class:  kind.Class,
		Output: 1 + g.random.IntN(2*kind.Output),
	}
	r.Path = g.path(&r, kind.Levels)
	g.fill(&r, kind.OwnTokens+g.random.IntN(kind.OwnSpread))
	return r
}

// path draws which prefix a request has at each level; the hot one, which
// moves with time, draws more than its share.
func (g *Generator) path(r *Request, levels int) []int {
	s := g.shape
	path := []int{skewed(g.random, s.Tops), skewed(g.random, s.Middles), skewed(g.random, s.Leaves)}
	if g.random.Float64() < hotShare {
		epoch := int(g.now / hotEvery)
		r.Team = epoch % min(len(s.TeamWeights), 4)
		path[0] = epoch % s.Tops
		path[1] = (epoch * 5) % s.Middles
	}
	return path[:levels]
}

// fill computes the request's block keys and levels.
func (g *Generator) fill(r *Request, own int) {
	s := g.shape
	sizes := []int{s.TopBlocks, s.MiddleBlocks, s.LeafBlocks}
	k := fpprefix.Seed{Team: string(rune('a' + r.Team)), Model: s.Name}.Key()
	tokens := 0
	for l, number := range r.Path {
		for range sizes[l] {
			k = next(k, uint64(number))
			r.Keys = append(r.Keys, k)
		}
		tokens += sizes[l] * fpprefix.BlockTokens
		r.Prompt.Levels = append(r.Prompt.Levels, fpprefix.Level{Key: k, Tokens: tokens})
	}
	for i := 0; i < own/fpprefix.BlockTokens; i++ {
		k = next(k, uint64(r.Serial)<<20)
		r.Keys = append(r.Keys, k)
	}
	r.Prompt.Tokens = tokens + own
}

// next returns the key after a block that is known by its number.
func next(k fpprefix.Key, number uint64) fpprefix.Key {
	var b [8]byte
	for i := range b {
		b[i] = byte(number >> (8 * i))
	}
	return k.Next(string(b[:]))
}

// skewed draws a number below n, low ones more often (Zipf with exponent one).
func skewed(r *rand.Rand, n int) int {
	return int(math.Exp(r.Float64()*math.Log(float64(n+1)))) - 1
}

func cumulative(weights []float64) []float64 {
	out := make([]float64, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		out[i] = sum
	}
	return out
}

func choose(sums []float64, r *rand.Rand) int {
	x := r.Float64() * sums[len(sums)-1]
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return len(sums) - 1
}
