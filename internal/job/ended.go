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

// endedJobs is the index of the jobs that have ended. Their records lie in the
// storage: at 72,000 jobs a day and three days of retention, whole records would
// take more memory than a keeper may use.
type endedJobs struct {
	byKey  map[jobKey]endedJob
	expiry *btree.BTreeG[expiryKey]
	teams  []string // by number
	number map[string]uint32
}

// jobKey is an ID without its text form.
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

// idPrefix begins each job ID; the hexadecimal form of a key follows.
const idPrefix = "job-"

func (id ID) key() (key jobKey, ok bool) {
	digits, ours := strings.CutPrefix(string(id), idPrefix)
	if !ours || len(digits) != hex.EncodedLen(len(key)) {
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

// ofTeam gives the records of a team's jobs, in no order.
func (e *endedJobs) ofTeam(team string) []Ref {
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

// archive writes the record of a job that has just ended and frees its memory.
func (t *Table) archive(job *entry) {
	record := t.storage.AppendResult(codec.MustMarshal(job.stored()))
	t.results.add(record)
	delete(t.jobs, job.id)
	key, _ := job.id.key() // made by NewID, so it has one
	t.ended.insert(key, endedJob{record: record, expires: job.expires(), team: t.ended.teamNumber(job.spec.Team)})
}

// load reads an ended job.
func (t *Table) load(record Ref) *entry {
	var stored storedJob
	if err := codec.Unmarshal(t.storage.ReadRecord(record), &stored); err != nil {
		// The checksum held, so another program wrote it, or this one has a defect.
		panic(fmt.Sprintf("job: record of an ended job does not decode: %v", err))
	}
	return stored.entry()
}

// Expire cancels the jobs whose upload was given up, deletes those whose
// retention is over, and returns how many it deleted.
func (t *Table) Expire(now instant.Micros) int {
	for {
		oldest, found := t.uploads.Min()
		if !found || oldest.at > now {
			break
		}
		t.end(t.jobs[oldest.key.id()], StateCancelled, now)
	}
	t.giveUpOverdue(now)
	deleted := 0
	for {
		first, found := t.ended.expiry.Min()
		if !found || first.at > now {
			return deleted
		}
		t.ended.expiry.DeleteMin()
		t.forget(first.key)
		deleted++
	}
}

// Expired reports whether Expire would change anything.
func (t *Table) Expired(now instant.Micros) bool {
	first, found := t.ended.expiry.Min()
	oldest, uploading := t.uploads.Min()
	next, running := t.giveUps.Min()
	return found && first.at <= now || uploading && oldest.at <= now || running && next.at <= now
}

// forget gives up the records of an ended job.
func (t *Table) forget(key jobKey) {
	record := t.ended.byKey[key].record
	for segment, count := range t.load(record).used {
		t.results.subtract(segment, count)
	}
	t.results.remove(record)
	delete(t.ended.byKey, key)
}

// storedEnded is the encoded form of an endedJobs: one fixed-size record a job,
// as there are hundreds of thousands of them.
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
