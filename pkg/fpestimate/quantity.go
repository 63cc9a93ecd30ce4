package fpestimate

import (
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// firstStep is the largest change of the logarithm of an estimate by its first sample, and
	// lastStep that by a sample after many others.
	firstStep = 0.7
	lastStep  = 0.03
	// stepSamples is the number of samples after which the largest change has halved.
	stepSamples = 3
	// gain is the share of a sample's distance that the estimate follows, within the largest change.
	gain = 0.5
	// maxPriorRatio is the largest ratio of a plausible sample and the prior, either way.
	maxPriorRatio = 1000
)

var (
	// ErrNotPositive means that a sample is zero, negative, infinite or not a number.
	ErrNotPositive = errors.New("a sample is not a positive number")
	// ErrImplausible means that a sample is too far from the prior to be a measurement.
	ErrImplausible = errors.New("a sample is implausible")
)

type (
	// Quantity estimates a positive quantity, such as a rate or a duration, by the median of its
	// samples. The zero value has no samples and has the value of the prior.
	Quantity struct {
		logValue float64
		samples  int
	}
)

// Value returns the estimate, which is the prior as long as there are no samples.
func (q Quantity) Value(prior float64) float64 {
	if q.samples == 0 {
		return prior
	}
	return math.Exp(q.logValue)
}

// Samples returns the number of samples.
func (q Quantity) Samples() int { return q.samples }

// WithSample returns the estimate with one more sample. The error is ErrNotPositive or
// ErrImplausible, and the estimate is then unchanged.
func (q Quantity) WithSample(sample, prior float64) (Quantity, error) {
	if !(sample > 0) || math.IsInf(sample, 0) {
		return q, ErrNotPositive
	}
	if sample > prior*maxPriorRatio || sample < prior/maxPriorRatio {
		return q, ErrImplausible
	}
	if q.samples == 0 {
		q.logValue = math.Log(prior)
	}
	step := max(lastStep, firstStep/(1+float64(q.samples)/stepSamples))
	distance := gain * (math.Log(sample) - q.logValue)
	q.logValue += max(-step, min(step, distance))
	q.samples++
	return q, nil
}
