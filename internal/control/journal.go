package control

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/wal"
)

// journal persists the replicas and gates that a control VM knows. The replicas keep running
// when all processes of the system restart at once, and a control VM that learned of them
// only from their next heartbeats would route no requests to them for seconds. The file also
// records which replicas leave: a replica that was promised no more requests must get none
// after a restart either, so a change is written to disk before it is acknowledged.
type journal struct {
	path string
	log  *zap.Logger

	mu      sync.Mutex    // guards the fields below
	writing bool          // a write is in progress
	next    chan struct{} // closed when the write after the current one ends; nil if none is requested
	written uint64        // roster version on the disk; only the writer uses it
}

// journalFile is the name of the file in the data folder.
const journalFile = "replicas"

// journalWait bounds how long an acknowledgement waits for the disk. A stalled disk must
// not keep replicas from leaving, and the other control VMs are notified of the change
// as well.
const journalWait = 300 * time.Millisecond

func newJournal(folder string, log *zap.Logger) *journal {
	return &journal{path: filepath.Join(folder, journalFile), log: log}
}

// journalContent is the content of the file.
type journalContent struct {
	Replicas []roster.ReplicaReport `cbor:"1,keyasint"`
	Gates    []roster.Gate          `cbor:"2,keyasint,omitempty"`
}

// load reads the file. It returns empty content if the file does not exist or is damaged;
// the heartbeats of the replicas then restore the state.
func (j *journal) load() journalContent {
	data, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return journalContent{}
	}
	var content journalContent
	if err == nil {
		err = codec.Unmarshal(data, &content)
	}
	if err != nil {
		j.log.Warn("cannot read the file of known replicas, they return with their next heartbeats", zap.Error(err))
		return journalContent{}
	}
	return content
}

// snapshot returns the current state and its roster version.
type snapshot func() (version uint64, content journalContent)

// save writes the current state to disk and returns when it is written, or after
// journalWait. Calls during a write share the next one: when all replicas announce
// themselves at once, a separate write for each would write the full list as many times.
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
	version, content := current()
	if version <= j.written {
		return
	}
	if err := wal.ReplaceFile(j.path, codec.MustMarshal(content)); err != nil {
		j.log.Warn("cannot write the file of known replicas", zap.Uint64("version", version), zap.Error(err))
		return
	}
	j.written = version
}
