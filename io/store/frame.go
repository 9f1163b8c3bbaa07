package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header of three 32-bit numbers, little endian (length of the
// payload, its checksum, the checksum of these two), and the payload.
const (
	headerSize = 12
	lengthAt   = 0
	payloadAt  = 4
	headerAt   = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Frame makes a record of a payload.
func Frame(payload []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(record[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[payloadAt:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(record[headerAt:], crc32.Checksum(record[:headerAt], castagnoli))
	return append(record, payload...)
}

// Scan passes the payload of every record to visit and returns how many bytes
// are good. What follows them is an incomplete record: the trace of a write
// that was never acknowledged. A damaged record with a good one after it is
// ErrCorrupt, since the good one was acknowledged.
func Scan(data []byte, visit func(payload []byte) error) (good int, err error) {
	for good < len(data) {
		payload, size, ok := readRecord(data[good:])
		if !ok {
			if recordFollows(data[good+1:]) {
				return good, ErrCorrupt
			}
			return good, nil
		}
		if err := visit(payload); err != nil {
			return good, err
		}
		good += size
	}
	return good, nil
}

func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[lengthAt:])
	if binary.LittleEndian.Uint32(data[headerAt:]) != crc32.Checksum(data[:headerAt], castagnoli) {
		return nil, 0, false
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return nil, 0, false
	}
	size = headerSize + int(length)
	payload = data[headerSize:size]
	return payload, size, binary.LittleEndian.Uint32(data[payloadAt:]) == crc32.Checksum(payload, castagnoli)
}

// recordFollows looks for a good record anywhere in the rest. A record of
// length zero is never written, so runs of zero bytes do not count.
func recordFollows(rest []byte) bool {
	for i := range rest {
		if payload, _, ok := readRecord(rest[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}
