// Package blob stores records in append-only segment files: the bodies, results and
// outcomes to which replicated state refers. Each record has a length and a checksum.
// Records are appended in the order of the replicated log, so the files are identical on
// all replicas, and written bytes never change.
package blob

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// DefaultSegmentBytes is the size at which a log starts a new segment.
const DefaultSegmentBytes = 64 << 20

const (
	headerBytes = 8       // length and checksum, 4 bytes each, big endian
	bufferBytes = 1 << 18 // buffered bytes at which the buffer is written to the file
	suffix      = ".blob"
)

// ErrCorrupt is returned for a record with a wrong checksum or length and for a segment
// file that is too short.
var ErrCorrupt = errors.New("blob: record is corrupt; replace this disk")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Ref is the location of a record.
type Ref struct {
	Segment uint32 // numbered from 1
	Length  uint32 // of the record's data in bytes
	Offset  uint64
}

// File is the name of a segment file with the length of its content.
type File struct {
	Name   string // relative to the log's folder
	Length int64
}

// Log is a sequence of segments. Append, Sync and Delete must be called from one goroutine
// at a time; Read may run concurrently.
type Log struct {
	folder       string
	prefix       string
	segmentBytes int64

	mu       sync.RWMutex
	segments map[uint32]*segment
	active   uint32 // number of the segment that receives appends
	buffer   []byte // end of the active segment that is not yet written to its file
	created  bool   // a file was created since the last Sync
}

type segment struct {
	file   *os.File
	length int64 // including bytes that are still in the buffer
	dirty  bool
}

// Open returns an empty log whose files in folder start with prefix. Restore loads
// existing files.
func Open(folder, prefix string, segmentBytes int64) *Log {
	return &Log{folder: folder, prefix: prefix, segmentBytes: segmentBytes, segments: make(map[uint32]*segment)}
}

// Restore makes the listed files the content of the log; files of other logs in the list
// are ignored. It truncates longer files and removes files of this log that are not
// listed: both hold records that the replicated log will append again.
func (l *Log) Restore(files []File) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
	listed := make(map[string]bool)
	for _, file := range files {
		number, ok := l.segmentNumber(file.Name)
		if !ok {
			continue
		}
		listed[file.Name] = true
		if err := l.restoreSegment(number, file); err != nil {
			return err
		}
	}
	return l.removeUnlisted(listed)
}

func (l *Log) restoreSegment(number uint32, listed File) error {
	file, err := os.OpenFile(filepath.Join(l.folder, listed.Name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("restore blob segment: %w", err)
	}
	info, err := file.Stat()
	if err == nil && info.Size() < listed.Length {
		err = fmt.Errorf("%s has %d bytes, expected at least %d: %w", listed.Name, info.Size(), listed.Length, ErrCorrupt)
	}
	if err == nil {
		err = file.Truncate(listed.Length)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("restore blob segment: %w", err), file.Close())
	}
	l.segments[number] = &segment{file: file, length: listed.Length, dirty: true}
	l.active = max(l.active, number)
	return nil
}

func (l *Log) removeUnlisted(listed map[string]bool) error {
	entries, err := os.ReadDir(l.folder)
	if err != nil {
		return fmt.Errorf("restore blob log: %w", err)
	}
	for _, entry := range entries {
		if _, ours := l.segmentNumber(entry.Name()); !ours || listed[entry.Name()] {
			continue
		}
		if err := os.Remove(filepath.Join(l.folder, entry.Name())); err != nil {
			return fmt.Errorf("restore blob log: %w", err)
		}
	}
	return nil
}

func (l *Log) name(number uint32) string { return fmt.Sprintf("%s-%08d%s", l.prefix, number, suffix) }

func (l *Log) segmentNumber(name string) (uint32, bool) {
	inner, ours := strings.CutPrefix(name, l.prefix+"-")
	digits, whole := strings.CutSuffix(inner, suffix)
	var number uint32
	if !ours || !whole {
		return 0, false
	}
	if _, err := fmt.Sscanf(digits, "%08d", &number); err != nil {
		return 0, false
	}
	return number, name == l.name(number)
}

// Append adds a record. The record is durable once Sync has returned.
func (l *Log) Append(data []byte) (Ref, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, err := l.activeSegment()
	if err != nil {
		return Ref{}, err
	}
	ref := Ref{Segment: l.active, Length: uint32(len(data)), Offset: uint64(current.length)}
	l.buffer = binary.BigEndian.AppendUint32(l.buffer, ref.Length)
	l.buffer = binary.BigEndian.AppendUint32(l.buffer, crc32.Checksum(data, crcTable))
	l.buffer = append(l.buffer, data...)
	current.length += int64(headerBytes + len(data))
	current.dirty = true
	if len(l.buffer) >= bufferBytes {
		return ref, l.flush()
	}
	return ref, nil
}

