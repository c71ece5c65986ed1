package blob_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/blob"
)

// The seed is fixed so that each run gives the same result. For a longer search, use
// -rapid.seed=0 -rapid.checks=20000.
func init() { _ = flag.Set("rapid.seed", "1") }

const segmentBytes = 1000

// record is an appended record with its location.
type record struct {
	ref  blob.Ref
	data []byte
}

// A keeper process ends at any time. After the restart its log must hold the content that
// the last snapshot lists, and append the same records at the same locations again.
func TestRestoreToTheLastSync(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		if err != nil {
			rt.Fatal(err)
		}
		log := blob.Open(folder, "part", segmentBytes)
		var kept []record
		appendSome := func() (added []record) {
			for _, data := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 400), 0, 20).Draw(rt, "records") {
				ref, err := log.Append(data)
				if err != nil {
					rt.Fatal(err)
				}
				added = append(added, record{ref, data})
			}
			return added
		}
		kept = append(kept, appendSome()...)
		files, err := log.Sync(nil)
		if err != nil {
			rt.Fatal(err)
		}
		lost := appendSome()
		_ = log.Close()
		log = blob.Open(folder, "part", segmentBytes)
		if err := log.Restore(files); err != nil {
			rt.Fatal(err)
		}
		for _, again := range lost {
			if ref, err := log.Append(again.data); err != nil || ref != again.ref {
				rt.Fatalf("record was appended at %v, before the restart at %v; error %v", ref, again.ref, err)
			}
		}
		for _, want := range append(kept, lost...) {
			if data, err := log.Read(want.ref); err != nil || !bytes.Equal(data, want.data) {
				rt.Fatalf("reading the record at %v: wrong data or error %v", want.ref, err)
			}
		}
		_ = log.Close()
	})
}

// A disk returns wrong bytes. Read must return an error instead of the damaged data.
func TestCorruptRecordIsReported(t *testing.T) {
	folder := t.TempDir()
	log := blob.Open(folder, "result", segmentBytes)
	ref, err := log.Append([]byte("summary of notice 7"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := log.Sync(nil)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, files[0].Name)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content[len(content)-1] ^= 1
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Read(ref); !errors.Is(err, blob.ErrCorrupt) {
		t.Fatalf("read of a damaged record: got error %v, want ErrCorrupt", err)
	}
	if err := log.Restore([]blob.File{{Name: files[0].Name, Length: files[0].Length + 1}}); !errors.Is(err, blob.ErrCorrupt) {
		t.Fatalf("restore of a file that is too short: got error %v, want ErrCorrupt", err)
	}
}

func TestDeleteKeepsTheGrowingSegment(t *testing.T) {
	log := blob.Open(t.TempDir(), "result", 1)
	first, _ := log.Append([]byte("a"))
	last, _ := log.Append([]byte("b"))
	if err := log.Delete([]uint32{first.Segment, last.Segment}); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Read(first); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("read of a deleted record: got error %v, want os.ErrNotExist", err)
	}
	if _, err := log.Read(last); err != nil {
		t.Errorf("read of a record in the active segment: %v", err)
	}
}
