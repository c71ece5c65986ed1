package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"slateway.example/slateway/internal/codec"
)

// CorruptError says that records which were synced cannot be read. Leaving them
// out would un-acknowledge changes, so the log is not opened.
type CorruptError struct {
	Path   string
	Offset int64
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; replace this member (slatectl member replace) with an empty data folder",
		e.Path, e.Offset, e.Detail)
}

const segmentSuffix = ".wal"

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// segment is one file of the log.
type segment struct {
	path  string
	first uint64 // sequence number of its first frame
	size  int64
	// last holds, per group, the highest record index in the segment.
	last map[uint32]uint64
}

func (s *segment) note(records []Record) {
	for _, record := range records {
		if !record.Latest {
			s.last[record.Group] = max(s.last[record.Group], record.Index)
		}
	}
}

// latestKey names the newest of the records of one kind of a group.
type latestKey struct {
	group uint32
	kind  Kind
}

func listSegments(folder string) ([]*segment, error) {
	names, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list the log: %w", err)
	}
	var segments []*segment
	for _, name := range names {
		digits, ok := strings.CutSuffix(name.Name(), segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("segment name %s: %w", name.Name(), err)
		}
		segments = append(segments, &segment{
			path: filepath.Join(folder, name.Name()), first: first, last: map[uint32]uint64{},
		})
	}
	slices.SortFunc(segments, func(a, b *segment) int { return int(int64(a.first) - int64(b.first)) })
	return segments, nil
}

// recovery reads segments in order.
type recovery struct {
	next   uint64 // sequence number expected
	latest map[latestKey]Record
	replay func(Record) error
}

func (r *recovery) readAll(segments []*segment) error {
	for i, s := range segments {
		if i > 0 && s.first != r.next {
			return &CorruptError{Path: s.path, Detail: fmt.Sprintf("frames %d to %d are missing before it", r.next, s.first-1)}
		}
		r.next = s.first
		if err := r.read(s, i == len(segments)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *recovery) read(s *segment, newest bool) error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read the log: %w", err)
	}
	for s.size < int64(len(data)) {
		rest := data[s.size:]
		found, ok := decodeFrame(rest)
		if !ok {
			return r.cutTail(s, rest, newest)
		}
		if found.sequence != r.next {
			return &CorruptError{Path: s.path, Offset: s.size, Detail: fmt.Sprintf("frame %d stands where %d belongs", found.sequence, r.next)}
		}
		if err := r.take(s, found); err != nil {
			return err
		}
	}
	return nil
}

func (r *recovery) take(s *segment, found frame) error {
	var records []Record
	if err := codec.Unmarshal(found.payload, &records); err != nil {
		return &CorruptError{Path: s.path, Offset: s.size, Detail: err.Error()}
	}
	for _, record := range records {
		if record.Latest {
			r.latest[latestKey{record.Group, record.Kind}] = record
		}
		if err := r.replay(record); err != nil {
			return err
		}
	}
	s.note(records)
	s.size += int64(found.size)
	r.next++
	return nil
}

// cutTail decides about bytes that are no whole frame. A frame is written only
// after the one before it is synced, so a crash can tear only the very last
// one, which nobody was told of: it is cut off. If a whole frame follows, the
// damage lies in synced records, and cutting would lose acknowledged changes.
func (r *recovery) cutTail(s *segment, rest []byte, newest bool) error {
	if !newest {
		return &CorruptError{Path: s.path, Offset: s.size, Detail: "a frame is unreadable and later segments exist"}
	}
	if findFrame(rest, r.next) {
		return &CorruptError{Path: s.path, Offset: s.size, Detail: "a frame is unreadable and whole frames follow it"}
	}
	if err := os.Truncate(s.path, s.size); err != nil {
		return fmt.Errorf("cut a torn write off the log: %w", err)
	}
	return syncFile(s.path)
}

func syncFile(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	return errors.Join(file.Sync(), file.Close())
}

// SyncFolder makes the creation, renaming and removal of files in a folder last.
func SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}
