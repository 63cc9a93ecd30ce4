// Package fpclaim ensures that a non-idempotent request is dispatched at most once.
//
// Claims are stored in the platform's key-value service as a log of batches for
// each shard. The log is a ring of slots: batch n replaces the content of slot
// n mod Slots by a compare-and-swap on the revision that the writer last read
// there, so an append succeeds only for a writer that has read every earlier
// batch. The compare-and-swap of a writer that was paused or partitioned fails;
// it reads the batches that it missed and tries again. Claims that are still
// inside the deduplication window when their slot is replaced are carried over
// into the new value, so expiry costs no extra call.
//
// The package does no I/O: a shard is a state machine that takes events and
// times and returns actions.
package fpclaim
