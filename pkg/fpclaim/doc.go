// Package fpclaim lets a non-idempotent request be dispatched at most once.
//
// Claims are kept in the platform's key-value service as a log of batches for
// each shard. The log is a ring of slots: batch n replaces the content of slot
// n mod Slots by a compare-and-swap on the revision that the writer last read
// there, so an append succeeds only for a writer that has seen every earlier
// batch. A writer that was paused or cut off loses the swap, reads on and
// tries again. Claims that are still inside the window when their slot is
// replaced are carried over, so clean-up costs no extra call.
//
// The package does no I/O: events and times come in, actions go out.
package fpclaim
