package control

import (
	"cmp"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/origin"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/internal/wal"
)

// journal persists the replicas and gates that a control VM knows. The replicas keep running
// when all processes of the system restart at once, and a control VM that learned of them
// only from their next heartbeats would route no requests to them for seconds. The file also
// records which replicas leave: a replica that was promised no more requests must get none
// after a restart either, so a change is written to disk before it is acknowledged.
//
// The file begins with a whole state, in the form that builds without appended changes write
// and read. Frames with the changes since follow. The file is replaced by a new whole state
// when the frames have outgrown it, at the first write after a start, and after a failed
// write. A build without appended changes cannot read a file with frames; it then starts
// without known replicas instead of with an old state.
type journal struct {
	path string
	log  *zap.Logger
	// changes returns the changes after a version. It returns false if the whole state must
	// be written. Without changes, the whole state is written each time.
	changes func(since uint64) (version uint64, changes journalChanges, ok bool)
	count   func(counter string)

	mu      sync.Mutex    // guards the fields below
	writing bool          // a write is in progress
	next    chan struct{} // closed when the write after the current one ends; nil if none is requested

	// Only the writer uses the fields below.
	written  uint64   // roster version on the disk
	file     *os.File // open for appending; nil if the whole state is to be written next
	whole    int64    // bytes of the whole state
	appended int64    // bytes of the frames
}

// journalFile is the name of the file in the data folder.
const journalFile = "replicas"

// journalWait bounds how long an acknowledgement waits for the disk. A stalled disk must
// not keep replicas from leaving, and the other control VMs are notified of the change
// as well.
const journalWait = 300 * time.Millisecond

func newJournal(folder string, log *zap.Logger) *journal {
	return &journal{path: filepath.Join(folder, journalFile), log: log, count: func(string) {}}
}

// journalContent is the content of the file.
type journalContent struct {
	Replicas []roster.ReplicaReport `cbor:"1,keyasint"`
	Gates    []roster.Gate          `cbor:"2,keyasint,omitempty"`
	Builds   []origin.Past          `cbor:"3,keyasint,omitempty"`
}

// journalChanges is the content of a frame.
type journalChanges struct {
	Replicas  []roster.ReplicaReport `cbor:"1,keyasint,omitempty"`
	Gates     []roster.Gate          `cbor:"2,keyasint,omitempty"`
	Gone      []roster.Gone          `cbor:"3,keyasint,omitempty"`
	GatesGone []string               `cbor:"4,keyasint,omitempty"`
	Builds    []origin.Past          `cbor:"5,keyasint,omitempty"` // all that are remembered
}

// A frame consists of the payload's length, a CRC-32C over the length and the payload, and
// the payload. The header of a frame of zeros is invalid.
const frameHeaderBytes = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frameChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

func encodeFrame(payload []byte) []byte {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], frameChecksum(frame[:4], payload))
	return append(frame, payload...)
}

// decodeFrame returns the payload of the first frame and the bytes after it. It returns false
// if there is no complete and undamaged frame.
func decodeFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < frameHeaderBytes {
		return nil, nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if uint64(len(data)-frameHeaderBytes) < length {
		return nil, nil, false
	}
	payload, rest = data[frameHeaderBytes:][:length], data[frameHeaderBytes+length:]
	return payload, rest, frameChecksum(data[:4], payload) == binary.LittleEndian.Uint32(data[4:])
}

// load reads the file. It returns empty content if the file does not exist or its whole state
// is damaged; the heartbeats of the replicas then restore the state. An incomplete frame at
// the end, which a crash has left and which was not acknowledged, is ignored. The first write
// after a start replaces the file, so that nothing is ever appended to such a frame.
func (j *journal) load() journalContent {
	data, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return journalContent{}
	}
	var content journalContent
	var frames []byte
	if err == nil {
		frames, err = codec.UnmarshalFirst(data, &content)
	}
	if err != nil {
		j.log.Warn("cannot read the file of known replicas, they return with their next heartbeats", zap.Error(err))
		return journalContent{}
	}
	if len(frames) > 0 {
		j.replay(&content, frames)
	}
	return content
}

