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

// CorruptError reports synced records that cannot be read. Opening the log without them
// would lose acknowledged changes, so Open fails.
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

// segment is a file of the log.
type segment struct {
	path  string
	first uint64 // sequence number of its first frame
	size  int64
	// last maps each group to its highest record index in the segment.
	last map[uint32]uint64
}

func (s *segment) recordIndexes(records []Record) {
	for _, record := range records {
		if !record.Latest {
			s.last[record.Group] = max(s.last[record.Group], record.Index)
		}
	}
}

// latestKey identifies the records that replace each other: those marked Latest with the
// same group and kind.
type latestKey struct {
	group uint32
	kind  Kind
}

func listSegments(folder string) ([]*segment, error) {
	names, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list the segments of the log: %w", err)
	}
	var segments []*segment
	for _, name := range names {
		digits, ok := strings.CutSuffix(name.Name(), segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("segment file name %s is not a hexadecimal number: %w", name.Name(), err)
		}
		segments = append(segments, &segment{
			path: filepath.Join(folder, name.Name()), first: first, last: map[uint32]uint64{},
		})
	}
	slices.SortFunc(segments, func(a, b *segment) int { return int(int64(a.first) - int64(b.first)) })
	return segments, nil
}

// recovery reads the segments in order and replays their records.
type recovery struct {
	next   uint64 // expected sequence number
	latest map[latestKey]Record
	replay func(Record) error
}

func (r *recovery) readAll(segments []*segment) error {
	for i, s := range segments {
		if i > 0 && s.first != r.next {
			return &CorruptError{Path: s.path, Detail: fmt.Sprintf("frames %d to %d before this segment are missing", r.next, s.first-1)}
		}
		r.next = s.first
		if err := r.readSegment(s, i == len(segments)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *recovery) readSegment(s *segment, newest bool) error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read the log: %w", err)
	}
	for s.size < int64(len(data)) {
		rest := data[s.size:]
		found, ok := decodeFrame(rest)
		if !ok {
			return r.truncateTail(s, rest, newest)
		}
		if found.sequence != r.next {
			return &CorruptError{Path: s.path, Offset: s.size, Detail: fmt.Sprintf("found frame %d where frame %d was expected", found.sequence, r.next)}
		}
		if err := r.replayFrame(s, found); err != nil {
			return err
		}
	}
	return nil
}

func (r *recovery) replayFrame(s *segment, found frame) error {
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
	s.recordIndexes(records)
	s.size += int64(found.size)
	r.next++
	return nil
}

// truncateTail handles bytes that are not a complete frame. A frame is written only after
// the one before it is synced, so a crash can tear only the last frame, whose records
// were not acknowledged: it is truncated. If a complete frame follows, the damage is in
// synced records, and truncating would lose acknowledged changes.
func (r *recovery) truncateTail(s *segment, rest []byte, newest bool) error {
	if !newest {
		return &CorruptError{Path: s.path, Offset: s.size, Detail: "a frame is unreadable and later segments exist"}
	}
	if findFrame(rest, r.next) {
		return &CorruptError{Path: s.path, Offset: s.size, Detail: "a frame is unreadable and complete frames follow it"}
	}
	if err := os.Truncate(s.path, s.size); err != nil {
		return fmt.Errorf("truncate a torn write at the end of the log: %w", err)
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

// SyncFolder syncs a folder, so that the creation, renaming and removal of files in it
// are durable.
func SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}
