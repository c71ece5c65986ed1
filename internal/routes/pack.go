package routes

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"slateway.example/slateway/internal/codec"
)

// Packed is a document as it is kept in the log and sent to gates: encoded and
// compressed.
//
// A document of a thousand routes says much the same in each of them. It goes to each
// member of the group and to each gate; encoded anew for each of them, a few versions
// in a row would keep a small VM busy for longer than a version may take to be in
// force everywhere.
type Packed []byte

// maxUnpacked bounds the encoded document, as the calls that bring one do.
const maxUnpacked = 16 << 20

// Pack encodes and compresses a document.
func Pack(d *Document) (Packed, error) {
	data, err := codec.Marshal(d)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack routes: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("pack routes: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("pack routes: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack gives the document.
func (p Packed) Unpack() (*Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, fmt.Errorf("unpack routes: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack routes: %w", err)
	}
	if len(data) > maxUnpacked {
		return nil, fmt.Errorf("unpack routes: the document is over %d bytes", maxUnpacked)
	}
	d := &Document{}
	if err := codec.Unmarshal(data, d); err != nil {
		return nil, err
	}
	return d, nil
}

// WithoutSource gives the document as gates need it, without what its operator sent.
func (d *Document) WithoutSource() *Document {
	bare := *d
	bare.Source = nil
	return &bare
}
