package fpengine

import (
	"container/list"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// blockCache is a least-recently-used cache of prefix blocks; capacity counts blocks.
	blockCache struct {
		capacity int
		recency  *list.List
		elements map[fpprefix.Key]*list.Element
	}
)

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, recency: list.New(), elements: make(map[fpprefix.Key]*list.Element)}
}

// matchPrefix returns how many leading keys are cached and marks these as recently used.
func (c *blockCache) matchPrefix(keys []fpprefix.Key) int {
	n := c.peekPrefix(keys)
	c.touch(keys[:n])
	return n
}

// touch marks cached keys as recently used. It goes backwards, so that the first block of a prefix
// is evicted last.
func (c *blockCache) touch(keys []fpprefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.elements[keys[i]]; ok {
			c.recency.MoveToFront(e)
		}
	}
}

// peekPrefix returns how many leading keys are cached, without changing their recency.
func (c *blockCache) peekPrefix(keys []fpprefix.Key) int {
	for i, k := range keys {
		if _, ok := c.elements[k]; !ok {
			return i
		}
	}
	return len(keys)
}

// insert adds a block, or marks it as recently used, and returns the blocks evicted for it.
func (c *blockCache) insert(k fpprefix.Key) []fpprefix.Key {
	if e, ok := c.elements[k]; ok {
		c.recency.MoveToFront(e)
		return nil
	}
	c.elements[k] = c.recency.PushFront(k)
	var evicted []fpprefix.Key
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		victim := oldest.Value.(fpprefix.Key)
		c.recency.Remove(oldest)
		delete(c.elements, victim)
		evicted = append(evicted, victim)
	}
	return evicted
}
