package brwal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// removalMark is the name of the file that marks a log whose removal has begun.
const removalMark = "removal"

// Remove durably removes the log in o.Dir, which must be closed. It leaves files that
// aren't part of the log. If Remove fails or the process ends meanwhile, the log is
// complete, or Open removes the rest of it: a part of a log can't be opened.
func Remove(o Options) error {
	l := &Log{opts: o.withDefaults()}
	mark, err := l.opts.OpenFile(l.removalPath(), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	// Some file systems keep a new file only after its own sync.
	if err := errors.Join(l.opts.Sync(mark), mark.Close(), l.syncDir(o.Dir)); err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	return l.finishRemoval()
}

func (l *Log) removalPath() string { return filepath.Join(l.opts.Dir, removalMark) }

// finishRemoval removes the files of the log if its removal has begun.
func (l *Log) finishRemoval() error {
	switch _, err := os.Stat(l.removalPath()); {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return fmt.Errorf("brwal: %w", err)
	}
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		paths, err := filepath.Glob(filepath.Join(l.opts.Dir, prefix+"*"))
		if err != nil {
			return fmt.Errorf("brwal: %w", err)
		}
		for _, path := range paths {
			if err := l.opts.Remove(path); err != nil {
				return fmt.Errorf("brwal: %w", err)
			}
		}
	}
	// The mark must not be gone while a file is left.
	if err := l.syncDir(l.opts.Dir); err != nil {
		return err
	}
	if err := l.opts.Remove(l.removalPath()); err != nil {
		return fmt.Errorf("brwal: %w", err)
	}
	return l.syncDir(l.opts.Dir)
}
