package fpfollower

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

// WritePatch writes a patch to the store and returns the resulting version. It was not written if
// the error is fpconfig.ErrStale, fpconfig.ErrInvalid, ErrPlatformUnavailable or
// ErrStoreBehind; ErrOutcomeUnknown means that it may have been accepted. WritePatch is idempotent
// while the patch's ID is among the most recent ones.
func (f *Follower) WritePatch(ctx context.Context, p fpconfig.Patch) (uint64, error) {
	select {
	case f.patchLock <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), ErrPlatformUnavailable)
	}
	defer func() { <-f.patchLock }()
	if err := f.Load(ctx); err != nil {
		return 0, errors.Mark(err, ErrPlatformUnavailable)
	}
	r, _ := f.Replica()
	if v, ok := r.VersionOfPatch(p.ID); ok {
		return v, nil
	}
	if _, err := r.Current().Apply(p); err != nil {
		return 0, err
	}
	behind, err := f.isStoreBehind(ctx)
	if err != nil {
		return 0, err
	}
	if behind {
		return 0, ErrStoreBehind
	}
	if err := f.ensureSnapshot(ctx, r.Snapshot(), maxVersionsPastSnapshot); err != nil {
		return 0, err
	}
	if err := f.writeSlot(ctx, p); err != nil {
		return 0, err
	}
	f.ApplyPatches([]fpconfig.Patch{p}, nil)
	r, _ = f.Replica()
	_ = f.ensureSnapshot(ctx, r.Snapshot(), fpconfig.SnapshotIntervalVersions)
	return p.Version(), nil
}

// writeSlot writes the patch into its slot by compare-and-swap. After a lost response it reads
// the slot again to learn whether the write succeeded.
func (f *Follower) writeSlot(ctx context.Context, p fpconfig.Patch) error {
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "fpfollower: patch cannot be encoded"))
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for tried := false; ; tried = true {
		stored, revision, err := f.readSlot(ctx, p.Version())
		switch {
		case err != nil && !tried:
			return err
		case err == nil && stored.ID == p.ID:
			return nil
		case err == nil && stored.ID != "" && stored.Version() >= p.Version():
			return errors.Wrapf(fpconfig.ErrStale, "another patch led to version %d", stored.Version())
		case err == nil:
			_, err = fpstore.CompareAndSwap(ctx, f.store, fpconfig.SlotKey(p.Version()), revision, data, fpstore.LeaseID{})
			if err == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ErrOutcomeUnknown, "patch %s", p.ID)
		}
		if !errors.Is(err, fpstore.ErrConflict) {
			fpclock.Sleep(ctx, writeRetryInterval)
		}
	}
}

// ensureSnapshot stores snapshot s if the stored one is at least maxLag versions older.
func (f *Follower) ensureSnapshot(ctx context.Context, s fpconfig.Snapshot, maxLag uint64) error {
	f.mu.Lock()
	last := f.snapshotVersion
	f.mu.Unlock()
	if s.Version < last+maxLag {
		return nil
	}
	old, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SnapshotKey())
	if err != nil {
		return errors.Mark(err, ErrPlatformUnavailable)
	}
	var stored fpconfig.Snapshot
	if old.Revision != 0 {
		if err := json.Unmarshal(old.Value, &stored); err != nil {
			return errors.Wrap(err, "snapshot")
		}
	}
	if stored.Version < s.Version {
		data, err := json.Marshal(s)
		if err != nil {
			panic(errors.Wrap(err, "fpfollower: snapshot cannot be encoded"))
		}
		if _, err := fpstore.CompareAndSwap(ctx, f.store, fpconfig.SnapshotKey(), old.Revision, data, fpstore.LeaseID{}); err != nil {
			return errors.Mark(err, ErrPlatformUnavailable)
		}
		stored = s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotVersion = max(f.snapshotVersion, stored.Version)
	return nil
}