// replay applies the frames to the content.
func (j *journal) replay(content *journalContent, frames []byte) {
	replicas := make(map[upstream.ReplicaID]roster.ReplicaReport, len(content.Replicas))
	for _, report := range content.Replicas {
		replicas[report.Replica.Replica] = report
	}
	gates := make(map[string]roster.Gate, len(content.Gates))
	for _, gate := range content.Gates {
		gates[gate.VM] = gate
	}
	count := 0
	for ; len(frames) > 0; count++ {
		payload, rest, ok := decodeFrame(frames)
		var changes journalChanges
		if !ok || codec.Unmarshal(payload, &changes) != nil {
			j.log.Warn("the file of known replicas ends with an incomplete change, ignoring it", zap.Int("bytes", len(frames)), zap.Int("changes_read", count))
			break
		}
		for _, gone := range changes.Gone {
			delete(replicas, gone.Replica)
		}
		for _, report := range changes.Replicas {
			replicas[report.Replica.Replica] = report
		}
		content.Builds = append(content.Builds, changes.Builds...)
		for _, vm := range changes.GatesGone {
			delete(gates, vm)
		}
		for _, gate := range changes.Gates {
			gates[gate.VM] = gate
		}
		frames = rest
	}
	content.Replicas = slices.SortedFunc(maps.Values(replicas), func(a, b roster.ReplicaReport) int { return cmp.Compare(a.Replica.Replica, b.Replica.Replica) })
	content.Gates = slices.SortedFunc(maps.Values(gates), func(a, b roster.Gate) int { return cmp.Compare(a.VM, b.VM) })
}

// snapshot returns the current state and its roster version.
type snapshot func() (version uint64, content journalContent)

// save writes the changes up to now to disk and returns when they are written, or after
// journalWait. Calls during a write share the next one: when all replicas announce
// themselves at once, a separate write for each would sync the file as many times.
func (j *journal) save(current snapshot) {
	done := j.request(current)
	timer := time.NewTimer(journalWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		j.log.Warn("the disk is slow: acknowledging a change of replicas before it is written")
	}
}

// request requests a write that begins after this call. It returns a channel that closes
// when the write ends.
func (j *journal) request(current snapshot) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next == nil {
		j.next = make(chan struct{})
	}
	if !j.writing {
		j.writing = true
		go j.writeAll(current)
	}
	return j.next
}

// writeAll writes until no further write is requested.
func (j *journal) writeAll(current snapshot) {
	for {
		j.mu.Lock()
		done := j.next
		j.next = nil
		j.writing = done != nil
		j.mu.Unlock()
		if done == nil {
			return
		}
		j.write(current)
		close(done)
	}
}

func (j *journal) write(current snapshot) {
	if j.file != nil && j.changes != nil && j.append() {
		return
	}
	version, content := current()
	if version <= j.written {
		return
	}
	j.closeFile()
	data := codec.MustMarshal(content)
	if err := wal.ReplaceFile(j.path, data); err != nil {
		j.log.Warn("cannot write the file of known replicas", zap.Uint64("version", version), zap.Error(err))
		return
	}
	j.count("roster.journal_rewrites")
	j.written, j.whole, j.appended = version, int64(len(data)), 0
	if j.changes == nil {
		return
	}
	file, err := os.OpenFile(j.path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		j.log.Warn("cannot open the file of known replicas, the next change is written with all of them", zap.Error(err))
		return
	}
	j.file = file
}

// minAppendedBytes is the size that the frames may always reach before the file is replaced.
// While the first replicas join, the whole state is small.
const minAppendedBytes = 64 << 10

// append appends the changes since the last write. It reports whether nothing more is to be
// written.
func (j *journal) append() bool {
	version, changes, ok := j.changes(j.written)
	if version <= j.written {
		return true
	}
	if !ok {
		return false
	}
	frame := encodeFrame(codec.MustMarshal(changes))
	if j.appended+int64(len(frame)) > max(j.whole, minAppendedBytes) {
		return false
	}
	_, err := j.file.Write(frame)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		// The file may end with a part of the frame or with a frame that is not synced.
		j.log.Warn("cannot append to the file of known replicas, writing all of them", zap.Uint64("version", version), zap.Error(err))
		j.closeFile()
		return false
	}
	j.count("roster.journal_appends")
	j.written = version
	j.appended += int64(len(frame))
	return true
}

func (j *journal) closeFile() {
	if j.file != nil {
		_ = j.file.Close() // all that matters has been synced
		j.file = nil
	}
}
