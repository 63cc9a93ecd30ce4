package fpconfig

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxDocumentBytes bounds a document, so that it fits in one value of the platform.
	MaxDocumentBytes = 1 << 20
	// PatchSlots is the number of keys that hold the latest patches in the platform's key-value
	// service.
	PatchSlots = 256
	// SnapshotIntervalVersions is the number of versions after which a new snapshot is due.
	SnapshotIntervalVersions = 32
)

var (
	// ErrStale is returned for a patch whose base is not the current version.
	ErrStale = errors.New("the patch's base is not the current version")
	// ErrInvalid is returned for a patch whose result is not a valid document.
	ErrInvalid = errors.New("the patched document is not valid")
)

type (
	// RemovedNames lists the entries that a patch removes.
	RemovedNames struct {
		Teams     []string `json:",omitempty"`
		Models    []string `json:",omitempty"`
		Services  []string `json:",omitempty"`
		Upstreams []string `json:",omitempty"`
	}

	// Patch changes the configuration from version Base to Base+1; by its ID
	// a resubmitted patch is recognised.
	Patch struct {
		ID     string
		Base   uint64
		Author string `json:",omitempty"`
		Set    Document
		Remove RemovedNames
	}

	// Versioned is a document with its version.
	Versioned struct {
		Version  uint64
		Document Document
	}
)

// SlotKey returns the platform key of the patch that produces version.
func SlotKey(version uint64) string {
	return "fescuepoint/config/slot/" + strconv.FormatUint(version%PatchSlots, 10)
}

// SnapshotKey returns the platform key of the latest snapshot.
func SnapshotKey() string { return "fescuepoint/config/snapshot" }

// Version returns the version that the patch produces.
func (p Patch) Version() uint64 { return p.Base + 1 }

// Apply returns the version that the patch produces from v; on ErrStale and
// ErrInvalid it returns v.
func (v Versioned) Apply(p Patch) (Versioned, error) {
	if p.Base != v.Version {
		return v, errors.Wrapf(ErrStale, "base %d, current %d", p.Base, v.Version)
	}
	d := Document{
		Teams:     merge(v.Document.Teams, p.Set.Teams, p.Remove.Teams),
		Models:    merge(v.Document.Models, p.Set.Models, p.Remove.Models),
		Services:  merge(v.Document.Services, p.Set.Services, p.Remove.Services),
		Upstreams: merge(v.Document.Upstreams, p.Set.Upstreams, p.Remove.Upstreams),
	}
	if err := d.Validate(); err != nil {
		return v, errors.Mark(errors.Wrap(err, "invalid document"), ErrInvalid)
	}
	if n := len(mustJSON(d)); n > MaxDocumentBytes {
		return v, errors.Wrapf(ErrInvalid, "document of %d bytes, limit %d", n, MaxDocumentBytes)
	}
	return Versioned{Version: v.Version + 1, Document: d}, nil
}

// Checksum returns a hash of the version and the document.
func (v Versioned) Checksum() uint64 { return xxhash.Sum64(mustJSON(v)) }

// merge returns the items, sorted by name, without the removed ones and with those
// in set added or replaced.
func merge[T named](items, set []T, remove []string) []T {
	out := make([]T, 0, len(items)+len(set))
	for _, it := range items {
		if !slices.Contains(remove, it.name()) && !containsName(set, it.name()) {
			out = append(out, it)
		}
	}
	out = append(out, set...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(a.name(), b.name()) })
	return out
}

func containsName[T named](items []T, name string) bool {
	return slices.ContainsFunc(items, func(v T) bool { return v.name() == name })
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "fpconfig: value cannot be encoded"))
	}
	return data
}
