package fpengine

import (
	"container/list"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

type (
	// cache keeps the blocks used last, up to a capacity.
	cache struct {
		capacity int
		order    *list.List
		nodes    map[fpprefix.Key]*list.Element
	}
)

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), nodes: make(map[fpprefix.Key]*list.Element)}
}

// match returns how many of the leading keys are cached, and uses them.
func (c *cache) match(keys []fpprefix.Key) int {
	n := c.peek(keys)
	c.use(keys[:n])
	return n
}

// use moves keys so that the first of them is evicted last.
func (c *cache) use(keys []fpprefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.nodes[keys[i]]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// peek returns how many of the leading keys are cached, without using them.
func (c *cache) peek(keys []fpprefix.Key) int {
	for i, k := range keys {
		if _, ok := c.nodes[k]; !ok {
			return i
		}
	}
	return len(keys)
}

// store adds a block and returns the blocks evicted for it.
func (c *cache) store(k fpprefix.Key) []fpprefix.Key {
	if e, ok := c.nodes[k]; ok {
		c.order.MoveToFront(e)
		return nil
	}
	c.nodes[k] = c.order.PushFront(k)
	var evicted []fpprefix.Key
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		old := last.Value.(fpprefix.Key)
		c.order.Remove(last)
		delete(c.nodes, old)
		evicted = append(evicted, old)
	}
	return evicted
}
