package brwal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"bramleyroute/brformat"
	"bramleyroute/brlog"
)

type recordKind uint8

const (
	recordState recordKind = iota + 1 // term, vote, replica ID
	recordEntry
	recordReset // the log restarts after a snapshot
)

const (
	// The last byte of a magic number is the version.
	segmentMagic  = "brwal\x00\x00\x01"
	snapshotMagic = "brsnap\x00\x01"

	headerBytes        = 8  // payload length and checksum
	payloadHeaderBytes = 17 // sequence, batch start, kind
	// maxSequenceGap limits the sequence numbers that are accepted as valid in the
	// search for records after a corrupt one.
	maxSequenceGap = 1 << 32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a decoded record.
type record struct {
	seq, batch uint64
	kind       recordKind
	body       []byte
	size       int // encoded size in bytes
}

var (
	errShort    = errors.New("data is incomplete")
	errChecksum = errors.New("checksum mismatch")
	errHeader   = errors.New("invalid header")
)

// appendRecord appends a record to b. The function body appends the record body.
func appendRecord(b []byte, seq, batch uint64, kind recordKind, body func([]byte) []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, headerBytes)...)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = append(b, byte(kind))
	b = body(b)
	payload := b[start+headerBytes:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(payload, castagnoli))
	return b
}

// parseRecord decodes the record at the start of b. The sequence number must be in
// [minSeq, minSeq+seqRange). The kind may be one that only a later build knows.
func parseRecord(b []byte, minSeq, seqRange uint64) (record, error) {
	if len(b) < headerBytes+payloadHeaderBytes {
		return record{}, errShort
	}
	length := uint64(binary.LittleEndian.Uint32(b))
	if length < payloadHeaderBytes {
		return record{}, errHeader
	}
	if length > uint64(len(b)-headerBytes) {
		return record{}, errShort
	}
	p := b[headerBytes : headerBytes+length]
	r := record{
		seq: binary.LittleEndian.Uint64(p), batch: binary.LittleEndian.Uint64(p[8:]),
		kind: recordKind(p[16]), body: p[payloadHeaderBytes:], size: headerBytes + int(length),
	}
	if r.seq-minSeq >= seqRange || r.batch > r.seq || r.kind < recordState {
		return record{}, errHeader
	}
	if crc32.Checksum(p, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, errChecksum
	}
	return r, nil
}

// checkMagic returns an error unless b starts with magic, and a *brformat.UnsupportedError
// if it starts with the magic number of a later version.
func checkMagic(b []byte, magic string, f brformat.Format) error {
	name := magic[:len(magic)-1]
	if len(b) < len(magic) || string(b[:len(name)]) != name {
		return errHeader
	}
	if version := b[len(name)]; version > magic[len(name)] {
		return f.Check(uint64(version))
	} else if version != magic[len(name)] {
		return errHeader
	}
	return nil
}

func appendText(b []byte, s string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

func parseText(b []byte) (text string, rest []byte, ok bool) {
	if len(b) < 4 {
		return "", nil, false
	}
	n := uint64(binary.LittleEndian.Uint32(b))
	b = b[4:]
	if n > uint64(len(b)) {
		return "", nil, false
	}
	return string(b[:n]), b[n:], true
}

func appendState(b []byte, id brlog.ID, h brlog.HardState) []byte {
	b = binary.LittleEndian.AppendUint64(b, h.Term)
	b = appendText(b, string(h.Vote))
	return appendText(b, string(id))
}

func parseState(b []byte) (id brlog.ID, h brlog.HardState, ok bool) {
	if len(b) < 8 {
		return "", h, false
	}
	h.Term = binary.LittleEndian.Uint64(b)
	vote, b, ok := parseText(b[8:])
	if !ok {
		return "", h, false
	}
	h.Vote = brlog.ID(vote)
	text, b, ok := parseText(b)
	return brlog.ID(text), h, ok && len(b) == 0
}

func appendEntry(b []byte, e brlog.Entry) []byte {
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

func parseEntry(b []byte) (brlog.Entry, bool) {
	if len(b) < 17 {
		return brlog.Entry{}, false
	}
	e := brlog.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Kind:  brlog.EntryKind(b[16]),
	}
	if len(b) > 17 {
		e.Data = append([]byte(nil), b[17:]...)
	}
	return e, true
}
