package fpbalance

import (
	"maps"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpestimate"
)

// Priors of the learnt figures: a few dozen samples outweigh them.
const (
	// priorTokensPerSecond is the number of prompt tokens that an engine computes a second.
	priorTokensPerSecond = 64_000.0
	// priorFixedSeconds is the part of the time to the first token that does not depend on the
	// prompt, the queue or the network.
	priorFixedSeconds = 0.005
	// priorPlainSeconds is the service time of a plain request.
	priorPlainSeconds = 0.025
	// Network round trips by distance.
	priorSameZoneRoundTripSeconds    = 0.0005
	priorSameRegionRoundTripSeconds  = 0.004
	priorCrossRegionRoundTripSeconds = 0.06
)

const (
	// minRateSampleSeconds is the least computing time of a prompt that yields a sample of the rate,
	// and maxFixedSampleSeconds the largest of one that yields a sample of the fixed time.
	minRateSampleSeconds  = 0.05
	maxFixedSampleSeconds = 0.02
	// maxSampleSpeedup bounds how much faster than predicted a sample may be, since the predicted
	// queue may have been empty.
	maxSampleSpeedup = 4
	// maxRateDeviation bounds the ratio of a service's rate and the prior, either way.
	maxRateDeviation = 8
)

type (
	// figures are the learnt figures of the replicas of one service.
	figures struct {
		tokensPerSecond fpestimate.Quantity
		fixedSeconds    fpestimate.Quantity
		plainSeconds    fpestimate.Quantity
	}

	// Figures are the estimates in force for one service.
	Figures struct {
		// TokensPerSecond is the rate at which an engine computes prompts.
		TokensPerSecond float64
		// FixedSeconds is the time to the first token beyond network, queue and computing.
		FixedSeconds float64
		// PlainSeconds is the service time of a plain request.
		PlainSeconds float64
		// Samples is the number of samples behind the figures.
		Samples int
	}
)

// ServiceFigures returns the estimates in force for each service that was used.
func (b *Balancer) ServiceFigures() map[string]Figures {
	out := make(map[string]Figures, len(b.services))
	for name, f := range b.services {
		out[name] = Figures{
			TokensPerSecond: f.rate(), FixedSeconds: f.fixed(), PlainSeconds: f.plain(),
			Samples: f.tokensPerSecond.Samples() + f.fixedSeconds.Samples() + f.plainSeconds.Samples(),
		}
	}
	return out
}

// RefusedSamples returns the number of samples that the estimates refused, by reason.
func (b *Balancer) RefusedSamples() map[string]int { return maps.Clone(b.refusedSamples) }

func (f *figures) rate() float64 {
	return clampRatio(f.tokensPerSecond.Value(priorTokensPerSecond), priorTokensPerSecond, maxRateDeviation)
}

func (f *figures) fixed() float64 { return f.fixedSeconds.Value(priorFixedSeconds) }

func (f *figures) plain() float64 { return f.plainSeconds.Value(priorPlainSeconds) }

// clampRatio returns v within the given ratio of a reference, either way.
func clampRatio(v, reference, ratio float64) float64 {
	return max(reference/ratio, min(v, reference*ratio))
}

func (b *Balancer) figuresOf(service string) *figures {
	f := b.services[service]
	if f == nil {
		f = &figures{}
		b.services[service] = f
	}
	return f
}

// addSample adds a sample to an estimate, or counts why it was refused.
func (b *Balancer) addSample(q *fpestimate.Quantity, sample, prior float64) {
	next, err := q.WithSample(sample, prior)
	if err != nil {
		b.refusedSamples[err.Error()]++
		return
	}
	*q = next
}

// learnFromEngine updates the drain rate of an engine's queue by the time to the first token of a
// request and, if that found little load, the engine's own figures: under load the time says more
// about the queue than about the engine.
func (b *Balancer) learnFromEngine(c Choice, waitedSeconds float64, now time.Duration) {
	f, l := b.figuresOf(c.Replica.Service), b.loadOf(c.Replica.ID)
	rest := waitedSeconds - c.nonPrefillSeconds
	l.updateDrainRate(c.queuedTokens, rest, f.rate())
	if c.queuedTokens > c.MissTokens || !l.hadLightLoad(c.Replica.Slots, now) {
		return
	}
	computing := float64(c.MissTokens) / f.rate()
	switch {
	case computing >= minRateSampleSeconds:
		b.addSample(&f.tokensPerSecond, float64(c.MissTokens)/max(rest, computing/maxSampleSpeedup), priorTokensPerSecond)
	case computing <= maxFixedSampleSeconds:
		b.addSample(&f.fixedSeconds, max(rest-computing+f.fixed(), f.fixed()/maxSampleSpeedup), priorFixedSeconds)
	}
}

// learnFromPlain updates the service time of plain requests by the wait for an answer of a replica
// that had a free slot.
func (b *Balancer) learnFromPlain(c Choice, waitedSeconds float64) {
	if c.queuedRequests > 0 {
		return
	}
	f := b.figuresOf(c.Replica.Service)
	b.addSample(&f.plainSeconds, max(waitedSeconds-b.roundTripSeconds(c.Replica), f.plain()/maxSampleSpeedup), priorPlainSeconds)
}

// RecordRoundTrip records the time in which a connection to a replica was opened, one round trip.
func (b *Balancer) RecordRoundTrip(r Replica, seconds float64) {
	q := b.roundTrips[r.Zone]
	b.addSample(&q, seconds, b.priorRoundTripSeconds(r))
	b.roundTrips[r.Zone] = q
}

// roundTripSeconds returns the network round trip between this host and a replica.
func (b *Balancer) roundTripSeconds(r Replica) float64 {
	return b.roundTrips[r.Zone].Value(b.priorRoundTripSeconds(r))
}

func (b *Balancer) priorRoundTripSeconds(r Replica) float64 {
	switch {
	case r.Zone == b.location.Zone:
		return priorSameZoneRoundTripSeconds
	case r.Region == b.location.Region:
		return priorSameRegionRoundTripSeconds
	default:
		return priorCrossRegionRoundTripSeconds
	}
}
