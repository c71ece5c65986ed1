// Package wal implements a write-ahead log shared by several groups: one sync makes the
// records of all waiting appends durable. Frames are protected by checksums. Open
// truncates a torn last write and fails on any other damage.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// ErrClosed is returned by appends to a closed log. Their records were not written.
var ErrClosed = errors.New("wal: the log is closed")

// Options are the settings of a log; zero values take the defaults.
type Options struct {
	SegmentBytes int64 // size at which a new segment is started; default 16 MiB
	// MaxBatch limits the number of appends that share a sync; 0 is no limit. 1 gives
	// each append its own sync, for comparison in measurements.
	MaxBatch int
	// Create opens a new or existing segment for appending. Tests replace it to
	// make writes and syncs fail.
	Create func(path string) (File, error)
}

const (
	defaultSegmentBytes = 16 << 20
	// maxBatchBytes limits the size of a batch, to keep each frame and sync short.
	maxBatchBytes = 8 << 20
)

// File is a segment file opened for appending.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Log is an open log. Its methods may be called from any goroutine.
type Log struct {
	folder  string
	options Options

	mu       sync.Mutex
	wake     *sync.Cond
	queue    []*appendCall
	closed   bool
	failed   error
	segments []*segment
	released map[uint32]uint64

	// The following fields are used by the writing goroutine only.
	file   File
	next   uint64
	latest map[latestKey]Record
	done   chan struct{}
}

type appendCall struct {
	records []Record
	result  chan error
}

// Open reads the log in folder, passes its records in order to replay, and opens it for
// appends. It returns a *CorruptError if synced records are damaged.
func Open(folder string, options Options, replay func(Record) error) (*Log, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	if options.Create == nil {
		options.Create = createFile
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create the folder of the log: %w", err)
	}
	segments, err := listSegments(folder)
	if err != nil {
		return nil, err
	}
	r := &recovery{next: 1, latest: map[latestKey]Record{}, replay: replay}
	if err := r.readAll(segments); err != nil {
		return nil, err
	}
	l := &Log{
		folder: folder, options: options, segments: segments, next: r.next, latest: r.latest,
		released: map[uint32]uint64{}, done: make(chan struct{}),
	}
	l.wake = sync.NewCond(&l.mu)
	if err := l.openNewest(); err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

func (l *Log) openNewest() error {
	if len(l.segments) == 0 {
		return l.startSegment()
	}
	file, err := l.options.Create(l.segments[len(l.segments)-1].path)
	l.file = file
	return err
}

// startSegment creates a segment that starts with the next frame.
func (l *Log) startSegment() error {
	s := &segment{
		path: filepath.Join(l.folder, segmentName(l.next)), first: l.next, last: map[uint32]uint64{},
	}
	file, err := l.options.Create(s.path)
	if err != nil {
		return fmt.Errorf("create a segment: %w", err)
	}
	l.file = file
	l.mu.Lock()
	l.segments = append(l.segments, s)
	l.mu.Unlock()
	return SyncFolder(l.folder)
}

// Append writes records and returns when they are synced. Calls that arrive during a sync
// share the next one.
func (l *Log) Append(records []Record) error { return <-l.StartAppend(records) }

// StartAppend queues records, in the order of the calls, and returns a channel that
// receives the result once they are synced.
func (l *Log) StartAppend(records []Record) <-chan error {
	call := &appendCall{records: records, result: make(chan error, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.failed != nil:
		call.result <- l.failed
	case l.closed:
		call.result <- ErrClosed
	default:
		l.queue = append(l.queue, call)
		l.wake.Signal()
	}
	return call.result
}

func (l *Log) run() {
	defer close(l.done)
	for {
		batch := l.takeBatch()
		if batch == nil {
			return
		}
		err := l.write(batch)
		if err != nil {
			err = l.fail(err)
		}
		for _, call := range batch {
			call.result <- err
		}
	}
}

// takeBatch waits for appends and returns those for the next sync; nil after Close.
func (l *Log) takeBatch() []*appendCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 {
		if l.closed {
			return nil
		}
		l.wake.Wait()
	}
	count, size := 0, 0
	for _, call := range l.queue {
		for _, record := range call.records {
			size += len(record.Data)
		}
		if count > 0 && (size > maxBatchBytes || count == l.options.MaxBatch) {
			break
		}
		count++
	}
	batch := l.queue[:count:count]
	l.queue = l.queue[count:]
	return batch
}

func (l *Log) write(batch []*appendCall) error {
	current := l.newest()
	if current.size >= l.options.SegmentBytes {
		if err := l.file.Close(); err != nil {
			return err
		}
		if err := l.startSegment(); err != nil {
			return err
		}
		current = l.newest()
	}
	records := l.collectRecords(batch, current.size == 0)
	data, err := encodeFrame(l.next, records)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.next++
	l.mu.Lock()
	defer l.mu.Unlock()
	current.recordIndexes(records)
	current.size += int64(len(data))
	return nil
}

func (l *Log) newest() *segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments[len(l.segments)-1]
}

func (l *Log) collectRecords(batch []*appendCall, head bool) []Record {
	var records []Record
	if head {
		for _, record := range l.latest {
			records = append(records, record)
		}
	}
	for _, call := range batch {
		records = append(records, call.records...)
	}
	for _, record := range records {
		if record.Latest {
			l.latest[latestKey{record.Group, record.Kind}] = record
		}
	}
	return records
}

// fail makes all current and later appends fail. After a failed sync the kernel may have
// dropped the dirty pages and may report the next sync as a success, so a further append
// could acknowledge records that are not on the disk.
func (l *Log) fail(cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = fmt.Errorf("a write to the log in %s failed; it accepts no more appends until the log is opened again: %w", l.folder, cause)
	for _, call := range l.queue {
		call.result <- l.failed
	}
	l.queue = nil
	return l.failed
}

// Release records that group no longer needs its records up to index, and removes the
// oldest segments that no group needs.
func (l *Log) Release(group uint32, index uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released[group] = max(l.released[group], index)
	removed := false
	for len(l.segments) > 1 && l.unneeded(l.segments[0]) && l.segments[len(l.segments)-1].size > 0 {
		if err := os.Remove(l.segments[0].path); err != nil {
			return fmt.Errorf("remove a segment: %w", err)
		}
		l.segments = l.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return SyncFolder(l.folder)
}

func (l *Log) unneeded(s *segment) bool {
	for group, last := range s.last {
		if last > l.released[group] {
			return false
		}
	}
	return true
}

// Size returns the total size of the segments, a group that still needs the oldest one,
// and whether there are several segments.
func (l *Log) Size() (bytes int64, oldest uint32, several bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		bytes += s.size
	}
	for group, last := range l.segments[0].last {
		if last > l.released[group] {
			oldest = group
		}
	}
	return bytes, oldest, len(l.segments) > 1
}

// Close writes and syncs the queued appends and closes the log.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	l.wake.Signal()
	l.mu.Unlock()
	<-l.done
	return l.file.Close()
}
