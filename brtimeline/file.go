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

// FileName is the name of the current file in the data directory. Rotated files
// have a number appended; the latest of them has 1.
const FileName = "timeline.jsonl"

const (
	fileCount    = 4       // the current file and the rotated ones
	minFileSize  = 4 << 10 // bytes
	maxLineBytes = 1 << 20 // longest line that ReadEvents accepts
)

// fileWriter appends events to a file as JSON lines and rotates the files by size.
type fileWriter struct {
	dir     string
	maxSize int64 // of one file, in bytes
	file    *os.File
	size    int64
	buffer  bytes.Buffer
	encoder *json.Encoder
}

func openWriter(dir string, maxSize int64) (*fileWriter, error) {
	w := &fileWriter{dir: dir, maxSize: max(maxSize, minFileSize)}
	w.encoder = json.NewEncoder(&w.buffer)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("brtimeline: create the data directory: %w", err)
	}
	return w, w.open()
}

// path returns the path of the file that was rotated age times; 0 is the current
// file.
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
	return w.terminateTornLine()
}

// terminateTornLine appends a newline if a crash left the last line incomplete, so
// that the next event starts on a new line.
func (w *fileWriter) terminateTornLine() error {
	if w.size == 0 {
		return nil
	}
	last := make([]byte, 1)
	if _, err := w.file.ReadAt(last, w.size-1); err != nil {
		return fmt.Errorf("brtimeline: read the last byte: %w", err)
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
		if w.size+int64(w.buffer.Len()) < w.maxSize {
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

// ReadFiles returns the events in the files of dir that f selects, oldest first, and
// the number of lines that are not valid events, such as a line that a crash left
// incomplete. It returns no events and no error if dir has no files.
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
		fileEvents, fileInvalid, err := ReadEvents(file, f)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, 0, fmt.Errorf("brtimeline: read %s: %w", w.path(age), err)
		}
		events, invalid = append(events, fileEvents...), invalid+fileInvalid
	}
	return events, invalid, nil
}

// ReadEvents reads JSON lines from r. It returns the events that f selects and the
// number of lines that are not valid events.
func ReadEvents(r io.Reader, f Filter) (events []Event, invalid int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
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
