package fpfollower

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

// Patch writes a patch and returns the version it led to. Refusals are
// fpconfig.ErrStale, fpconfig.ErrInvalid, ErrUnavailable and ErrStoreBehind;
// ErrUnknown means that the patch may have been accepted. A patch whose ID is
// among the latest ones is one patch, however often it is sent.
func (f *Follower) Patch(ctx context.Context, p fpconfig.Patch) (uint64, error) {
	select {
	case f.patching <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), ErrUnavailable)
	}
	defer func() { <-f.patching }()
	if err := f.Load(ctx); err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	r, _ := f.Replica()
	if v, ok := r.VersionOfPatch(p.ID); ok {
		return v, nil
	}
	if _, err := r.Current().Apply(p); err != nil {
		return 0, err
	}
	behind, err := f.storeBehind(ctx)
	if err != nil {
		return 0, err
	}
	if behind {
		return 0, ErrStoreBehind
	}
	if err := f.ensureSnapshot(ctx, r.Snapshot(), snapshotSlack); err != nil {
		return 0, err
	}
	if err := f.append(ctx, p); err != nil {
		return 0, err
	}
	f.Offer([]fpconfig.Patch{p}, nil)
	r, _ = f.Replica()
	_ = f.ensureSnapshot(ctx, r.Snapshot(), fpconfig.SnapshotIntervalVersions)
	return p.Version(), nil
}

// append puts the patch into its slot by compare-and-swap and settles lost answers.
func (f *Follower) append(ctx context.Context, p fpconfig.Patch) error {
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "fpfollower: patch cannot be encoded"))
	}
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for tried := false; ; tried = true {
		held, revision, err := f.slot(ctx, p.Version())
		switch {
		case err != nil && !tried:
			return err
		case err == nil && held.ID == p.ID:
			return nil
		case err == nil && held.ID != "" && held.Version() >= p.Version():
			return errors.Wrapf(fpconfig.ErrStale, "another patch led to version %d", held.Version())
		case err == nil:
			_, err = fpstore.CompareAndSwap(ctx, f.store, fpconfig.SlotKey(p.Version()), revision, data, 0)
			if err == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ErrUnknown, "patch %s", p.ID)
		}
		if !errors.Is(err, fpstore.ErrConflict) {
			fpclock.Sleep(ctx, settleEvery)
		}
	}
}

// ensureSnapshot writes a snapshot when the last one is more than slack versions old.
func (f *Follower) ensureSnapshot(ctx context.Context, v fpconfig.Snapshot, slack uint64) error {
	f.mu.Lock()
	last := f.snapshot
	f.mu.Unlock()
	if v.Version < last+slack {
		return nil
	}
	old, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SnapshotKey())
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	var kept fpconfig.Snapshot
	if old.Revision != 0 {
		if err := json.Unmarshal(old.Value, &kept); err != nil {
			return errors.Wrap(err, "snapshot")
		}
	}
	if kept.Version < v.Version {
		data, err := json.Marshal(v)
		if err != nil {
			panic(errors.Wrap(err, "fpfollower: snapshot cannot be encoded"))
		}
		if _, err := fpstore.CompareAndSwap(ctx, f.store, fpconfig.SnapshotKey(), old.Revision, data, 0); err != nil {
			return errors.Mark(err, ErrUnavailable)
		}
		kept = v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = max(f.snapshot, kept.Version)
	return nil
}
