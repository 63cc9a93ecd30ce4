package fpprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the size of a cached block in tokens.
	BlockTokens = 1000
	// BytesPerToken is the number of bytes of text that count as one token.
	BytesPerToken = 4
	// BlockBytes is the size of a block in bytes of text.
	BlockBytes = BlockTokens * BytesPerToken
)

type (
	// Key identifies a prefix of one team, model, weights and adapter version.
	Key uint64

	// Seed holds what two requests must have in common to share cached entries.
	Seed struct {
		Team    string
		Model   string
		Weights string
		Adapter string
	}

	// Level is a prefix of a prompt that other prompts may share; Tokens is the prefix's length.
	Level struct {
		Key    Key
		Tokens int
	}

	// Prompt describes a prompt for placement: its length in tokens and its levels, shortest first.
	Prompt struct {
		Tokens int
		Levels []Level
	}
)

// Key returns the chain's first key; fields are length-prefixed so that different seeds with
// the same concatenation have different keys.
func (s Seed) Key() Key {
	d := xxhash.New()
	for _, f := range []string{s.Team, s.Model, s.Weights, s.Adapter} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(f)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(f)
	}
	return Key(d.Sum64())
}

// Next returns the key of the prefix k extended by block.
func (k Key) Next(block string) Key {
	d := xxhash.NewWithSeed(uint64(k))
	_, _ = d.WriteString(block)
	return Key(d.Sum64())
}

// EstimateTokens returns the estimated number of tokens in text by its length, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// BlockKeys returns the key of the prefix up to each whole block of text; a shorter remainder
// has no key.
func BlockKeys(s Seed, text string) []Key {
	keys := make([]Key, 0, len(text)/BlockBytes)
	k := s.Key()
	for len(text) >= BlockBytes {
		k = k.Next(text[:BlockBytes])
		keys = append(keys, k)
		text = text[BlockBytes:]
	}
	return keys
}

// NewPrompt returns the prompt of a text. Each of ends is an offset in bytes at which a level
// ends, rounded down to whole blocks; without any, every whole block is a level. Ends beyond
// the text count as its end; those that add no whole block to the level before are ignored.
func NewPrompt(s Seed, text string, ends []int) Prompt {
	p := Prompt{Tokens: EstimateTokens(text)}
	keys := BlockKeys(s, text)
	if len(ends) == 0 {
		p.Levels = blockLevels(keys)
		return p
	}
	last := 0
	for _, e := range ends {
		n := min(e/BlockBytes, len(keys))
		if n <= last {
			continue
		}
		p.Levels = append(p.Levels, Level{Key: keys[n-1], Tokens: n * BlockTokens})
		last = n
	}
	return p
}

func blockLevels(keys []Key) []Level {
	levels := make([]Level, 0, len(keys))
	for i, k := range keys {
		levels = append(levels, Level{Key: k, Tokens: (i + 1) * BlockTokens})
	}
	return levels
}
