// Package fpestimate learns figures of services, engines and networks from samples:
// rates, durations and factors. An estimate starts from a wide prior, which a few
// samples outweigh, follows the median, so that slow or failing replicas and noise
// move it little, and refuses samples that can't be. It does no I/O and has no clock.
package fpestimate
