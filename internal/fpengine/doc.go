// Package fpengine models a model engine: a queue ordered by deadline, prefill
// in blocks, continuous batching of running answers and a limited prefix cache.
// It does no I/O and has no clock; the stand-in process and the experiments in
// virtual time drive the same code.
package fpengine
