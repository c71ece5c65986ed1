package keeper

import (
	"fmt"
	"sync"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/job"
)

// maxCachedParts limits the decoded parts in memory, of at most 4 MB each. Each
// job from which items are being leased needs one.
const maxCachedParts = 8

// partCache is an LRU cache of decoded parts. Items of a part are leased one
// after the other, and decoding the part for each lease would dominate the cost
// of a lease.
type partCache struct {
	mu    sync.Mutex
	parts []cachedPart // most recently used first
}

type cachedPart struct {
	group uint32
	ref   job.Ref
	items []job.Item
}

func newPartCache() *partCache { return &partCache{} }

// item returns the request of a leased item.
func (c *partCache) item(machine *JobMachine, group uint32, leased job.Leased) (job.Item, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items, err := c.load(machine, group, leased.Part)
	if err != nil {
		return job.Item{}, err
	}
	if int(leased.Index) >= len(items) {
		return job.Item{}, fmt.Errorf("part of job %s has %d items, item %d is missing", leased.Job, len(items), leased.Index)
	}
	return items[leased.Index], nil
}

// part returns the items of a part. The caller must not modify them.
func (c *partCache) part(machine *JobMachine, group uint32, ref job.Ref) ([]job.Item, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load(machine, group, ref)
}

func (c *partCache) load(machine *JobMachine, group uint32, ref job.Ref) ([]job.Item, error) {
	for i, cached := range c.parts {
		if cached.group == group && cached.ref == ref {
			copy(c.parts[1:i+1], c.parts[:i])
			c.parts[0] = cached
			return cached.items, nil
		}
	}
	data, err := machine.files.read(partFiles, ref)
	if err != nil {
		return nil, err
	}
	var items []job.Item
	if err := codec.Unmarshal(data, &items); err != nil {
		return nil, err
	}
	c.parts = append([]cachedPart{{group: group, ref: ref, items: items}}, c.parts...)
	c.parts = c.parts[:min(len(c.parts), maxCachedParts)]
	return items, nil
}
