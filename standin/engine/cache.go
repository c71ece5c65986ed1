package engine

import "container/list"

// prefixCache is a set of prompt prefixes that evicts the least recently used one.
type prefixCache struct {
	limit    int
	hits     int64
	recent   *list.List // most recently used first
	elements map[string]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), elements: make(map[string]*list.Element)}
}

// lookupOrAdd reports whether the prefix is cached. If it is not, lookupOrAdd adds
// it. Either way it becomes the most recently used.
func (c *prefixCache) lookupOrAdd(prefix string) bool {
	if element, ok := c.elements[prefix]; ok {
		c.recent.MoveToFront(element)
		c.hits++
		return true
	}
	if c.limit < 1 {
		return false
	}
	if c.recent.Len() >= c.limit {
		oldest := c.recent.Back()
		c.recent.Remove(oldest)
		delete(c.elements, oldest.Value.(string))
	}
	c.elements[prefix] = c.recent.PushFront(prefix)
	return false
}
