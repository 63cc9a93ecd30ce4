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
	// watchFor bounds one watch; the slot in force is read again after it.
	watchFor = 20 * time.Second
	// retryEvery is the pace of calls to a platform that does not answer.
	retryEvery = time.Second
	// dutyEvery is the pace of asking whether this host is to follow.
	dutyEvery = 100 * time.Millisecond
	// settleFor bounds the time in which a lost answer is settled.
	settleFor = 6 * time.Second
	// settleEvery is the pace at which a lost answer is settled.
	settleEvery = 200 * time.Millisecond
	// snapshotSlack is the number of versions that may stand without a snapshot.
	snapshotSlack = fpconfig.PatchSlots - 2*fpconfig.SnapshotIntervalVersions
)

var (
	// ErrUnknown means that a patch may have been accepted; ask again with its ID.
	ErrUnknown = errors.New("the patch's outcome is not known")
	// ErrUnavailable means that the platform's service did not answer; nothing was written.
	ErrUnavailable = errors.New("the platform's service is not available")
	// ErrStoreBehind means that the store shows an older configuration than the one in force.
	ErrStoreBehind = errors.New("the store shows an older configuration than the one in force")
)

type (
	// Follower owns a host's copy of the configuration.
	Follower struct {
		store    fpstore.Store
		changed  func(fpconfig.Replica)
		mu       sync.Mutex
		replica  fpconfig.Replica
		loaded   bool
		snapshot uint64
		note     string
		moved    chan struct{}
		// patching is held by the one patch that is being written.
		patching chan struct{}
	}
)

// New returns a follower without a configuration; changed is called, in order,
// with each version that comes into force.
func New(store fpstore.Store, changed func(fpconfig.Replica)) *Follower {
	return &Follower{
		store:    store,
		changed:  changed,
		moved:    make(chan struct{}),
		patching: make(chan struct{}, 1),
	}
}

// Replica returns the copy in force, and whether any source has answered yet.
func (f *Follower) Replica() (fpconfig.Replica, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica, f.loaded
}

// Note returns what an operator should know of the store, or the empty string.
func (f *Follower) Note() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.note
}

// Offer takes in patches and, where they leave a gap, a snapshot from another host.
func (f *Follower) Offer(patches []fpconfig.Patch, snapshot *fpconfig.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot != nil {
		f.take(f.replica.WithSnapshot(*snapshot))
	}
	for _, p := range patches {
		f.take(f.replica.WithPatch(p))
	}
	f.markLoaded()
}

// take puts a higher version in force; the lock is held.
func (f *Follower) take(r fpconfig.Replica, v fpconfig.ApplyResult) {
	if v == fpconfig.Conflicting {
		f.note = "a different patch was offered under a version in force"
	}
	if v != fpconfig.Advanced {
		return
	}
	f.replica = r
	close(f.moved)
	f.moved = make(chan struct{})
	f.markLoaded()
	f.changed(r)
}

func (f *Follower) markLoaded() {
	if !f.loaded {
		f.loaded = true
		f.changed(f.replica)
	}
}

// Load reads the configuration from the platform's service.
func (f *Follower) Load(ctx context.Context) error {
	if err := f.readSnapshot(ctx); err != nil {
		return err
	}
	if err := f.catchUp(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLoaded()
	return nil
}

func (f *Follower) readSnapshot(ctx context.Context) error {
	v, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SnapshotKey())
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
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
	f.snapshot = max(f.snapshot, s.Version)
	f.take(f.replica.WithSnapshot(s))
	return nil
}

// catchUp reads slots until one does not hold the next version.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		next := f.version() + 1
		p, _, err := f.slot(ctx, next)
		if err != nil {
			return err
		}
		if p.Version() > next {
			if err := f.readSnapshot(ctx); err != nil {
				return err
			}
			if f.version() < next {
				return errors.Newf("version %d is in no slot and in no snapshot", next)
			}
			continue
		}
		if p.ID == "" || p.Version() != next {
			return nil
		}
		f.Offer([]fpconfig.Patch{p}, nil)
		if f.version() < next {
			return errors.Newf("patch %s to version %d does not apply", p.ID, next)
		}
	}
}

func (f *Follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Current().Version
}

// slot reads the slot of a version; an empty one is the zero patch.
func (f *Follower) slot(ctx context.Context, version uint64) (fpconfig.Patch, int64, error) {
	v, err := fpstore.GetOrZero(ctx, f.store, fpconfig.SlotKey(version))
	if err != nil {
		return fpconfig.Patch{}, 0, errors.Mark(err, ErrUnavailable)
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

// Follow watches the platform for new versions while duty says that this host should.
func (f *Follower) Follow(ctx context.Context, duty func() bool) error {
	for ctx.Err() == nil {
		if !duty() {
			fpclock.Sleep(ctx, dutyEvery)
			continue
		}
		if err := f.followOnce(ctx); err != nil {
			fpclock.Sleep(ctx, retryEvery)
		}
	}
	return nil
}

// followOnce reads on to the newest version and waits for the one after it.
func (f *Follower) followOnce(ctx context.Context) error {
	if err := f.Load(ctx); err != nil {
		return err
	}
	f.checkStore(ctx)
	f.mu.Lock()
	next := f.replica.Current().Version + 1
	moved := f.moved
	f.mu.Unlock()
	// The slot may have been written so long ago that its history is gone; what
	// comes after this revision is not.
	page, err := f.store.Range(ctx, fpconfig.SnapshotKey(), "")
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	p, _, err := f.slot(ctx, next)
	if err != nil || p.Version() == next && p.ID != "" {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchFor)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	items, _, err := f.store.Watch(ctx, fpconfig.SlotKey(next), page.Revision, watchFor)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return errors.Mark(err, ErrUnavailable)
	}
	for _, i := range items {
		// The watch also tells of keys that begin with this one.
		if i.Key != fpconfig.SlotKey(next) {
			continue
		}
		p, _, err := decodeSlot(i)
		if err != nil {
			return err
		}
		f.Offer([]fpconfig.Patch{p}, nil)
	}
	return nil
}

// checkStore notes when the store no longer shows the version in force.
func (f *Follower) checkStore(ctx context.Context) {
	behind, err := f.storeBehind(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note = ""
	if behind {
		f.note = ErrStoreBehind.Error()
	}
}

func (f *Follower) storeBehind(ctx context.Context) (bool, error) {
	r, _ := f.Replica()
	version := r.Current().Version
	if version == 0 {
		return false, nil
	}
	p, _, err := f.slot(ctx, version)
	if err != nil {
		return false, err
	}
	if p.Version() > version {
		return false, nil
	}
	mine, kept := r.Patch(version)
	return p.Version() != version || kept && mine.ID != p.ID, nil
}
