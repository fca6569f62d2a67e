package brfleet

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bramleyroute/brquarantine"
	"bramleyroute/brwire"
)

const (
	// evidenceFile is the name of the file with the evidence of what is quarantined, in
	// the data directory. Daemons with a disk keep it, since all daemons may stop at the
	// same time, and learning it again would cost endpoints.
	evidenceFile          = "quarantine.cbor"
	evidenceRetryInterval = time.Second // after a failed write
)

// subjectEvidence is an entry of the evidence file.
type subjectEvidence struct {
	Subject  string                `cbor:"subject"` // text form of a brquarantine.Subject
	Evidence brquarantine.Evidence `cbor:"evidence"`
}

// loadEvidence applies the evidence file of an earlier process and returns its content.
// The evidence counts as new: how old it is can't be known without a reliable wall clock.
func (f *Fleet) loadEvidence() []byte {
	if f.cfg.Dir == "" {
		return nil
	}
	b, err := os.ReadFile(f.evidencePath())
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var all []subjectEvidence
	if err == nil {
		all, err = decodeEvidenceFile(b)
	}
	if err != nil {
		f.cfg.Log.Warn().Err(err).Int("entries", len(all)).Msg("quarantine of the process before can't be read as a whole")
	}
	for _, entry := range all {
		if subject, known := brquarantine.ParseSubject(entry.Subject); known {
			f.proxy.PeerEvidence(subject, entry.Evidence, 0)
		}
	}
	return b
}

// decodeEvidenceFile returns the entries of an evidence file that can be decoded, and an
// error if there are others. One that only a later build can decode doesn't take the
// others with it.
func decodeEvidenceFile(b []byte) ([]subjectEvidence, error) {
	raw, err := brwire.Decode[[]brwire.RawMessage](b)
	if err != nil {
		return nil, err
	}
	var all []subjectEvidence
	var errs []error
	for _, r := range raw {
		entry, err := brwire.Decode[subjectEvidence](r)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, entry)
	}
	return all, errors.Join(errs...)
}

// runEvidenceFile writes the evidence file after each change of the quarantine
// until the fleet is closed. saved is the content of the file.
func (f *Fleet) runEvidenceFile(saved []byte) {
	if f.cfg.Dir == "" {
		return
	}
	var retry <-chan time.Time
	for {
		select {
		case <-f.stop:
			return
		case <-f.evidence.changed:
		case <-retry:
		}
		retry = nil
		b := f.encodeQuarantine()
		if bytes.Equal(b, saved) {
			continue
		}
		if err := writeDurably(f.evidencePath(), b); err != nil {
			f.cfg.Log.Warn().Err(err).Msg("quarantine can't be written")
			retry = f.cfg.Clock.After(evidenceRetryInterval)
			continue
		}
		saved = b
	}
}

func (f *Fleet) evidencePath() string { return filepath.Join(f.cfg.Dir, evidenceFile) }

func (f *Fleet) encodeQuarantine() []byte {
	quarantine := f.proxy.Quarantine()
	all := []subjectEvidence{}
	subjects := slices.SortedFunc(maps.Keys(quarantine), func(a, b brquarantine.Subject) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, s := range subjects {
		all = append(all, subjectEvidence{Subject: s.String(), Evidence: quarantine[s]})
	}
	return encode(all)
}

// writeDurably replaces the content of a file so that after a loss of power it has
// either the old or the new content.
func writeDurably(path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("brfleet: %w", err)
	}
	temporary := path + ".tmp"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("brfleet: %w", err)
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(path))
	}
	if err != nil {
		return fmt.Errorf("brfleet: write %s: %w", path, err)
	}
	return nil
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