// activeSegment returns the segment for the next record. It creates a new one if the last
// is full.
func (l *Log) activeSegment() (*segment, error) {
	if current := l.segments[l.active]; current != nil && current.length < l.segmentBytes {
		return current, nil
	}
	if err := l.flush(); err != nil {
		return nil, err
	}
	number := l.active + 1
	file, err := os.OpenFile(filepath.Join(l.folder, l.name(number)), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("create blob segment: %w", err)
	}
	l.active = number
	l.segments[number] = &segment{file: file, dirty: true}
	l.created = true
	return l.segments[number], nil
}

// flush writes the buffer to the active segment's file.
func (l *Log) flush() error {
	if len(l.buffer) == 0 {
		return nil
	}
	current := l.segments[l.active]
	if _, err := current.file.WriteAt(l.buffer, current.length-int64(len(l.buffer))); err != nil {
		return fmt.Errorf("write blob segment: %w", err)
	}
	l.buffer = l.buffer[:0]
	return nil
}

// Read returns the data of a record.
func (l *Log) Read(ref Ref) ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	from, found := l.segments[ref.Segment]
	if !found {
		return nil, fmt.Errorf("read blob: segment %d of %s: %w", ref.Segment, l.prefix, os.ErrNotExist)
	}
	record := make([]byte, headerBytes+int(ref.Length))
	if err := l.readAt(from, ref, record); err != nil {
		return nil, fmt.Errorf("read blob: %w", err)
	}
	data := record[headerBytes:]
	if binary.BigEndian.Uint32(record) != ref.Length || binary.BigEndian.Uint32(record[4:]) != crc32.Checksum(data, crcTable) {
		return nil, fmt.Errorf("read blob: segment %d of %s at offset %d: %w", ref.Segment, l.prefix, ref.Offset, ErrCorrupt)
	}
	return data, nil
}

// readAt reads a record from the buffer or the file. Each record is completely in one of
// them, because it is added to the buffer, and flushed to the file, as a whole.
func (l *Log) readAt(from *segment, ref Ref, record []byte) error {
	if ref.Segment == l.active {
		written := uint64(from.length) - uint64(len(l.buffer))
		if ref.Offset >= written && ref.Offset-written+uint64(len(record)) <= uint64(len(l.buffer)) {
			copy(record, l.buffer[ref.Offset-written:])
			return nil
		}
	}
	_, err := from.file.ReadAt(record, int64(ref.Offset))
	return err
}

// Sync makes all records durable and returns the files with their lengths. Unused segments
// are neither synced nor returned.
func (l *Log) Sync(unused []uint32) ([]File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.flush(); err != nil {
		return nil, err
	}
	files := make([]File, 0, len(l.segments))
	for number, s := range l.segments {
		if slices.Contains(unused, number) {
			continue
		}
		if s.dirty {
			if err := s.file.Sync(); err != nil {
				return nil, fmt.Errorf("sync blob segment: %w", err)
			}
			s.dirty = false
		}
		files = append(files, File{Name: l.name(number), Length: s.length})
	}
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	if !l.created {
		return files, nil
	}
	if err := syncFolder(l.folder); err != nil {
		return nil, err
	}
	l.created = false
	return files, nil
}

// syncFolder makes new file names durable, which syncing the files does not.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("sync blob folder: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// FullSegments returns the numbers of the segments that receive no more appends, in
// ascending order.
func (l *Log) FullSegments() []uint32 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var full []uint32
	for number := range l.segments {
		if number != l.active {
			full = append(full, number)
		}
	}
	slices.Sort(full)
	return full
}

// Delete removes segments. It ignores the active one and those that do not exist.
func (l *Log) Delete(numbers []uint32) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		old, found := l.segments[number]
		if !found || number == l.active {
			continue
		}
		delete(l.segments, number)
		if err := errors.Join(old.file.Close(), os.Remove(filepath.Join(l.folder, l.name(number)))); err != nil {
			return fmt.Errorf("delete blob segment: %w", err)
		}
	}
	return nil
}

// Close closes the files without syncing them.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeAll()
}

func (l *Log) closeAll() error {
	var failures []error
	for _, s := range l.segments {
		failures = append(failures, s.file.Close())
	}
	l.segments = make(map[uint32]*segment)
	l.active, l.buffer = 0, nil
	return errors.Join(failures...)
}
