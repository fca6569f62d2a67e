package brstate

import (
	"encoding/binary"
	"fmt"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
)

// frameBytes is the maximum size of a frame with several rows, in bytes. A snapshot
// is a sequence of frames, each of which is its length as a uvarint followed by the
// CBOR encoding. The first frame contains the header. The size is limited because
// brwire.Decode rejects large messages.
const frameBytes = 1 << 20

type frame struct {
	Header    *header           `cbor:"header,omitempty"`
	Items     *brconfig.Change  `cbor:"items,omitempty"`
	Owners    []Owner           `cbor:"owners,omitempty"`
	Daemons   []brwire.Daemon   `cbor:"daemons,omitempty"`
	Rollouts  []Rollout         `cbor:"rollouts,omitempty"`
	Leases    []brlease.Lease   `cbor:"leases,omitempty"`
	Records   []brledger.Record `cbor:"records,omitempty"`
	Orders    []Order           `cbor:"orders,omitempty"`
	Results   []result          `cbor:"results,omitempty"`
	Progress  []SaveProgress    `cbor:"progress,omitempty"`
	LastFrame bool              `cbor:"last_frame,omitempty"`
	// Evacuations need the format evacuationFormat.
	Evacuations []Evacuation `cbor:"evacuations,omitempty"`
}

type header struct {
	Format                int       `cbor:"format"`
	Index                 uint64    `cbor:"index"`
	Now                   time.Time `cbor:"now"`
	Revision              uint64    `cbor:"revision"`
	ConfigurationRevision uint64    `cbor:"configuration_revision"`
	MembersRevision       uint64    `cbor:"members_revision"`
}

const (
	snapshotFormat = 1
	// evacuationFormat is the format of a snapshot with evacuations, which a build that
	// doesn't know them must not restore without them.
	evacuationFormat = 2
)

// Snapshot returns the encoded state. All replicas that have applied the same entries
// return the same bytes.
func (s *State) Snapshot() []byte {
	v := s.view
	w := &frameWriter{}
	format := snapshotFormat
	if len(v.Evacuations) > 0 {
		format = evacuationFormat
	}
	w.frame(frame{Header: &header{format, s.index, s.now, v.Revision, v.ConfigurationRevision, v.MembersRevision}})
	writeRows(w, v.Configuration.Models, func(rows []brconfig.Model) frame { return frame{Items: &brconfig.Change{Models: rows}} })
	writeRows(w, v.Configuration.Templates, func(rows []brconfig.Template) frame { return frame{Items: &brconfig.Change{Templates: rows}} })
	writeRows(w, v.Configuration.Customers, func(rows []brconfig.Customer) frame { return frame{Items: &brconfig.Change{Customers: rows}} })
	writeRows(w, v.Owners, func(rows []Owner) frame { return frame{Owners: rows} })
	writeRows(w, v.Daemons, func(rows []brwire.Daemon) frame { return frame{Daemons: rows} })
	writeRows(w, v.Rollouts, func(rows []Rollout) frame { return frame{Rollouts: rows} })
	writeRows(w, v.Evacuations, func(rows []Evacuation) frame { return frame{Evacuations: rows} })
	writeRows(w, s.leases.List(), func(rows []brlease.Lease) frame { return frame{Leases: rows} })
	writeRows(w, s.ledger.Records(), func(rows []brledger.Record) frame { return frame{Records: rows} })
	writeRows(w, s.orders.list(), func(rows []Order) frame { return frame{Orders: rows} })
	writeRows(w, s.results.list(), func(rows []result) frame { return frame{Results: rows} })
	writeRows(w, s.progressRows(), func(rows []SaveProgress) frame { return frame{Progress: rows} })
	w.frame(frame{LastFrame: true})
	return w.data
}

// Restore returns the state encoded in a snapshot, with an empty history. It returns
// an error if data is incomplete, malformed or of an unknown format.
func Restore(data []byte) (*State, error) {
	s := New()
	var records []brledger.Record
	var leases []brlease.Lease
	var items brconfig.Change
	for n := 0; ; n++ {
		f, rest, err := readFrame(data)
		if err != nil {
			return nil, fmt.Errorf("brstate: restore frame %d: %w", n, err)
		}
		data = rest
		if (n == 0) != (f.Header != nil) || f.Header != nil && f.Header.Format != snapshotFormat && f.Header.Format != evacuationFormat {
			return nil, fmt.Errorf("brstate: restore frame %d: header missing, misplaced or of an unknown format", n)
		}
		if h := f.Header; h != nil {
			s.index, s.now = h.Index, h.Now
			s.view = View{Revision: h.Revision, ConfigurationRevision: h.ConfigurationRevision, MembersRevision: h.MembersRevision}
		}
		if f.Items != nil {
			items.Models = append(items.Models, f.Items.Models...)
			items.Templates = append(items.Templates, f.Items.Templates...)
			items.Customers = append(items.Customers, f.Items.Customers...)
		}
		s.view.Owners = append(s.view.Owners, f.Owners...)
		s.view.Daemons = append(s.view.Daemons, f.Daemons...)
		s.view.Rollouts = append(s.view.Rollouts, f.Rollouts...)
		s.view.Evacuations = append(s.view.Evacuations, f.Evacuations...)
		leases, records = append(leases, f.Leases...), append(records, f.Records...)
		for _, o := range f.Orders {
			s.orders.put(o)
		}
		for _, r := range f.Results {
			s.results.put(r)
		}
		for _, p := range f.Progress {
			if s.progress == nil {
				s.progress = map[string][]byte{}
			}
			s.progress[p.ID] = p.Data
		}
		if f.LastFrame {
			break
		}
	}
	if len(data) > 0 {
		return nil, fmt.Errorf("brstate: restore: %d bytes after the last frame", len(data))
	}
	s.view.Configuration = s.view.Configuration.With(items)
	s.leases, s.ledger = brlease.NewTable(leases), brledger.New(brledger.DefaultLimits, records)
	return s, nil
}

type frameWriter struct{ data []byte }

func (w *frameWriter) frame(f frame) {
	w.append(mustEncode(f))
}

func (w *frameWriter) append(b []byte) {
	w.data = binary.AppendUvarint(w.data, uint64(len(b)))
	w.data = append(w.data, b...)
}

// writeRows writes rows in frames of up to 512 rows. It halves a batch until its frame
// has at most frameBytes or contains a single row.
func writeRows[T any](w *frameWriter, rows []T, wrap func([]T) frame) {
	const batch = 512
	for len(rows) > 0 {
		n := min(batch, len(rows))
		b := mustEncode(wrap(rows[:n]))
		for len(b) > frameBytes && n > 1 {
			n /= 2
			b = mustEncode(wrap(rows[:n]))
		}
		w.append(b)
		rows = rows[n:]
	}
}

func readFrame(data []byte) (frame, []byte, error) {
	n, k := binary.Uvarint(data)
	if k <= 0 || n > uint64(len(data)-k) {
		return frame{}, nil, fmt.Errorf("snapshot is truncated")
	}
	f, err := brwire.Decode[frame](data[k : k+int(n)])
	return f, data[k+int(n):], err
}

func mustEncode[T any](v T) []byte {
	b, err := brwire.Encode(v)
	if err != nil {
		panic("brstate: encode: " + err.Error()) // all types used here can be encoded
	}
	return b
}
