package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/wal"
)

// Kinds of records in the shared log.
const (
	recordEntries wal.Kind = iota + 1
	recordHardState
	// recordReset marks that a snapshot from another member replaced the log: earlier
	// entries of the group are void.
	recordReset
)

// Names of files and folders in a group's folder.
const (
	filesFolder    = "files"    // files of the state machine
	incomingFolder = "incoming" // a snapshot that is being received
	installFolder  = "install"  // a complete snapshot that is not installed yet
	snapshotFile   = "snapshot"
)

const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// storedSnapshot is the content of a snapshot file.
type storedSnapshot struct {
	Meta  quorum.SnapshotMeta `cbor:"1,keyasint"`
	State []byte              `cbor:"2,keyasint"`
	Files []File              `cbor:"3,keyasint"`
}

func (s storedSnapshot) encode() ([]byte, error) {
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli)), nil
}

func decodeSnapshot(path string, data []byte) (storedSnapshot, error) {
	var stored storedSnapshot
	body := len(data) - checksumSize
	if body < 0 || crc32.Checksum(data[:body], castagnoli) != binary.LittleEndian.Uint32(data[body:]) {
		return stored, fmt.Errorf("snapshot %s is damaged; empty the data folder and replace this member", path)
	}
	return stored, codec.Unmarshal(data[:body], &stored)
}

// store holds the files of a group outside the shared log.
type store struct {
	folder string
}

func openStore(folder string) (*store, error) {
	s := &store{folder: folder}
	if err := os.MkdirAll(s.path(filesFolder), 0o700); err != nil {
		return nil, fmt.Errorf("create the folder of a group: %w", err)
	}
	if err := os.RemoveAll(s.path(incomingFolder)); err != nil {
		return nil, fmt.Errorf("remove an incomplete snapshot: %w", err)
	}
	return s, s.finishInstall()
}

func (s *store) path(names ...string) string {
	return filepath.Join(append([]string{s.folder}, names...)...)
}

// load returns the newest snapshot, or the zero value if there is none.
func (s *store) load() (storedSnapshot, error) {
	path := s.path(snapshotFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return storedSnapshot{}, nil
	}
	if err != nil {
		return storedSnapshot{}, fmt.Errorf("read a snapshot: %w", err)
	}
	return decodeSnapshot(path, data)
}

// save replaces the snapshot. The files of the state machine must be synced already.
func (s *store) save(stored storedSnapshot) (bytes int, err error) {
	data, err := stored.encode()
	if err != nil {
		return 0, err
	}
	return len(data), wal.ReplaceFile(s.path(snapshotFile), data)
}

// truncateFiles restores the state machine's files to the lengths that a snapshot
// states. Later appends are removed because the replay of the log repeats them.
func (s *store) truncateFiles(files []File) error {
	present, err := os.ReadDir(s.path(filesFolder))
	if err != nil {
		return fmt.Errorf("list the files of a state machine: %w", err)
	}
	for _, item := range present {
		listed := slices.ContainsFunc(files, func(f File) bool { return f.Name == item.Name() })
		if listed {
			continue
		}
		if err := os.RemoveAll(s.path(filesFolder, item.Name())); err != nil {
			return fmt.Errorf("remove a file newer than the snapshot: %w", err)
		}
	}
	for _, file := range files {
		if err := s.truncateFile(file); err != nil {
			return err
		}
	}
	return wal.SyncFolder(s.path(filesFolder))
}

func (s *store) truncateFile(file File) error {
	path := s.path(filesFolder, file.Name)
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("a file of the snapshot is missing; empty the data folder and replace this member: %w", err)
	}
	if info.Size() < file.Length {
		return fmt.Errorf("%s has %d of the %d bytes that the snapshot states; empty the data folder and replace this member", path, info.Size(), file.Length)
	}
	if err := os.Truncate(path, file.Length); err != nil {
		return fmt.Errorf("truncate %s: %w", path, err)
	}
	return nil
}

// finishInstall installs a snapshot that was received completely. Every step is
// idempotent, so the next start completes an installation that a crash interrupted.
func (s *store) finishInstall() error {
	install := s.path(installFolder)
	data, err := os.ReadFile(filepath.Join(install, snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return removeFolder(install)
	}
	if err != nil {
		return fmt.Errorf("read a received snapshot: %w", err)
	}
	stored, err := decodeSnapshot(install, data)
	if err != nil {
		return err
	}
	for _, file := range stored.Files {
		err := os.Rename(filepath.Join(install, file.Name+fileSuffix), s.path(filesFolder, file.Name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("install a snapshot's file: %w", err)
		}
	}
	if err := s.truncateFiles(stored.Files); err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(install, snapshotFile), s.path(snapshotFile)); err != nil {
		return fmt.Errorf("install a snapshot: %w", err)
	}
	if err := wal.SyncFolder(s.folder); err != nil {
		return err
	}
	return removeFolder(install)
}

// fileSuffix keeps the names of the state machine's files apart from those of the
// snapshot's own files.
const fileSuffix = ".file"

func removeFolder(path string) error {
	if err := os.RemoveAll(path); err != nil {
		return fmt.Errorf("remove %s: %w", path, err)
	}
	return nil
}

// validName reports whether a file name in a snapshot stays inside its folder.
func validName(name string) bool {
	return name != "" && name != "." && name != ".." && !strings.ContainsAny(name, "/\\\x00")
}

// recoveredLog collects a group's records while the shared log is read.
type recoveredLog struct {
	state   quorum.HardState
	entries []quorum.Entry
}

func (r *recoveredLog) addRecord(record wal.Record) error {
	switch record.Kind {
	case recordHardState:
		return codec.Unmarshal(record.Data, &r.state)
	case recordReset:
		r.entries = nil
		return nil
	}
	var entries []quorum.Entry
	if err := codec.Unmarshal(record.Data, &entries); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	// A later write at the same index replaced the rest of the log.
	first := entries[0].Index
	for len(r.entries) > 0 && r.entries[len(r.entries)-1].Index >= first {
		r.entries = r.entries[:len(r.entries)-1]
	}
	r.entries = append(r.entries, entries...)
	return nil
}

// entriesAfter returns the entries that follow a snapshot. It returns none if the log
// holds an entry of another term at the snapshot's index: the snapshot came from
// another member, and a crash happened between its installation and the record that
// voids the log.
func (r *recoveredLog) entriesAfter(meta quorum.SnapshotMeta) []quorum.Entry {
	for i, entry := range r.entries {
		if entry.Index == meta.Index && entry.Term != meta.Term {
			return nil
		}
		if entry.Index > meta.Index {
			return r.entries[i:]
		}
	}
	return nil
}
