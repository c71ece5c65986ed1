package codec

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// Pack encodes and compresses v, for values that are encoded once and sent to many.
func Pack(v any) ([]byte, error) {
	data, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	return Compress(data)
}

// Compress compresses an encoded value.
func Compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress %d bytes: %w", len(data), err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("compress %d bytes: %w", len(data), err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress %d bytes: %w", len(data), err)
	}
	return packed.Bytes(), nil
}

// Unpack decompresses and decodes the output of Pack into v. It returns an error if
// the decompressed data is larger than maxBytes.
func Unpack(packed []byte, maxBytes int64, v any) error {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fmt.Errorf("unpack %T: %w", v, err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err != nil {
		return fmt.Errorf("unpack %T: %w", v, err)
	}
	if int64(len(data)) > maxBytes {
		return fmt.Errorf("unpack %T: decompressed size exceeds %d bytes", v, maxBytes)
	}
	return Unmarshal(data, v)
}
