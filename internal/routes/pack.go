package routes

import "slateway.example/slateway/internal/codec"

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
func Pack(d *Document) (Packed, error) { return codec.Pack(d) }

// Unpack gives the document.
func (p Packed) Unpack() (*Document, error) {
	d := &Document{}
	if err := codec.Unpack(p, maxUnpacked, d); err != nil {
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
