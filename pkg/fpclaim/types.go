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
	// Unavailable means that there was no verdict by the deadline; the claim may still be written.
	Unavailable
	// Released means that the claim's holder released it.
	Released

	// DefaultShards is the number of shards of the log; all hosts must use the
	// same numbers of shards and slots.
	DefaultShards = 32
	// DefaultSlots is the number of slots of a shard.
	DefaultSlots = 16
	// DefaultWindow is the time during which a repeated request is recognised.
	DefaultWindow = 15 * time.Minute
	// DefaultDispatchTimeout bounds the time from requesting a claim to sending the first byte
	// upstream.
	DefaultDispatchTimeout = 5 * time.Second
	// MaxSlotBytes keeps a slot below the platform's limit on the size of a value.
	MaxSlotBytes = 900 << 10
	// minClaimBytes is the least size of an encoded claim.
	minClaimBytes = 160
)

type (
	// Verdict is the answer to a request for a claim.
	Verdict int

	// Key names a request: the hash of its team and request ID, in hexadecimal.
	Key string

	// Claim is the right of one attempt at one host to dispatch a request; At is
	// in Unix milliseconds.
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

	// Slot is the stored value of one slot: the claims of the batch with that
	// sequence number and those carried over from the slot's earlier batches.
	Slot struct {
		Sequence uint64
		Batch    string
		// Previous is the batch before this one, "" if its writer did not know it.
		Previous string `json:",omitempty"`
		Claims   []Claim
	}

	// Settings configures a shard; zero fields take their defaults.
	Settings struct {
		Slots  int
		Window time.Duration
		// Linger is how long a batch waits for more claims before it is written.
		Linger time.Duration
		// ReloadAfter is the age of the view beyond which the whole ring is read again.
		ReloadAfter time.Duration
	}

	// Action is what the caller of a shard has to do: a ReadSlot, a WriteSlot or a Reply.
	Action interface{ action() }

	// ReadSlot asks for the value of a slot; the result goes to HandleSlotRead or HandleReadFailed.
	ReadSlot struct{ Slot int }

	// WriteSlot asks for a compare-and-swap; the result goes to HandleSlotWritten,
	// HandleWriteConflict or HandleWriteUnknown.
	WriteSlot struct {
		Slot     int
		Expected int64
		Value    Slot
		// Previous is the slot of the batch before, which must still have the revision
		// PreviousExpected; 0 means that any will do.
		Previous         int
		PreviousExpected int64
	}

	// Reply is the verdict on one request for a claim; Claim is the holder's when
	// the verdict is Held.
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
	return Key(paddedHex(a) + paddedHex(b))
}

// Shard returns the shard that stores the key's claims.
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
	if s.ReloadAfter == 0 {
		s.ReloadAfter = s.Window / 4
	}
	return s
}

// claimedAt returns the time of the claim.
func (c Claim) claimedAt() time.Time { return time.UnixMilli(c.At) }

// sameAttempt reports whether both claims are of the same attempt at the same host.
func (c Claim) sameAttempt(o Claim) bool {
	return c.Key == o.Key && c.Attempt == o.Attempt && c.Host == o.Host && c.Incarnation == o.Incarnation
}

// paddedHex formats v as 16 hexadecimal digits.
func paddedHex(v uint64) string {
	s := strconv.FormatUint(v, 16)
	return "0000000000000000"[len(s):] + s
}
