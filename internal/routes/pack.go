package routes

import "slateway.example/slateway/internal/codec"

// Packed is an encoded and compressed document, as it is stored in the log and sent to each
// member of the group and each gate. The thousand routes of a large document are very
// similar, so it compresses well. If it were encoded again for each recipient, a few
// consecutive versions would occupy a small VM for longer than a version may take to be in
// force everywhere.
type Packed []byte

// maxUnpacked limits the size of the encoded document, like the calls that send one.
const maxUnpacked = 16 << 20

// Pack encodes and compresses a document.
func Pack(d *Document) (Packed, error) { return codec.Pack(d) }

// Unpack decompresses and decodes the document.
func (p Packed) Unpack() (*Document, error) {
	d := &Document{}
	if err := codec.Unpack(p, maxUnpacked, d); err != nil {
		return nil, err
	}
	return d, nil
}

// WithoutSource returns a copy of the document without its source, for gates.
func (d *Document) WithoutSource() *Document {
	reduced := *d
	reduced.Source = nil
	return &reduced
}
