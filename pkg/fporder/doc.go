// Package fporder plans the rollout of model weights: the holder of a lease
// orders upstreams to load the configured weights, a few replicas at a time, and
// never so many that an availability zone stops serving a model. It does no I/O.
package fporder
