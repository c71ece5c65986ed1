package replica

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/quorum"
	"slateway.example/slateway/internal/wal"
)

// Names of files and folders in the data folder.
const (
	lockFile    = "lock"
	diskFile    = "disk"
	initialFile = "initial"
	logFolder   = "log"
	groupFolder = "groups"
)

// diskRecord identifies a disk. It is created when a VM first starts on the disk.
type diskRecord struct {
	ID string `cbor:"1,keyasint"`
}

// initialRecord holds the membership that the groups were bootstrapped with. It is
// synced before the first vote.
type initialRecord struct {
	Groups     uint32            `cbor:"1,keyasint"`
	Membership quorum.Membership `cbor:"2,keyasint"`
}

// memberID derives the identity of a member from its VM and its disk. A blank disk
// gets a new disk ID and is therefore a different member. If it voted under the old
// identity, which has granted votes and acknowledged entries that the new disk does
// not hold, a committed change could be lost or two leaders elected in one term.
func memberID(vm, disk string) quorum.ID {
	id := quorum.ID(xxhash.Sum64String(vm + "\x00" + disk))
	if id == quorum.None {
		return 1
	}
	return id
}

// lockFolder prevents a second process from using the data folder until this process
// ends.
func lockFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create the data folder: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock the data folder: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process; stop it first: %w", folder, err)
	}
	return file, nil
}

// loadDisk reads the disk's ID, or creates one on a blank disk.
func loadDisk(folder string) (string, error) {
	path := filepath.Join(folder, diskFile)
	var record diskRecord
	found, err := readRecord(path, &record)
	if err != nil {
		return "", err
	}
	if found {
		return record.ID, nil
	}
	if _, err := os.Stat(filepath.Join(folder, logFolder)); err == nil {
		return "", fmt.Errorf("%s is missing although the data folder holds a log; empty the data folder and replace this member", path)
	}
	record.ID = uuid.NewString()
	return record.ID, writeRecord(path, record)
}

// readRecord decodes the file at path into record and reports whether the file exists.
func readRecord(path string, record any) (bool, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", path, err)
	}
	if err := codec.Unmarshal(data, record); err != nil {
		return false, fmt.Errorf("%s is damaged; empty the data folder and replace this member: %w", path, err)
	}
	return true, nil
}

// writeRecord replaces the file at path atomically: after a crash it holds either the
// complete old record or the complete new one.
func writeRecord(path string, record any) error {
	data, err := codec.Marshal(record)
	if err != nil {
		return err
	}
	return wal.ReplaceFile(path, data)
}
