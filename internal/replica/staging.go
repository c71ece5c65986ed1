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

// staging is the receiving side of a group's transfers: one at a time, into a
// folder that counts for nothing until it is whole.
type staging struct {
	folder string

	mu         sync.Mutex
	transferID string
	sealed     bool // handed to the decision, not installed yet
}

var errStagingBusy = errors.New("another snapshot is being installed")

func (s *staging) write(c *chunk) error {
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
		return fmt.Errorf("transfer %s was replaced by %s", c.Transfer, s.transferID)
	}
	if c.Final != nil {
		return nil
	}
	if !validName(c.Name) || crc32.Checksum(c.Data, castagnoli) != c.Checksum {
		return fmt.Errorf("chunk of %q at %d is damaged", c.Name, c.Offset)
	}
	file, err := os.OpenFile(filepath.Join(s.folder, c.Name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(c.Data, c.Offset)
	return errors.Join(err, file.Close())
}

// seal checks that the files are whole and syncs them.
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
		return fmt.Errorf("snapshot at %d arrived where %d was announced", stored.Meta.Index, meta.Index)
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
		return fmt.Errorf("file %q arrived with %d of %d bytes", file.Name, info.Size(), file.Length)
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

// reset lets the next transfer begin.
func (s *staging) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = false
	s.transferID = ""
}

// moveTo moves the whole snapshot to where the store installs it from.
func (s *staging) moveTo(install string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := os.Rename(s.folder, install); err != nil {
		return fmt.Errorf("hand over a snapshot: %w", err)
	}
	s.sealed = false
	s.transferID = ""
	return wal.SyncFolder(filepath.Dir(install))
}
