package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"slateway.example/slateway/internal/codec"
)

// A frame is the unit of writing: each sync makes one frame durable. It consists of a
// magic number, the payload length, the sequence number, a CRC-32C over the length, the
// sequence number and the payload, and the payload. Sequence numbers are consecutive
// across segments.
const (
	frameMagic      = 0x736c7731
	frameHeaderSize = 20
	// maxPayload limits the payload size, so that a damaged length field is detected
	// if it exceeds the size of any frame that is written.
	maxPayload = 1 << 28
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind is the type of a record. The group that owns the record defines its meaning.
type Kind uint8

// Record is an item that a group appends to the log.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Group uint32
	Kind  Kind
	// Index is the position of the record in the group's own log. The record is no
	// longer needed once the group releases that position; a record with Index zero
	// does not keep its segment from being removed.
	Index uint64
	// Latest marks a record that replaces earlier ones of its group and kind. The
	// newest one is repeated at the start of each segment, so that it survives the
	// removal of older segments.
	Latest bool
	Data   []byte
}

func encodeFrame(sequence uint64, records []Record) ([]byte, error) {
	payload, err := codec.Marshal(records)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[8:], sequence)
	binary.LittleEndian.PutUint32(frame[16:], checksum(frame[4:16], payload))
	return append(frame, payload...), nil
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// frame is a decoded frame with its size on disk.
type frame struct {
	sequence uint64
	payload  []byte
	size     int
}

// decodeFrame decodes the frame at the start of data. It returns false if there is no
// complete and undamaged frame.
func decodeFrame(data []byte) (frame, bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxPayload || len(data) < frameHeaderSize+length {
		return frame{}, false
	}
	payload := data[frameHeaderSize : frameHeaderSize+length]
	if checksum(data[4:16], payload) != binary.LittleEndian.Uint32(data[16:]) {
		return frame{}, false
	}
	return frame{sequence: binary.LittleEndian.Uint64(data[8:]), payload: payload, size: frameHeaderSize + length}, true
}

// findFrame reports whether a complete frame with at least this sequence number starts
// anywhere after the first byte of data.
func findFrame(data []byte, sequence uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return false
		}
		at += next
		if found, ok := decodeFrame(data[at:]); ok && found.sequence >= sequence {
			return true
		}
	}
	return false
}
