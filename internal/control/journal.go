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

// journal keeps the replicas and gates that a control VM knows on its disk.
//
// When all processes of the system are stopped at once, the replicas run on; known
// again only by their next heartbeats, they would serve nothing for seconds. What
// is kept also says which of them leave: a replica that was told that it gets no
// more requests must get none after a restart either, so a change is on the disk
// before it is acknowledged.
type journal struct {
	path string
	log  *zap.Logger

	mu      sync.Mutex    // guards what follows
	writing bool          // a write is in progress
	next    chan struct{} // closes when the write after that one has ended; nil: none is wanted
	written uint64        // roster version on the disk; only the writer uses it
}

// journalFile is its name in the data folder.
const journalFile = "replicas"

// journalWait bounds how long an acknowledgement waits for the disk: one that has
// stalled must not keep replicas from leaving, and the other control VMs have
// heard of the change.
const journalWait = 300 * time.Millisecond

func newJournal(folder string, log *zap.Logger) *journal {
	return &journal{path: filepath.Join(folder, journalFile), log: log}
}

// kept is the content of the file.
type kept struct {
	Replicas []roster.ReplicaReport `cbor:"1,keyasint"`
	Gates    []roster.Gate          `cbor:"2,keyasint,omitempty"`
}

// load gives what was known; nothing if there is no file, or it is damaged:
// heartbeats bring it back.
func (j *journal) load() kept {
	data, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return kept{}
	}
	var found kept
	if err == nil {
		err = codec.Unmarshal(data, &found)
	}
	if err != nil {
		j.log.Warn("known replicas not read, their heartbeats bring them back", zap.Error(err))
		return kept{}
	}
	return found
}

// snapshot gives what is known now, and the roster version of it.
type snapshot func() (version uint64, known kept)

// save makes what is known now last. It returns when it does, or after
// journalWait. Calls that come while a write is in progress share the next one:
// when all replicas announce themselves at once, a write for each would write the
// whole list as many times.
func (j *journal) save(known snapshot) {
	done := j.request(known)
	timer := time.NewTimer(journalWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		j.log.Warn("the disk is slow, a change of replicas is acknowledged before it lasts")
	}
}

// request gives a channel that closes when a write has ended that began after
// this call.
func (j *journal) request(known snapshot) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next == nil {
		j.next = make(chan struct{})
	}
	if !j.writing {
		j.writing = true
		go j.writeAll(known)
	}
	return j.next
}

// writeAll writes until nobody waits for a write that has not begun.
func (j *journal) writeAll(known snapshot) {
	for {
		j.mu.Lock()
		done := j.next
		j.next = nil
		j.writing = done != nil
		j.mu.Unlock()
		if done == nil {
			return
		}
		j.write(known)
		close(done)
	}
}

func (j *journal) write(known snapshot) {
	version, content := known()
	if version <= j.written {
		return
	}
	if err := wal.ReplaceFile(j.path, codec.MustMarshal(content)); err != nil {
		j.log.Warn("known replicas not kept", zap.Uint64("version", version), zap.Error(err))
		return
	}
	j.written = version
}
