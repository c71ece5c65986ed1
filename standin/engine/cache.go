package engine

import "container/list"

// prefixCache is a set of prompt prefixes with the least recently used out
// first.
type prefixCache struct {
	limit    int
	hits     int64
	recent   *list.List // most recent first
	elements map[string]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), elements: make(map[string]*list.Element)}
}

// use says whether the prefix was cached, and caches it.
func (c *prefixCache) use(prefix string) bool {
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
