package fpclaimant

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

const (
	// tickInterval is the time between ticks of a shard with pending requests.
	tickInterval = 2 * time.Millisecond
	// retryInterval is the time until the next tick after a failed call to the store.
	retryInterval = 100 * time.Millisecond
)

type (
	// Settings configures the claim log; zero fields take their defaults.
	Settings struct {
		Shards int
		Shard  fpclaim.Settings
	}

	// ClaimResult is the result of a claim request; Holder is the claim that the key
	// has, unless the verdict is Unavailable.
	ClaimResult struct {
		Verdict fpclaim.Verdict
		Holder  fpclaim.Claim
	}

	// Claimant settles claims through the platform's key-value service.
	Claimant struct {
		store   fpstore.Store
		shards  []*shardRunner
		stopped chan struct{}
	}

	// shardRunner executes the actions of one shard, which only its own goroutine
	// accesses.
	shardRunner struct {
		shardNumber    int
		store          fpstore.Store
		shard          *fpclaim.Shard
		requests       chan claimRequest
		results        chan func(*fpclaim.Shard) []fpclaim.Action
		replies        map[waiterKey]chan ClaimResult
		lastCallFailed bool
	}

	// waiterKey identifies the caller that waits for a reply.
	waiterKey struct {
		key     fpclaim.Key
		attempt string
	}

	claimRequest struct {
		claim    fpclaim.Claim
		deadline time.Time
		reply    chan ClaimResult
	}
)

// New returns a claimant; name identifies its batches and must differ between
// hosts and incarnations. It settles claims while Run is running.
func New(name string, store fpstore.Store, s Settings) *Claimant {
	if s.Shards == 0 {
		s.Shards = fpclaim.DefaultShards
	}
	c := &Claimant{store: store, stopped: make(chan struct{})}
	for i := range s.Shards {
		c.shards = append(c.shards, &shardRunner{
			shardNumber: i,
			store:       store,
			shard:       fpclaim.NewShard(name, s.Shard),
			requests:    make(chan claimRequest),
			results:     make(chan func(*fpclaim.Shard) []fpclaim.Action),
			replies:     make(map[waiterKey]chan ClaimResult),
		})
	}
	return c
}

// Run runs all shards until the context ends; it must be called once.
func (c *Claimant) Run(ctx context.Context) error {
	defer close(c.stopped)
	done := make(chan struct{})
	for _, r := range c.shards {
		go func() {
			r.run(ctx)
			done <- struct{}{}
		}()
	}
	for range c.shards {
		<-done
	}
	return nil
}

// Shards returns the number of shards.
func (c *Claimant) Shards() int { return len(c.shards) }

// SettleClaim requests a claim from the platform, or releases one when Released is
// set; the verdict is Unavailable when there was no result within wait.
func (c *Claimant) SettleClaim(ctx context.Context, claim fpclaim.Claim, wait time.Duration) ClaimResult {
	req := claimRequest{claim: claim, deadline: time.Now().Add(wait), reply: make(chan ClaimResult, 1)}
	select {
	case c.shards[claim.Key.Shard(len(c.shards))].requests <- req:
	case <-ctx.Done():
		return ClaimResult{Verdict: fpclaim.Unavailable}
	case <-c.stopped:
		return ClaimResult{Verdict: fpclaim.Unavailable}
	}
	select {
	case s := <-req.reply:
		return s
	case <-ctx.Done():
	case <-c.stopped:
	}
	return ClaimResult{Verdict: fpclaim.Unavailable}
}

func (r *shardRunner) run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		var actions []fpclaim.Action
		select {
		case req := <-r.requests:
			actions = r.acceptRequest(req)
		case handleResult := <-r.results:
			actions = handleResult(r.shard)
		case <-t.C:
			actions = r.shard.Tick(time.Now())
		case <-ctx.Done():
			return
		}
		r.executeActions(ctx, actions)
		r.resetTimer(t)
	}
}

