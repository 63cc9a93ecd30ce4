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
	// tickEvery is the pace at which a shard with waiting claims is driven.
	tickEvery = 2 * time.Millisecond
	// retryEvery is the pace after a failed call.
	retryEvery = 100 * time.Millisecond
)

type (
	// Settings sizes the claim log; the zero value takes the defaults.
	Settings struct {
		Shards int
		Shard  fpclaim.Settings
	}

	// Settled is the answer to a request for a claim.
	Settled struct {
		Verdict fpclaim.Verdict
		Holder  fpclaim.Claim
	}

	// Claimant settles claims through the platform's service.
	Claimant struct {
		store  fpstore.Store
		shards []*runner
		ended  chan struct{}
	}

	// runner drives one shard; only its goroutine touches the shard.
	runner struct {
		number  int
		store   fpstore.Store
		shard   *fpclaim.Shard
		wants   chan want
		results chan func(*fpclaim.Shard) []fpclaim.Action
		waiting map[waiter]chan Settled
		failing bool
	}

	waiter struct {
		key     fpclaim.Key
		attempt string
	}

	want struct {
		claim fpclaim.Claim
		until time.Time
		reply chan Settled
	}
)

// New returns a claimant whose batches carry name; run it with Run.
func New(name string, store fpstore.Store, s Settings) *Claimant {
	if s.Shards == 0 {
		s.Shards = fpclaim.DefaultShards
	}
	c := &Claimant{store: store, ended: make(chan struct{})}
	for i := range s.Shards {
		c.shards = append(c.shards, &runner{
			number:  i,
			store:   store,
			shard:   fpclaim.NewShard(name, s.Shard),
			wants:   make(chan want),
			results: make(chan func(*fpclaim.Shard) []fpclaim.Action),
			waiting: make(map[waiter]chan Settled),
		})
	}
	return c
}

// Run drives all shards until the context ends; it must be called once.
func (c *Claimant) Run(ctx context.Context) error {
	defer close(c.ended)
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

// Settle asks the platform for a claim, or gives one up when Released is set;
// the verdict is Unavailable when that could not be settled within wait.
func (c *Claimant) Settle(ctx context.Context, claim fpclaim.Claim, wait time.Duration) Settled {
	w := want{claim: claim, until: time.Now().Add(wait), reply: make(chan Settled, 1)}
	select {
	case c.shards[claim.Key.Shard(len(c.shards))].wants <- w:
	case <-ctx.Done():
		return Settled{Verdict: fpclaim.Unavailable}
	case <-c.ended:
		return Settled{Verdict: fpclaim.Unavailable}
	}
	select {
	case s := <-w.reply:
		return s
	case <-ctx.Done():
	case <-c.ended:
	}
	return Settled{Verdict: fpclaim.Unavailable}
}

func (r *runner) run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		var actions []fpclaim.Action
		select {
		case w := <-r.wants:
			actions = r.take(w)
		case result := <-r.results:
			actions = result(r.shard)
		case <-t.C:
			actions = r.shard.Tick(time.Now())
		case <-ctx.Done():
			return
		}
		r.do(ctx, actions)
		r.arm(t)
	}
}

func (r *runner) take(w want) []fpclaim.Action {
	r.waiting[waiter{key: w.claim.Key, attempt: w.claim.Attempt}] = w.reply
	return r.shard.Want(w.claim, time.Now(), w.until)
}

func (r *runner) arm(t *time.Timer) {
	switch {
	case !r.shard.Busy():
		t.Reset(time.Hour)
	case r.failing:
		t.Reset(retryEvery)
	default:
		t.Reset(tickEvery)
	}
}

func (r *runner) do(ctx context.Context, actions []fpclaim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fpclaim.Reply:
			r.reply(a)
		case fpclaim.ReadSlot:
			go r.read(ctx, a)
		case fpclaim.WriteSlot:
			go r.write(ctx, a)
		}
	}
}

func (r *runner) reply(a fpclaim.Reply) {
	w := waiter{key: a.Key, attempt: a.Attempt}
	if c, ok := r.waiting[w]; ok {
		delete(r.waiting, w)
		c <- Settled{Verdict: a.Verdict, Holder: a.Claim}
	}
}

// read reads a slot and hands the result to the shard's goroutine.
func (r *runner) read(ctx context.Context, a fpclaim.ReadSlot) {
	v, slot, err := r.slot(ctx, a.Slot)
	r.post(ctx, func(s *fpclaim.Shard) []fpclaim.Action {
		r.failing = err != nil
		if err != nil {
			return s.ReadFailed(time.Now())
		}
		return s.SlotRead(a.Slot, v.Revision, slot, time.Now())
	})
}

func (r *runner) slot(ctx context.Context, number int) (fpstore.Item, fpclaim.Slot, error) {
	var slot fpclaim.Slot
	v, err := fpstore.Read(ctx, r.store, fpclaim.SlotKey(r.number, number))
	if err != nil || v.Revision == 0 {
		return v, slot, err
	}
	return v, slot, errors.Wrap(json.Unmarshal(v.Value, &slot), "claim slot")
}

func (r *runner) write(ctx context.Context, a fpclaim.WriteSlot) {
	revision, err := r.swap(ctx, a)
	r.post(ctx, func(s *fpclaim.Shard) []fpclaim.Action {
		r.failing = err != nil && !errors.Is(err, fpstore.ErrConflict)
		switch {
		case err == nil:
			return s.Written(revision, time.Now())
		case errors.Is(err, fpstore.ErrConflict):
			return s.Conflict(time.Now())
		default:
			return s.WriteLost(time.Now())
		}
	})
}

func (r *runner) swap(ctx context.Context, a fpclaim.WriteSlot) (int64, error) {
	data, err := json.Marshal(a.Value)
	if err != nil {
		panic(errors.Wrap(err, "fpclaimant: slot cannot be encoded"))
	}
	return fpstore.Swap(ctx, r.store, fpclaim.SlotKey(r.number, a.Slot), a.Expected, data, 0)
}

func (r *runner) post(ctx context.Context, f func(*fpclaim.Shard) []fpclaim.Action) {
	select {
	case r.results <- f:
	case <-ctx.Done():
	}
}
