package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ReplaceFile replaces the content of the file at path atomically: after a crash the file
// has either the old or the new content.
func ReplaceFile(path string, data []byte) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return SyncFolder(filepath.Dir(path))
}
