package job

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/google/btree"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/instant"
)

// endedJobs is the index of the jobs that have ended. Their records are in the
// storage: with 72,000 jobs per day and three days of retention, complete records
// would exceed a keeper's memory limit.
type endedJobs struct {
	byKey  map[jobKey]endedJob
	expiry *btree.BTreeG[expiryKey]
	teams  []string // by team number
	number map[string]uint32
}

// jobKey is the binary form of an ID.
type jobKey [16]byte

type endedJob struct {
	record  Ref
	expires instant.Micros
	team    uint32
}

type expiryKey struct {
	at  instant.Micros
	key jobKey
}

func (k expiryKey) less(other expiryKey) bool {
	if k.at != other.at {
		return k.at < other.at
	}
	return bytes.Compare(k.key[:], other.key[:]) < 0
}

func newEndedJobs() endedJobs {
	return endedJobs{
		byKey:  make(map[jobKey]endedJob),
		expiry: btree.NewG(btreeDegree, expiryKey.less),
		number: make(map[string]uint32),
	}
}

// idPrefix is the prefix of each job ID; the key in hexadecimal follows.
const idPrefix = "job-"

func (id ID) key() (key jobKey, ok bool) {
	digits, found := strings.CutPrefix(string(id), idPrefix)
	if !found || len(digits) != hex.EncodedLen(len(key)) {
		return key, false
	}
	_, err := hex.Decode(key[:], []byte(digits))
	return key, err == nil
}

func (k jobKey) id() ID { return ID(idPrefix + hex.EncodeToString(k[:])) }

func (e *endedJobs) find(id ID) (endedJob, bool) {
	key, ok := id.key()
	if !ok {
		return endedJob{}, false
	}
	ended, found := e.byKey[key]
	return ended, found
}

func (e *endedJobs) insert(key jobKey, ended endedJob) {
	e.byKey[key] = ended
	e.expiry.ReplaceOrInsert(expiryKey{at: ended.expires, key: key})
}

func (e *endedJobs) teamNumber(team string) uint32 {
	number, found := e.number[team]
	if !found {
		number = uint32(len(e.teams))
		e.teams = append(e.teams, team)
		e.number[team] = number
	}
	return number
}

// recordsOfTeam returns the records of a team's jobs in no particular order.
func (e *endedJobs) recordsOfTeam(team string) []Ref {
	number, found := e.number[team]
	if !found {
		return nil
	}
	var refs []Ref
	for _, ended := range e.byKey {
		if ended.team == number {
			refs = append(refs, ended.record)
		}
	}
	return refs
}

// archive writes the record of a job that has just ended and removes the job from
// memory.
func (t *Table) archive(job *entry) {
	record := t.storage.AppendResult(codec.MustMarshal(job.stored()))
	t.resultSegments.add(record)
	delete(t.jobs, job.id)
	key, _ := job.id.key() // IDs from NewID always have a key
	t.ended.insert(key, endedJob{record: record, expires: job.expires(), team: t.ended.teamNumber(job.spec.Team)})
}

// loadEnded reads an ended job from the storage.
func (t *Table) loadEnded(record Ref) *entry {
	var stored storedJob
	if err := codec.Unmarshal(t.storage.ReadRecord(record), &stored); err != nil {
		// The checksum was valid, so the record was written by another program or
		// there is a bug in this one.
		panic(fmt.Sprintf("job: cannot decode the record of an ended job: %v", err))
	}
	return stored.entry()
}

// Expire cancels the jobs whose upload has expired, ends the items whose give-up
// time has passed, and deletes the jobs whose retention has ended. It returns the
// number of deleted jobs.
func (t *Table) Expire(now instant.Micros) int {
	for {
		oldest, found := t.uploadExpiry.Min()
		if !found || oldest.at > now {
			break
		}
		t.end(t.jobs[oldest.key.id()], StateCancelled, now)
	}
	t.giveUpDueJobs(now)
	deleted := 0
	for {
		first, found := t.ended.expiry.Min()
		if !found || first.at > now {
			return deleted
		}
		t.ended.expiry.DeleteMin()
		t.deleteEnded(first.key)
		deleted++
	}
}

// Expired reports whether Expire would change anything.
func (t *Table) Expired(now instant.Micros) bool {
	first, found := t.ended.expiry.Min()
	oldest, uploading := t.uploadExpiry.Min()
	next, running := t.giveUps.Min()
	return found && first.at <= now || uploading && oldest.at <= now || running && next.at <= now
}

// deleteEnded removes an ended job and releases its records.
func (t *Table) deleteEnded(key jobKey) {
	record := t.ended.byKey[key].record
	for segment, count := range t.loadEnded(record).resultSegments {
		t.resultSegments.subtract(segment, count)
	}
	t.resultSegments.remove(record)
	delete(t.ended.byKey, key)
}

// storedEnded is the encoded form of endedJobs: one compact record of fixed size
// per job, as there are hundreds of thousands of jobs.
type storedEnded struct {
	Teams []string `cbor:"1,keyasint,omitempty"`
	Jobs  []byte   `cbor:"2,keyasint,omitempty"` // in order of expiry
}

const endedBytes = len(jobKey{}) + refBytes + 8 + 4 // key, record, expiry, team

func (e *endedJobs) stored() storedEnded {
	data := make([]byte, 0, len(e.byKey)*endedBytes)
	e.expiry.Ascend(func(at expiryKey) bool {
		ended := e.byKey[at.key]
		data = append(data, at.key[:]...)
		data = append(data, encodePage([]Ref{ended.record})...)
		data = binary.BigEndian.AppendUint64(data, uint64(ended.expires))
		data = binary.BigEndian.AppendUint32(data, ended.team)
		return true
	})
	return storedEnded{Teams: e.teams, Jobs: data}
}

func restoreEnded(stored storedEnded) endedJobs {
	e := newEndedJobs()
	for _, team := range stored.Teams {
		e.teamNumber(team)
	}
	for data := stored.Jobs; len(data) >= endedBytes; data = data[endedBytes:] {
		var key jobKey
		rest := data[copy(key[:], data):]
		e.insert(key, endedJob{
			record:  decodePage(rest[:refBytes])[0],
			expires: instant.Micros(binary.BigEndian.Uint64(rest[refBytes:])),
			team:    binary.BigEndian.Uint32(rest[refBytes+8:]),
		})
	}
	return e
}
