package brwal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"bramleyroute/brformat"
	"bramleyroute/brlog"
	"bramleyroute/brwire"
)

// snapshotHeader is the size in bytes of a snapshot header: the magic number, the
// payload length (8 bytes) and the payload checksum (4 bytes).
const snapshotHeader = len(snapshotMagic) + 12

// SaveSnapshot durably replaces the previous snapshot by s. It does nothing if s is
// not newer than the previous snapshot. Errors wrap ErrFailed and are permanent.
func (l *Log) SaveSnapshot(s brlog.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if s.Index <= l.snapshotIndex {
		return nil
	}
	if err := l.saveSnapshot(s); err != nil {
		return l.fail(err)
	}
	l.snapshotIndex = s.Index
	return nil
}

func (l *Log) saveSnapshot(s brlog.Snapshot) error {
	data := s.Data
	s.Data = nil
	meta, err := brwire.Encode(s)
	if err != nil {
		return err
	}
	payload := appendText(nil, string(meta))
	payload = append(payload, data...)
	b := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), uint64(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = append(b, payload...)

	old, _, err := l.listFiles(snapshotPrefix)
	if err != nil {
		return err
	}
	path := filepath.Join(l.opts.Dir, fmt.Sprintf("%s%016x", snapshotPrefix, s.Index))
	if err := l.replaceFile(path, b); err != nil {
		return err
	}
	for _, p := range old {
		if err := l.opts.Remove(p); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile durably creates or replaces the file at path. After an error or a crash,
// it has either the old or the new content. After an error, the temporary file is
// removed, so that it doesn't take the last room of a full disk.
func (l *Log) replaceFile(path string, b []byte) error {
	temporary := path + temporarySuffix
	err := l.writeFile(temporary, b)
	if err == nil {
		err = l.opts.Rename(temporary, path)
	}
	if err != nil {
		if removeErr := l.opts.Remove(temporary); !errors.Is(removeErr, fs.ErrNotExist) {
			err = errors.Join(err, removeErr)
		}
		return err
	}
	return l.syncDir(l.opts.Dir)
}

func (l *Log) writeFile(path string, b []byte) error {
	f, err := l.opts.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := l.write(f, b); err != nil {
		return err
	}
	if err := l.opts.Sync(f); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	return nil
}

// loadSnapshot loads the latest snapshot and removes temporary snapshot files.
func (l *Log) loadSnapshot() (brlog.Snapshot, error) {
	unfinished, err := filepath.Glob(filepath.Join(l.opts.Dir, snapshotPrefix+"*"+temporarySuffix))
	if err != nil {
		return brlog.Snapshot{}, fmt.Errorf("brwal: %w", err)
	}
	for _, p := range unfinished {
		if err := l.opts.Remove(p); err != nil {
			return brlog.Snapshot{}, fmt.Errorf("brwal: %w", err)
		}
	}
	paths, numbers, err := l.listFiles(snapshotPrefix)
	if err != nil || len(paths) == 0 {
		return brlog.Snapshot{}, err
	}
	path := paths[len(paths)-1]
	b, err := os.ReadFile(path)
	if err != nil {
		return brlog.Snapshot{}, fmt.Errorf("brwal: %w", err)
	}
	s, err := parseSnapshot(b)
	if err == nil && s.Index != numbers[len(paths)-1] {
		err = fmt.Errorf("file contains the snapshot of entry %d", s.Index)
	}
	if err != nil {
		return brlog.Snapshot{}, &CorruptionError{path, 0, err}
	}
	return s, nil
}

func parseSnapshot(b []byte) (brlog.Snapshot, error) {
	if err := checkMagic(b, snapshotMagic, brformat.SnapshotFile); err != nil {
		return brlog.Snapshot{}, err
	}
	if len(b) < snapshotHeader {
		return brlog.Snapshot{}, errHeader
	}
	header, payload := b[len(snapshotMagic):snapshotHeader], b[snapshotHeader:]
	if binary.LittleEndian.Uint64(header) != uint64(len(payload)) {
		return brlog.Snapshot{}, errShort
	}
	if binary.LittleEndian.Uint32(header[8:]) != crc32.Checksum(payload, castagnoli) {
		return brlog.Snapshot{}, errChecksum
	}
	meta, data, ok := parseText(payload)
	if !ok {
		return brlog.Snapshot{}, errHeader
	}
	s, err := brwire.Decode[brlog.Snapshot]([]byte(meta))
	s.Data = data
	return s, err
}
