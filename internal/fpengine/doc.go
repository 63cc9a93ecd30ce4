// Package fpengine simulates a model engine: a queue ordered by deadline, prefill in blocks,
// continuous batching of running answers and a bounded prefix cache. It does no I/O and takes the
// time from its caller, so that the stand-in process and the virtual-time experiments run the same
// code.
package fpengine