func (r *shardRunner) acceptRequest(req claimRequest) []fpclaim.Action {
	r.replies[waiterKey{key: req.claim.Key, attempt: req.claim.Attempt}] = req.reply
	return r.shard.RequestClaim(req.claim, time.Now(), req.deadline)
}

func (r *shardRunner) resetTimer(t *time.Timer) {
	switch {
	case !r.shard.HasPending():
		t.Reset(time.Hour)
	case r.lastCallFailed:
		t.Reset(retryInterval)
	default:
		t.Reset(tickInterval)
	}
}

func (r *shardRunner) executeActions(ctx context.Context, actions []fpclaim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fpclaim.Reply:
			r.deliverReply(a)
		case fpclaim.ReadSlot:
			go r.readSlot(ctx, a)
		case fpclaim.WriteSlot:
			go r.writeSlot(ctx, a)
		}
	}
}

func (r *shardRunner) deliverReply(a fpclaim.Reply) {
	w := waiterKey{key: a.Key, attempt: a.Attempt}
	if c, ok := r.replies[w]; ok {
		delete(r.replies, w)
		c <- ClaimResult{Verdict: a.Verdict, Holder: a.Claim}
	}
}

// readSlot reads a slot and hands the result to the shard's goroutine.
func (r *shardRunner) readSlot(ctx context.Context, a fpclaim.ReadSlot) {
	v, slot, err := r.loadSlot(ctx, a.Slot)
	r.postResult(ctx, func(s *fpclaim.Shard) []fpclaim.Action {
		r.lastCallFailed = err != nil
		if err != nil {
			return s.HandleReadFailed(time.Now())
		}
		return s.HandleSlotRead(a.Slot, v.Revision, slot, time.Now())
	})
}

func (r *shardRunner) loadSlot(ctx context.Context, slotNumber int) (fpstore.Item, fpclaim.Slot, error) {
	var slot fpclaim.Slot
	v, err := fpstore.GetOrZero(ctx, r.store, fpclaim.SlotKey(r.shardNumber, slotNumber))
	if err != nil || v.Revision == 0 {
		return v, slot, err
	}
	return v, slot, errors.Wrap(json.Unmarshal(v.Value, &slot), "decode claim slot")
}

// writeSlot writes a slot and hands the result to the shard's goroutine.
func (r *shardRunner) writeSlot(ctx context.Context, a fpclaim.WriteSlot) {
	revision, err := r.swapSlot(ctx, a)
	r.postResult(ctx, func(s *fpclaim.Shard) []fpclaim.Action {
		r.lastCallFailed = err != nil && !errors.Is(err, fpstore.ErrConflict)
		switch {
		case err == nil:
			return s.HandleSlotWritten(revision, time.Now())
		case errors.Is(err, fpstore.ErrConflict):
			return s.HandleWriteConflict(time.Now())
		default:
			return s.HandleWriteUnknown(time.Now())
		}
	})
}

func (r *shardRunner) swapSlot(ctx context.Context, a fpclaim.WriteSlot) (int64, error) {
	data, err := json.Marshal(a.Value)
	if err != nil {
		panic(errors.Wrap(err, "fpclaimant: slot cannot be encoded"))
	}
	t := fpstore.Transaction{
		Conditions: []fpstore.Condition{{Key: fpclaim.SlotKey(r.shardNumber, a.Slot), Revision: a.Expected}},
		Puts:       []fpstore.Put{{Key: fpclaim.SlotKey(r.shardNumber, a.Slot), Value: data}},
	}
	if a.PreviousExpected > 0 {
		t.Conditions = append(t.Conditions, fpstore.Condition{Key: fpclaim.SlotKey(r.shardNumber, a.Previous), Revision: a.PreviousExpected})
	}
	position, err := r.store.Commit(ctx, t)
	return position.Revision, err
}

func (r *shardRunner) postResult(ctx context.Context, handleResult func(*fpclaim.Shard) []fpclaim.Action) {
	select {
	case r.results <- handleResult:
	case <-ctx.Done():
	}
}
