package fpfollower

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	// watchTimeout bounds one watch; after it the slot of the current version is read again.
	watchTimeout = 20 * time.Second
	// retryInterval is the delay between attempts while the platform does not answer.
	retryInterval = time.Second
	// followCheckInterval is the interval at which a host that does not follow the store checks
	// whether it should.
	followCheckInterval = 100 * time.Millisecond
	// writeTimeout bounds writing a patch, including the retries after a lost response.
	writeTimeout = 6 * time.Second
	// writeRetryInterval is the delay before the slot is read again after a lost response.
	writeRetryInterval = 200 * time.Millisecond
	// maxVersionsPastSnapshot is how many versions the stored snapshot may lag; a patch beyond
	// that has to write a new snapshot first.
	maxVersionsPastSnapshot = fpconfig.PatchSlots - 2*fpconfig.SnapshotIntervalVersions
)

var (
	// ErrOutcomeUnknown means that a patch may have been accepted; retry it with the same ID to find
	// out.
	ErrOutcomeUnknown = errors.New("the patch's outcome is not known")
	// ErrPlatformUnavailable means that the platform's store did not answer; nothing was written.
	ErrPlatformUnavailable = errors.New("the platform's service is not available")
	// ErrStoreBehind means that the store holds an older configuration than the current one,
	// for instance because it was restored from a backup.
	ErrStoreBehind = errors.New("the store shows an older configuration than the one in force")
)

type (
	// Follower holds a host's copy of the configuration and advances it to newer versions.
	Follower struct {
		store           fpstore.Store
		onChange        func(fpconfig.Replica)
		mu              sync.Mutex
		replica         fpconfig.Replica
		loaded          bool
		snapshotVersion uint64
		warning         string
		// advanced is closed and replaced when a newer version is applied.
		advanced chan struct{}
		// patchLock serializes the writing of patches.
		patchLock chan struct{}
	}
)

// New returns a follower without a configuration; onChange is called, in order, with each
// version that is applied.
func New(store fpstore.Store, onChange func(fpconfig.Replica)) *Follower {
	return &Follower{
		store:     store,
		onChange:  onChange,
		advanced:  make(chan struct{}),
		patchLock: make(chan struct{}, 1),
	}
}

// Replica returns the current copy and whether any source has answered yet.
func (f *Follower) Replica() (fpconfig.Replica, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica, f.loaded
}

// StoreWarning returns a warning to operators about the configuration in the store, or the empty
// string.
func (f *Follower) StoreWarning() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.warning
}

// ApplyPatches applies patches and, where they leave a gap, a snapshot from another host. Versions
// that are not newer than the current one are ignored.
func (f *Follower) ApplyPatches(patches []fpconfig.Patch, snapshot *fpconfig.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot != nil {
		f.applyLocked(f.replica.WithSnapshot(*snapshot))
	}
	for _, p := range patches {
		f.applyLocked(f.replica.WithPatch(p))
	}
	f.markLoadedLocked()
}

// applyLocked makes r the current copy if result says that it is newer; f.mu must be held.
func (f *Follower) applyLocked(r fpconfig.Replica, result fpconfig.ApplyResult) {
	if result == fpconfig.Conflicting {
		f.warning = "a different patch was offered under a version in force"
	}
	if result != fpconfig.Advanced {
		return
	}
	f.replica = r
	close(f.advanced)
	f.advanced = make(chan struct{})
	f.markLoadedLocked()
	f.onChange(r)
}

func (f *Follower) markLoadedLocked() {
	if !f.loaded {
		f.loaded = true
		f.onChange(f.replica)
	}
}

// Load reads the configuration from the platform's store.
func (f *Follower) Load(ctx context.Context) error {
	if err := f.readSnapshot(ctx); err != nil {
		return err
	}
	if err := f.catchUp(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLoadedLocked()
	return nil
}

func (f *Follower) readSnapshot(ctx context.Context) error {
	v, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SnapshotKey())
	if err != nil {
		return errors.Mark(err, ErrPlatformUnavailable)
	}
	if v.Revision == 0 {
		return nil
	}
	var s fpconfig.Snapshot
	if err := json.Unmarshal(v.Value, &s); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotVersion = max(f.snapshotVersion, s.Version)
	f.applyLocked(f.replica.WithSnapshot(s))
	return nil
}

