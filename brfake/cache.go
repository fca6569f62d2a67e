package brfake

import "container/list"

// prefixCache is an LRU set of block hashes of limited size.
type prefixCache struct {
	limit int
	order *list.List // of uint64, most recently used first
	items map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), items: map[uint64]*list.Element{}}
}

// match returns the number of leading hashes that are cached and marks them as
// recently used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		el, ok := c.items[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(hashes)
}

// store adds hashes and returns the newly added and the evicted ones.
func (c *prefixCache) store(hashes []uint64) (added, evicted []uint64) {
	if c.limit <= 0 {
		return nil, nil
	}
	for _, h := range hashes {
		if el, ok := c.items[h]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.items[h] = c.order.PushFront(h)
		added = append(added, h)
	}
	for c.order.Len() > c.limit {
		el := c.order.Back()
		h := c.order.Remove(el).(uint64)
		delete(c.items, h)
		evicted = append(evicted, h)
	}
	return added, evicted
}
