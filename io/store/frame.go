package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header of three 32-bit little-endian numbers (length of the
// payload, checksum of the payload, checksum of these two), then the payload.
const (
	headerSize       = 12
	lengthOffset     = 0
	payloadSumOffset = 4
	headerSumOffset  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Frame returns the record of a payload.
func Frame(payload []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(record[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[payloadSumOffset:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(record[headerSumOffset:], crc32.Checksum(record[:headerSumOffset], castagnoli))
	return append(record, payload...)
}

// Scan passes the payload of every record to visit and returns the number of
// valid bytes. They may be followed by an incomplete record, left by a write that
// was never acknowledged. A damaged record before an intact one is ErrCorrupt,
// since the intact one was acknowledged.
func Scan(data []byte, visit func(payload []byte) error) (valid int, err error) {
	for valid < len(data) {
		payload, size, ok := readRecord(data[valid:])
		if !ok {
			if recordFollows(data[valid+1:]) {
				return valid, ErrCorrupt
			}
			return valid, nil
		}
		if err := visit(payload); err != nil {
			return valid, err
		}
		valid += size
	}
	return valid, nil
}

func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[lengthOffset:])
	if binary.LittleEndian.Uint32(data[headerSumOffset:]) != crc32.Checksum(data[:headerSumOffset], castagnoli) {
		return nil, 0, false
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return nil, 0, false
	}
	size = headerSize + int(length)
	payload = data[headerSize:size]
	return payload, size, binary.LittleEndian.Uint32(data[payloadSumOffset:]) == crc32.Checksum(payload, castagnoli)
}

// recordFollows reports whether there is an intact record at any offset. A record
// of length zero is never written, so runs of zero bytes do not count.
func recordFollows(rest []byte) bool {
	for i := range rest {
		if payload, _, ok := readRecord(rest[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}
