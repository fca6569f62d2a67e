package brtimeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
)

// FileName is the name of the file that is being written, in the data folder.
// Older ones have a number appended, 1 for the latest of them.
const FileName = "timeline.jsonl"

const (
	fileCount   = 4 // the one being written and the older ones
	minFileSize = 4 << 10
	maxLine     = 1 << 20 // longest line that ReadFiles takes, in bytes
)

// fileWriter appends events as JSON lines and rotates files by size.
type fileWriter struct {
	dir     string
	limit   int64 // bytes per file
	file    *os.File
	size    int64
	buffer  bytes.Buffer
	encoder *json.Encoder
}

func openWriter(dir string, limit int64) (*fileWriter, error) {
	w := &fileWriter{dir: dir, limit: max(limit, minFileSize)}
	w.encoder = json.NewEncoder(&w.buffer)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("brtimeline: data folder: %w", err)
	}
	return w, w.open()
}

func (w *fileWriter) path(age int) string {
	p := filepath.Join(w.dir, FileName)
	if age > 0 {
		p += "." + strconv.Itoa(age)
	}
	return p
}

func (w *fileWriter) open() error {
	f, err := os.OpenFile(w.path(0), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("brtimeline: open: %w", err)
	}
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Join(fmt.Errorf("brtimeline: seek: %w", err), f.Close())
	}
	w.file, w.size = f, size
	return w.endTornLine()
}

// endTornLine ends a last line that a crash left incomplete, so that the next
// event starts a line of its own.
func (w *fileWriter) endTornLine() error {
	if w.size == 0 {
		return nil
	}
	last := make([]byte, 1)
	if _, err := w.file.ReadAt(last, w.size-1); err != nil {
		return fmt.Errorf("brtimeline: read back: %w", err)
	}
	if last[0] == '\n' {
		return nil
	}
	w.buffer.WriteByte('\n')
	return w.flush()
}

func (w *fileWriter) append(events []Event) error {
	for _, e := range events {
		if err := w.encoder.Encode(e); err != nil {
			return fmt.Errorf("brtimeline: encode: %w", err)
		}
		if w.size+int64(w.buffer.Len()) < w.limit {
			continue
		}
		if err := w.rotate(); err != nil {
			return err
		}
	}
	return w.flush()
}

func (w *fileWriter) flush() error {
	n, err := w.file.Write(w.buffer.Bytes())
	w.size += int64(n)
	w.buffer.Reset()
	if err != nil {
		return fmt.Errorf("brtimeline: write: %w", err)
	}
	return nil
}

func (w *fileWriter) rotate() error {
	if err := errors.Join(w.flush(), w.close()); err != nil {
		return err
	}
	for age := fileCount - 2; age >= 0; age-- {
		err := os.Rename(w.path(age), w.path(age+1))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("brtimeline: rotate: %w", err)
		}
	}
	return w.open()
}

func (w *fileWriter) close() error {
	if err := errors.Join(w.file.Sync(), w.file.Close()); err != nil {
		return fmt.Errorf("brtimeline: close: %w", err)
	}
	return nil
}

// ReadFiles returns the events in the files of dir that f selects, oldest first,
// and the number of lines that are no event, such as one that a crash cut off.
// A folder without files gives no events.
func ReadFiles(dir string, f Filter) (events []Event, invalid int, err error) {
	w := fileWriter{dir: dir}
	for age := fileCount - 1; age >= 0; age-- {
		file, err := os.Open(w.path(age))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, 0, fmt.Errorf("brtimeline: read: %w", err)
		}
		read, bad, err := ReadEvents(file, f)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, 0, fmt.Errorf("brtimeline: read %s: %w", w.path(age), err)
		}
		events, invalid = append(events, read...), invalid+bad
	}
	return events, invalid, nil
}

// ReadEvents returns the events among the JSON lines of r that f selects, and
// the number of lines that are no event.
func ReadEvents(r io.Reader, f Filter) (events []Event, invalid int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e Event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Kind == 0 {
			invalid++
			continue
		}
		if f.Match(e) {
			events = append(events, e)
		}
	}
	return events, invalid, lines.Err()
}
