// Package roster keeps the fleet state of one control VM: the replicas that announce
// themselves to any control VM and the gates that follow any control VM. Control VMs share
// the reports that they receive and send gates the changes.
//
// Package roster is a decision package: it receives the time as an argument and does no I/O.
package roster

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"slateway.example/slateway/internal/upstream"
)

// Config sets the timeouts of replicas and gates.
type Config struct {
	// ReplicaLifetime is the time without an announcement after which a replica is removed.
	// It may be long because gates detect dead replicas themselves, and replicas that only
	// lost their connection to the control VMs still serve.
	ReplicaLifetime time.Duration
	// GateLifetime is the time without a report after which a gate is no longer listed to
	// callers.
	GateLifetime time.Duration
}

// Gone identifies a removed replica up to an incarnation.
type Gone struct {
	Replica     upstream.ReplicaID `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
	Service     string             `cbor:"3,keyasint"`
}

type replicaRow struct {
	announcement  upstream.Announcement
	lastHeartbeat time.Time
	removed       bool // tombstone, kept so that followers receive the removal
	change
	bucket int
}

// changedRow is a *replicaRow or a *gateRow.
type changedRow interface {
	lastVersion() uint64
	// addTo adds the row to the changes after a version.
	addTo(changes *Changes, since uint64)
}

func (c *change) lastVersion() uint64 { return c.version }

// change is the last change of a row that gates must receive.
type change struct {
	version  uint64
	position *list.Element // in Table.changes
	// hash is the hash of the row's record as of the last change. counted reports whether
	// the digests contain it.
	hash    uint64
	counted bool
}

// Table is the roster of one control VM. It is not safe for concurrent use.
type Table struct {
	config   Config
	version  uint64
	replicas map[upstream.ReplicaID]*replicaRow
	// byAddress maps an address to the replica that holds it. Invariant: it contains exactly
	// the replicas whose rows are not removed.
	byAddress map[string]upstream.ReplicaID
	gates     map[string]*gateRow
	liveGates int // gates that are not expired
	// changes lists all rows as changedRow by ascending version of their last
	// change, so that the changes after a version are found without a scan of all rows.
	changes list.List
	digests digests
	builds  buildLog
}

// New creates an empty roster that knows nothing of the time before now.
func New(config Config, now time.Time) *Table {
	return &Table{
		config: config, replicas: make(map[upstream.ReplicaID]*replicaRow),
		byAddress: make(map[string]upstream.ReplicaID), gates: make(map[string]*gateRow),
		builds: newBuildLog(now),
	}
}

// Version increases with each change that gates must receive.
func (t *Table) Version() uint64 { return t.version }

// Verdict is the effect of an announcement.
type Verdict int

// Verdicts on an announcement.
const (
	Stale     Verdict = iota // outdated, or from a process that has ended: no change
	Refreshed                // the lifetime is extended; no change that gates must receive
	Changed                  // gates must receive a change
)

// Announce applies a valid announcement that was made age ago. Announcements arrive by
// several paths and out of order, and may come from an ended process whose address
// another process uses now. Those of one replica are ordered by incarnation, then by
// sequence; of two replicas with the same address, the higher incarnation holds it.
func (t *Table) Announce(now time.Time, a upstream.Announcement, age time.Duration) Verdict {
	if t.heldByLaterProcess(&a) {
		return Stale
	}
	row := t.replicas[a.Replica]
	switch {
	case row == nil:
		row = &replicaRow{bucket: bucketOf(a.Replica)}
		t.replicas[a.Replica] = row
	case !isNewer(&a, &row.announcement):
		return t.applyLateLeave(row, &a)
	case a.Incarnation == row.announcement.Incarnation && row.announcement.Leaving:
		a.Leaving = true // a process cannot revoke that it leaves
	}
	known, wasRemoved := row.announcement, row.removed
	t.releaseAddress(row)
	row.announcement, row.removed = a, false
	t.byAddress[a.Address] = a.Replica
	row.lastHeartbeat = now.Add(-age)
	t.builds.note(now, &a)
	if !wasRemoved && sameForGates(&known, &a) {
		return Refreshed
	}
	t.recordChange(row)
	return Changed
}

// recordChange gives a row whose record has changed the next version.
func (t *Table) recordChange(row *replicaRow) {
	hash := row.hash
	if !row.removed {
		hash = hashReplica(&row.announcement)
	}
	t.recordVersion(row, &row.change, row.bucket, hash, !row.removed)
}

func (t *Table) recordVersion(row changedRow, c *change, bucket int, hash uint64, listed bool) {
	if c.counted {
		t.digests.remove(bucket, c.hash)
	}
	c.hash, c.counted = hash, listed
	if listed {
		t.digests.add(bucket, hash)
	}
	t.version++
	c.version = t.version
	t.digests.history[t.version%digestHistory] = t.digests.total
	if c.position == nil {
		c.position = t.changes.PushBack(row)
	} else {
		t.changes.MoveToBack(c.position)
	}
}

// heldByLaterProcess reports whether a later process holds the address. If an earlier one
// holds it, that replica is removed.
func (t *Table) heldByLaterProcess(a *upstream.Announcement) bool {
	holder, held := t.byAddress[a.Address]
	if !held || holder == a.Replica {
		return false
	}
	other := t.replicas[holder]
	if other.announcement.Incarnation > a.Incarnation {
		return true
	}
	t.markRemoved(other)
	return false
}

// markRemoved turns the row into a tombstone.
func (t *Table) markRemoved(row *replicaRow) {
	t.releaseAddress(row)
	row.removed = true
	t.recordChange(row)
}

// releaseAddress removes the replica from byAddress if it holds its address.
func (t *Table) releaseAddress(row *replicaRow) {
	address := row.announcement.Address
	if t.byAddress[address] == row.announcement.Replica {
		delete(t.byAddress, address)
	}
}

func isNewer(a, known *upstream.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation > known.Incarnation
	}
	return a.Sequence > known.Sequence
}

// applyLateLeave applies only the leaving of an outdated announcement.
func (t *Table) applyLateLeave(row *replicaRow, a *upstream.Announcement) Verdict {
	if a.Incarnation != row.announcement.Incarnation || !a.Leaving || row.announcement.Leaving {
		return Stale
	}
	row.announcement.Leaving = true
	t.recordChange(row)
	return Changed
}

// sameForGates reports whether two announcements are equal except for sequence and load.
// hashReplica covers the same fields: a field that only one of them had would never reach
// the gates or would make digests differ forever.
func sameForGates(a, b *upstream.Announcement) bool {
	return a.Replica == b.Replica && a.Incarnation == b.Incarnation && a.Service == b.Service && a.Kind == b.Kind &&
		a.Address == b.Address && a.Place == b.Place && a.VM == b.VM && a.Slots == b.Slots && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		a.ChecksFencing == b.ChecksFencing && a.CanResume == b.CanResume && a.CanCancel == b.CanCancel && a.KVExport == b.KVExport &&
		a.Build == b.Build && slices.Equal(a.Models, b.Models)
}

// Leave records that a replica leaves; incarnation 0 means the current one. It returns the
// changed announcement for the other control VMs. ok is false if the replica is unknown, has
// another incarnation or is already leaving.
func (t *Table) Leave(id upstream.ReplicaID, incarnation uint64) (upstream.Announcement, bool) {
	row := t.replicas[id]
	if row == nil || row.announcement.Leaving || (incarnation != 0 && incarnation != row.announcement.Incarnation) {
		return upstream.Announcement{}, false
	}
	row.announcement.Leaving = true
	t.recordChange(row)
	return row.announcement, true
}

// tombstoneLifetimes is how long removed replicas and gates are kept, as a multiple of
// ReplicaLifetime, so that a late report of them is recognized as outdated.
const tombstoneLifetimes = 4

// Tick removes replicas and gates whose lifetime has passed.
func (t *Table) Tick(now time.Time) {
	t.refreshBuilds(now)
	for id, row := range t.replicas {
		idle := now.Sub(row.lastHeartbeat)
		switch {
		case idle > t.config.ReplicaLifetime && !row.removed:
			t.markRemoved(row)
		case idle > tombstoneLifetimes*t.config.ReplicaLifetime:
			t.changes.Remove(row.position)
			delete(t.replicas, id)
		}
	}
	for vm, row := range t.gates {
		idle := now.Sub(row.lastReport)
		switch {
		case idle > t.config.GateLifetime && !row.expired:
			row.expired = true
			t.recordGateChange(row)
		case idle > tombstoneLifetimes*t.config.ReplicaLifetime:
			t.changes.Remove(row.position)
			delete(t.gates, vm)
		}
	}
}

// Changes is a set of changes for a follower.
type Changes struct {
	Version  uint64                  `cbor:"1,keyasint"` // version from which to ask the next time
	Replicas []upstream.Announcement `cbor:"2,keyasint,omitempty"`
	Gone     []Gone                  `cbor:"3,keyasint,omitempty"`
	Gates    []Gate                  `cbor:"4,keyasint,omitempty"`
	HasGates bool                    `cbor:"5,keyasint,omitempty"` // Gates lists all live gates, otherwise only the changed ones
	// GatesGone lists the VMs of gates that are no longer alive.
	GatesGone []string `cbor:"6,keyasint,omitempty"`
}

// Since returns the changes after a version; 0 returns everything that is alive.
func (t *Table) Since(version uint64) Changes {
	changes := Changes{Version: t.version, HasGates: version == 0}
	for position := t.changes.Back(); position != nil; position = position.Prev() {
		row := position.Value.(changedRow)
		if row.lastVersion() <= version {
			break
		}
		row.addTo(&changes, version)
	}
	slices.SortFunc(changes.Replicas, func(a, b upstream.Announcement) int { return cmp.Compare(a.Replica, b.Replica) })
	slices.SortFunc(changes.Gates, compareVM)
	return changes
}

func (r *replicaRow) addTo(changes *Changes, since uint64) {
	a := &r.announcement
	switch {
	case !r.removed:
		changes.Replicas = append(changes.Replicas, *a)
	case since > 0:
		changes.Gone = append(changes.Gone, Gone{Replica: a.Replica, Incarnation: a.Incarnation, Service: a.Service})
	}
}

// ReplicaReport is a replica's announcement with its age, as shared between control VMs.
type ReplicaReport struct {
	Replica upstream.Announcement `cbor:"1,keyasint"`
	Age     time.Duration         `cbor:"2,keyasint"`
}

// AllReplicaReports returns the announcements of all live replicas with the age of their last
// heartbeat.
func (t *Table) AllReplicaReports(now time.Time) []ReplicaReport {
	return t.ReplicaReports(now, slices.Collect(maps.Keys(t.replicas)))
}

// ReplicaReports returns the announcements of those of the given replicas that are alive,
// sorted by ID, with the age of their last heartbeat.
func (t *Table) ReplicaReports(now time.Time, ids []upstream.ReplicaID) []ReplicaReport {
	var reports []ReplicaReport
	for _, id := range ids {
		if row := t.replicas[id]; row != nil && !row.removed {
			reports = append(reports, row.report(now))
		}
	}
	slices.SortFunc(reports, func(a, b ReplicaReport) int { return cmp.Compare(a.Replica.Replica, b.Replica.Replica) })
	return reports
}
