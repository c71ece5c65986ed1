package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"slateway.example/slateway/internal/codec"
)

// A frame is what one sync makes durable: magic, payload length, sequence
// number, CRC-32C over the previous two and the payload, then the payload.
// Sequence numbers are consecutive over all segments.
const (
	frameMagic      = 0x736c7731
	frameHeaderSize = 20
	// maxPayload bounds the payload, so that a damaged length cannot make the
	// reader believe in a frame larger than any that was written.
	maxPayload = 1 << 28
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind says what a record means to its owner.
type Kind uint8

// Record is one unit that a group appends.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Group uint32
	Kind  Kind
	// Index is the position in the group's log up to which this record is
	// needed; Release of that position lets it go. Zero is never needed long.
	Index uint64
	// Latest marks a record of which only the newest of its group and kind
	// counts. It is written again at the head of each segment, so it survives
	// the removal of older ones.
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

// frame is a decoded frame and its size on disk.
type frame struct {
	sequence uint64
	payload  []byte
	size     int
}

// decodeFrame reads the frame at the head of data; false if none is whole.
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

// findFrame says whether a whole frame of at least this sequence number starts
// anywhere after the head of data.
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