// catchUp applies the patches in the slots until one does not hold the next version.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		next := f.currentVersion() + 1
		p, _, err := f.readSlot(ctx, next)
		if err != nil {
			return err
		}
		if p.Version() > next {
			if err := f.readSnapshot(ctx); err != nil {
				return err
			}
			if f.currentVersion() < next {
				return errors.Newf("version %d is in no slot and in no snapshot", next)
			}
			continue
		}
		if p.ID == "" || p.Version() != next {
			return nil
		}
		f.ApplyPatches([]fpconfig.Patch{p}, nil)
		if f.currentVersion() < next {
			return errors.Newf("patch %s to version %d does not apply", p.ID, next)
		}
	}
}

func (f *Follower) currentVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Current().Version
}

// readSlot returns the patch in a version's slot and its revision, both zero if it is empty.
func (f *Follower) readSlot(ctx context.Context, version uint64) (fpconfig.Patch, int64, error) {
	v, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SlotKey(version))
	if err != nil {
		return fpconfig.Patch{}, 0, errors.Mark(err, ErrPlatformUnavailable)
	}
	return decodeSlot(v)
}

func decodeSlot(v fpstore.Item) (fpconfig.Patch, int64, error) {
	var p fpconfig.Patch
	if v.Revision == 0 {
		return p, 0, nil
	}
	err := json.Unmarshal(v.Value, &p)
	return p, v.Revision, errors.Wrap(err, "configuration slot")
}

// Follow watches the platform's store for new versions while shouldFollow returns true.
func (f *Follower) Follow(ctx context.Context, shouldFollow func() bool) error {
	for ctx.Err() == nil {
		if !shouldFollow() {
			fpclock.Sleep(ctx, followCheckInterval)
			continue
		}
		if err := f.followOnce(ctx); err != nil {
			fpclock.Sleep(ctx, retryInterval)
		}
	}
	return nil
}

// followOnce loads the newest version and waits for the one after it.
func (f *Follower) followOnce(ctx context.Context) error {
	if err := f.Load(ctx); err != nil {
		return err
	}
	f.updateWarning(ctx)
	f.mu.Lock()
	next := f.replica.Current().Version + 1
	advanced := f.advanced
	f.mu.Unlock()
	// The revision at which the slot was last written may be compacted already, so the watch
	// starts at the store's current revision.
	page, err := f.store.Range(ctx, fpconfig.SnapshotKey(), "")
	if err != nil {
		return errors.Mark(err, ErrPlatformUnavailable)
	}
	p, _, err := f.readSlot(ctx, next)
	if err != nil || p.Version() == next && p.ID != "" {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	go func() {
		select {
		case <-advanced:
			cancel()
		case <-ctx.Done():
		}
	}()
	items, _, err := f.store.Watch(ctx, fpconfig.SlotKey(next), page.Position.Revision, watchTimeout)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return errors.Mark(err, ErrPlatformUnavailable)
	}
	for _, i := range items {
		// The watch also returns other keys that have this one as a prefix.
		if i.Key != fpconfig.SlotKey(next) {
			continue
		}
		p, _, err := decodeSlot(i)
		if err != nil {
			return err
		}
		f.ApplyPatches([]fpconfig.Patch{p}, nil)
	}
	return nil
}

// updateWarning sets the warning if the store no longer holds the current version and clears
// it otherwise.
func (f *Follower) updateWarning(ctx context.Context) {
	behind, err := f.isStoreBehind(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warning = ""
	if behind {
		f.warning = ErrStoreBehind.Error()
	}
}

// isStoreBehind reports whether the store lacks the current version or holds another patch for it.
func (f *Follower) isStoreBehind(ctx context.Context) (bool, error) {
	r, _ := f.Replica()
	version := r.Current().Version
	if version == 0 {
		return false, nil
	}
	p, _, err := f.readSlot(ctx, version)
	if err != nil {
		return false, err
	}
	if p.Version() > version {
		return false, nil
	}
	own, retained := r.Patch(version)
	return p.Version() != version || retained && own.ID != p.ID, nil
}
