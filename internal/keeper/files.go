package keeper

import (
	"errors"

	"slateway.example/slateway/internal/blob"
	"slateway.example/slateway/internal/job"
	"slateway.example/slateway/internal/replica"
)

// fileKind is the kind of records in a file of a job group. Kinds have separate
// files because their records have different lifetimes.
type fileKind int

const (
	partFiles    fileKind = iota // items of open jobs
	resultFiles                  // results, kept until the retention of their job ends
	outcomeFiles                 // outcomes of claims
	fileKinds
)

// filePrefixes are the file name prefixes by kind.
var filePrefixes = [fileKinds]string{"part", "result", "outcome"}

// files stores the records of a job group on disk.
type files struct {
	logs [fileKinds]*blob.Log
	fail func(error)

	// unused lists the segments that were not in use at the last snapshot. They
	// are deleted at the next one: until the last snapshot is on disk, this VM
	// may restart from the previous snapshot, which still refers to them.
	unused [fileKinds][]uint32
}

func newFiles(folder string, segmentBytes int64, fail func(error)) *files {
	f := &files{fail: fail}
	for kind := range f.logs {
		f.logs[kind] = blob.Open(folder, filePrefixes[kind], segmentBytes)
	}
	return f
}

func (f *files) append(kind fileKind, data []byte) job.Ref {
	ref, err := f.logs[kind].Append(data)
	if err != nil {
		f.fail(err)
	}
	return job.Ref(ref)
}

func (f *files) read(kind fileKind, ref job.Ref) ([]byte, error) {
	return f.logs[kind].Read(blob.Ref(ref))
}

// AppendPart stores the encoded items of a part.
func (f *files) AppendPart(data []byte) job.Ref { return f.append(partFiles, data) }

// AppendResult stores an encoded result or index page.
func (f *files) AppendResult(data []byte) job.Ref { return f.append(resultFiles, data) }

// AppendOutcome stores the outcome of a claim.
func (f *files) AppendOutcome(data []byte) job.Ref { return f.append(outcomeFiles, data) }

// ReadPart reads a part while a command is applied. It calls fail on an error.
func (f *files) ReadPart(ref job.Ref) []byte {
	data, err := f.read(partFiles, ref)
	if err != nil {
		f.fail(err)
	}
	return data
}

// ReadRecord reads the record of an ended job while a command is applied. It
// calls fail on an error.
func (f *files) ReadRecord(ref job.Ref) []byte {
	data, err := f.read(resultFiles, ref)
	if err != nil {
		f.fail(err)
	}
	return data
}

// ReadResult reads a result or index page.
func (f *files) ReadResult(ref job.Ref) ([]byte, error) { return f.read(resultFiles, ref) }

// sync flushes all records to disk and lists the files. Unused segments are
// omitted from the list and deleted at the next call.
func (f *files) sync(inUse func(fileKind, uint32) bool) ([]replica.File, error) {
	var listed []replica.File
	for kind, log := range f.logs {
		if err := log.Delete(f.unused[kind]); err != nil {
			return nil, err
		}
		unused := unusedSegments(log, fileKind(kind), inUse)
		kept, err := log.Sync(unused)
		if err != nil {
			return nil, err
		}
		f.unused[kind] = unused
		for _, file := range kept {
			listed = append(listed, replica.File(file))
		}
	}
	return listed, nil
}

func unusedSegments(log *blob.Log, kind fileKind, inUse func(fileKind, uint32) bool) []uint32 {
	var unused []uint32
	for _, segment := range log.FullSegments() {
		if !inUse(kind, segment) {
			unused = append(unused, segment)
		}
	}
	return unused
}

func (f *files) restore(listed []replica.File) error {
	all := make([]blob.File, 0, len(listed))
	for _, file := range listed {
		all = append(all, blob.File(file))
	}
	for kind, log := range f.logs {
		f.unused[kind] = nil
		if err := log.Restore(all); err != nil {
			return err
		}
	}
	return nil
}

func (f *files) close() error {
	var failures []error
	for _, log := range f.logs {
		failures = append(failures, log.Close())
	}
	return errors.Join(failures...)
}
