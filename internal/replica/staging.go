package replica

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/wal"
)

// staging is the receiving side of a group's snapshot transfers. It accepts one
// transfer at a time, into a folder that is ignored until the transfer is complete.
type staging struct {
	folder string

	mu         sync.Mutex
	transferID string
	sealed     bool // passed to the consensus node, not installed yet
}

var errStagingBusy = errors.New("another snapshot is being installed")

// writeChunk stores a chunk of the current transfer. A chunk with Begin starts a new
// transfer, which replaces an incomplete one.
func (s *staging) writeChunk(c *chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return errStagingBusy
	}
	if c.Begin {
		if err := errors.Join(os.RemoveAll(s.folder), os.MkdirAll(s.folder, 0o700)); err != nil {
			return err
		}
		s.transferID = c.Transfer
	}
	if c.Transfer != s.transferID {
		return fmt.Errorf("snapshot transfer %s was superseded by transfer %s", c.Transfer, s.transferID)
	}
	if c.Final != nil {
		return nil
	}
	if !validName(c.Name) || crc32.Checksum(c.Data, castagnoli) != c.Checksum {
		return fmt.Errorf("snapshot chunk of file %q at offset %d has an invalid name or checksum", c.Name, c.Offset)
	}
	file, err := os.OpenFile(filepath.Join(s.folder, c.Name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(c.Data, c.Offset)
	return errors.Join(err, file.Close())
}

// seal verifies that the files are complete and syncs them.
func (s *staging) seal(meta quorum.SnapshotMeta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := filepath.Join(s.folder, snapshotFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	stored, err := decodeSnapshot(path, data)
	if err != nil {
		return err
	}
	if stored.Meta.Index != meta.Index || stored.Meta.Term != meta.Term {
		return fmt.Errorf("received a snapshot at index %d, expected index %d", stored.Meta.Index, meta.Index)
	}
	if err := syncPath(path); err != nil {
		return err
	}
	for _, file := range stored.Files {
		if err := checkAndSyncFile(filepath.Join(s.folder, file.Name+fileSuffix), file); err != nil {
			return err
		}
	}
	s.sealed = true
	return wal.SyncFolder(s.folder)
}

func checkAndSyncFile(path string, file File) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if !validName(file.Name) || info.Size() != file.Length {
		return fmt.Errorf("snapshot file %q was received with %d of %d bytes", file.Name, info.Size(), file.Length)
	}
	return syncPath(path)
}

func syncPath(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// reset allows the next transfer to start.
func (s *staging) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = false
	s.transferID = ""
}

// moveTo moves the complete snapshot to the folder from which the store installs it.
func (s *staging) moveTo(install string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := os.Rename(s.folder, install); err != nil {
		return fmt.Errorf("move a received snapshot to the install folder: %w", err)
	}
	s.sealed = false
	s.transferID = ""
	return wal.SyncFolder(filepath.Dir(install))
}
