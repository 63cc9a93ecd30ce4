package fpclaim

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Granted means that the claim is held by the asking attempt.
	Granted Verdict = iota + 1
	// Held means that another attempt holds the claim.
	Held
	// Unavailable means that the claim could not be settled in time; it may still land.
	Unavailable
	// Released means that the claim was given up by its own holder.
	Released

	// DefaultShards and DefaultSlots are the layout of the log; every host must use the same.
	DefaultShards = 32
	// DefaultSlots is the number of slots of a shard.
	DefaultSlots = 16
	// DefaultWindow is the time in which a repeat is recognised.
	DefaultWindow = 15 * time.Minute
	// DefaultDispatch is the time from asking for a claim to the latest first byte.
	DefaultDispatch = 5 * time.Second
	// MaxSlotBytes keeps a slot under the size of the platform's values.
	MaxSlotBytes = 900 << 10
	// claimBytes is the least size of an encoded claim.
	claimBytes = 160
)

type (
	// Verdict is the answer to a request for a claim.
	Verdict int

	// Key names a request: the hash of its team and request ID, in hexadecimal.
	Key string

	// Claim says that one attempt of one host may dispatch a request; At is in Unix milliseconds.
	Claim struct {
		Key         Key
		Body        uint64
		Attempt     string
		Host        string
		Incarnation uint64
		At          int64
		Sequence    uint64
		Released    bool `json:",omitempty"`
	}

	// Slot is the stored value of one slot: the batch of that sequence number
	// and the claims carried over from the slot's former batches.
	Slot struct {
		Sequence uint64
		Batch    string
		Claims   []Claim
	}

	// Settings tunes a shard; the zero value takes the defaults.
	Settings struct {
		Slots  int
		Window time.Duration
		// Linger is the time that a batch waits for more claims.
		Linger time.Duration
		// Reload is the time without contact after which the whole ring is read again.
		Reload time.Duration
	}

	// Action is what the shell around a shard has to do: a ReadSlot, a WriteSlot or a Reply.
	Action interface{ action() }

	// ReadSlot asks for the value of a slot; answer with SlotRead or ReadFailed.
	ReadSlot struct{ Slot int }

	// WriteSlot asks for a compare-and-swap; answer with Written, Conflict or WriteLost.
	WriteSlot struct {
		Slot     int
		Expected int64
		Value    Slot
	}

	// Reply settles one request; Claim is the holder's when the verdict is Held.
	Reply struct {
		Attempt string
		Key     Key
		Verdict Verdict
		Claim   Claim
	}
)

func (ReadSlot) action()  {}
func (WriteSlot) action() {}
func (Reply) action()     {}

// NewKey returns the key of a team's request ID.
func NewKey(team, requestID string) Key {
	a := xxhash.Sum64String(team + "\x00" + requestID)
	b := xxhash.Sum64String(requestID + "\x00" + team + "\x00" + strconv.FormatUint(a, 16))
	return Key(pad(a) + pad(b))
}

// Shard returns the shard that keeps the key's claims.
func (k Key) Shard(shards int) int {
	return int(xxhash.Sum64String(string(k)) % uint64(shards))
}

// SlotKey returns the platform key of a slot.
func SlotKey(shard, slot int) string {
	return "fescuepoint/claim/" + strconv.Itoa(shard) + "/" + strconv.Itoa(slot)
}

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "Granted"
	case Held:
		return "Held"
	case Unavailable:
		return "Unavailable"
	case Released:
		return "Released"
	default:
		return "Invalid"
	}
}

// WithDefaults returns the settings with each zero field set to its default.
func (s Settings) WithDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Window == 0 {
		s.Window = DefaultWindow
	}
	if s.Reload == 0 {
		s.Reload = s.Window / 4
	}
	return s
}

// at returns the claim's time.
func (c Claim) at() time.Time { return time.UnixMilli(c.At) }

// same reports whether both are claims of one attempt at one host.
func (c Claim) same(o Claim) bool {
	return c.Key == o.Key && c.Attempt == o.Attempt && c.Host == o.Host && c.Incarnation == o.Incarnation
}

func pad(v uint64) string {
	s := strconv.FormatUint(v, 16)
	return "0000000000000000"[len(s):] + s
}
