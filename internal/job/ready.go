package job

import (
	"slices"

	"github.com/google/btree"

	"slateway.example/slateway/internal/instant"
)

// readyKey orders the jobs of a queue by deadline, then by creation.
type readyKey struct {
	deadline instant.Micros
	sequence uint64
	job      *entry
}

func (k readyKey) less(other readyKey) bool {
	if k.deadline != other.deadline {
		return k.deadline < other.deadline
	}
	return k.sequence < other.sequence
}

// overdueInterval makes every eighth lease request of a session serve overdue
// jobs first.
const overdueInterval = 8

// leaseOrder returns the jobs of a queue that have items to lease, earliest
// deadline first. Overdue jobs, whose deadline is not after earliestEnd, the
// expected end of an item leased now, come last, so that they do not delay the
// others past their deadlines. With overdueFirst they come first; otherwise an
// overdue job would never end under sustained load.
func (t *Table) leaseOrder(queue Queue, earliestEnd instant.Micros, overdueFirst bool) []*entry {
	var due, overdue []*entry
	tree := t.ready[queue]
	if tree == nil {
		return nil
	}
	from := readyKey{deadline: earliestEnd + 1}
	tree.AscendGreaterOrEqual(from, func(key readyKey) bool {
		due = append(due, key.job)
		return len(due) < maxJobsPerLease
	})
	tree.AscendLessThan(from, func(key readyKey) bool {
		overdue = append(overdue, key.job)
		return len(overdue) < maxJobsPerLease
	})
	if overdueFirst {
		return append(overdue, due...)
	}
	return append(due, overdue...)
}

// maxJobsPerLease limits how many jobs of each kind, due and overdue, one lease
// request considers per queue.
const maxJobsPerLease = 256

// Ready counts the items of a queue that can be leased now, up to limit.
func (t *Table) Ready(queue Queue, limit int) int {
	tree := t.ready[queue]
	if tree == nil {
		return 0
	}
	count := 0
	tree.Ascend(func(key readyKey) bool {
		count += int(key.job.items-key.job.next) + len(key.job.returned)
		return count < limit
	})
	return min(count, limit)
}

// ReadyQueues returns the queues with items that can be leased now, in order.
func (t *Table) ReadyQueues() []Queue {
	queues := make([]Queue, 0, len(t.ready))
	for queue := range t.ready {
		queues = append(queues, queue)
	}
	slices.SortFunc(queues, compareQueues)
	return queues
}

// HasWork reports whether Lease would find an item for one of the demands.
func (t *Table) HasWork(demands []QueueDemand) bool {
	for _, demand := range demands {
		if tree := t.ready[demand.Queue]; demand.Max > 0 && tree != nil && tree.Len() > 0 {
			return true
		}
	}
	return false
}

func (t *Table) setReady(job *entry) {
	tree := t.ready[job.spec.Queue]
	if tree == nil {
		tree = btree.NewG(btreeDegree, readyKey.less)
		t.ready[job.spec.Queue] = tree
	}
	tree.ReplaceOrInsert(job.readyKey())
}

func (t *Table) setUnready(job *entry) {
	tree := t.ready[job.spec.Queue]
	if tree == nil {
		return
	}
	tree.Delete(job.readyKey())
	if tree.Len() == 0 {
		delete(t.ready, job.spec.Queue)
	}
}

func (j *entry) readyKey() readyKey {
	return readyKey{deadline: j.deadline, sequence: j.sequence, job: j}
}
