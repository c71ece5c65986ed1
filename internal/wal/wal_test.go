package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

func openTest(t testing.TB, folder string, options Options) (*Log, []Record, error) {
	t.Helper()
	var found []Record
	l, err := Open(folder, options, func(r Record) error {
		found = append(found, r)
		return nil
	})
	return l, found, err
}

func mustOpen(t testing.TB, folder string, options Options) (*Log, []Record) {
	t.Helper()
	l, found, err := openTest(t, folder, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, found
}

func entry(index uint64) Record {
	return Record{Group: 1, Kind: 1, Index: index, Data: fmt.Appendf(nil, "entry %d", index)}
}

// write appends the entries 1 to count, each with its own sync.
func write(t testing.TB, l *Log, count uint64) {
	t.Helper()
	for i := uint64(1); i <= count; i++ {
		if err := l.Append([]Record{entry(i)}); err != nil {
			t.Fatal(err)
		}
	}
}

func newestFile(t testing.TB, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	return files[len(files)-1]
}

// After a power loss during a write, the file ends at any byte of a partial frame. Open
// must return all synced records and none of the torn frame, and the log must accept
// further records.
func TestTornTailIsCut(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, Options{})
	write(t, l, 2)
	two, _, _ := l.Size()
	write(t, l, 1)
	_ = l.Close()
	whole, err := os.ReadFile(newestFile(t, folder))
	if err != nil {
		t.Fatal(err)
	}
	for cut := int(two); cut < len(whole); cut++ {
		torn := t.TempDir()
		path := filepath.Join(torn, filepath.Base(newestFile(t, folder)))
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		l, found := mustOpen(t, torn, Options{})
		if len(found) != 2 {
			t.Fatalf("truncated at byte %d of %d: found %d records, want 2", cut, len(whole), len(found))
		}
		if err := l.Append([]Record{entry(9)}); err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if _, found := mustOpen(t, torn, Options{}); len(found) != 3 || found[2].Index != 9 {
			t.Fatalf("truncated at byte %d: found %v after another append", cut, found)
		}
	}
}

// A disk damages a byte of a record that was synced and acknowledged. Truncating the log
// there would lose every change after it, so Open must fail with a CorruptError.
func TestCorruptMiddleIsRefused(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, Options{})
	write(t, l, 1)
	one, _, _ := l.Size()
	write(t, l, 2)
	_ = l.Close()
	path := newestFile(t, folder)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range int(one) {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0xff
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := openTest(t, folder, Options{})
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("byte %d damaged: got error %v, want a CorruptError", at, err)
		}
	}
}

func TestMissingSegmentIsRefused(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, Options{SegmentBytes: 1})
	write(t, l, 4)
	_ = l.Close()
	files, _ := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err := os.Remove(files[1]); err != nil {
		t.Fatal(err)
	}
	_, _, err := openTest(t, folder, Options{})
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Fatal("error", err)
	}
}

func TestReleaseKeepsLatest(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, Options{SegmentBytes: 1})
	state := Record{Group: 1, Kind: 2, Latest: true, Data: []byte("state")}
	if err := l.Append([]Record{state}); err != nil {
		t.Fatal(err)
	}
	write(t, l, 10)
	if err := l.Release(1, 8); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, found := mustOpen(t, folder, Options{})
	indexes := map[uint64]int{}
	for _, r := range found {
		indexes[r.Index]++
	}
	if indexes[0] == 0 || indexes[8] != 0 || indexes[9] != 1 || indexes[10] != 1 {
		t.Errorf("records by index %v", indexes)
	}
}

// failingFile is a File whose Sync fails while fail is true.
type failingFile struct {
	File
	fail *bool
}

func (f failingFile) Sync() error {
	if *f.fail {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// After a failed sync the next one may succeed although the kernel has dropped the dirty
// pages. Records acknowledged after that may not be on the disk, so the log must reject
// further appends.
func TestSyncErrorIsFinal(t *testing.T) {
	fail := false
	l, _ := mustOpen(t, t.TempDir(), Options{Create: func(path string) (File, error) {
		file, err := createFile(path)
		return failingFile{file, &fail}, err
	}})
	write(t, l, 1)
	fail = true
	if err := l.Append([]Record{entry(2)}); err == nil {
		t.Fatal("append succeeded although its sync failed")
	}
	fail = false
	if err := l.Append([]Record{entry(3)}); err == nil {
		t.Fatal("append succeeded after a failed sync")
	}
}

func TestConcurrentAppendsKeepOrderPerCaller(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, folder, Options{SegmentBytes: 4 << 10})
	var wait sync.WaitGroup
	for group := range uint32(4) {
		wait.Go(func() {
			for i := uint64(1); i <= 100; i++ {
				if err := l.Append([]Record{{Group: group, Index: i}}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	_ = l.Close()
	_, found := mustOpen(t, folder, Options{})
	next := map[uint32]uint64{}
	for _, r := range found {
		next[r.Group]++
		if r.Index != next[r.Group] {
			t.Fatalf("group %d: record %d follows %d", r.Group, r.Index, next[r.Group]-1)
		}
	}
	if len(found) != 400 {
		t.Errorf("found %d records, want 400", len(found))
	}
}

// FuzzRecover opens a log whose newest segment has arbitrary content. Open must succeed
// or return an error, and a log that was opened must have the same number of records when
// it is opened again.
func FuzzRecover(f *testing.F) {
	first, _ := encodeFrame(1, []Record{entry(1)})
	second, _ := encodeFrame(2, []Record{entry(2), entry(3)})
	whole := append(append([]byte(nil), first...), second...)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append([]byte("torn"), whole...))
	f.Add(append(append([]byte(nil), second...), first...))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentName(1)), data, 0o600); err != nil {
			t.Fatal(err)
		}
		l, found, err := openTest(t, folder, Options{})
		if err != nil {
			return
		}
		_ = l.Close()
		_, again := mustOpen(t, folder, Options{})
		if len(again) != len(found) {
			t.Errorf("found %d records, then %d when opened again", len(found), len(again))
		}
	})
}
