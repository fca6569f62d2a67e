package brlog

import (
	"math"
	"time"
)

// disk tracks which writes are durable and holds the messages that depend on
// those that are not.
type disk struct {
	seq, syncedSeq uint64 // of the last write handed over, and of the last durable one
	hardSeq        uint64 // last write that changed the hard state
	pending        []pendingWrite
	held           []outgoing

	// What the next write contains.
	hardDirty bool
	reset     uint64
	first     uint64 // first entry to write; 0 for none
}

type pendingWrite struct {
	seq         uint64
	first, last uint64 // entries; 0 for none
	at          time.Duration
}

// stuck reports whether a write has been waiting for its sync for longer than
// the longest election timeout. Such a replica must not lead.
func (d *disk) stuck(s *State) bool {
	return len(d.pending) > 0 && s.now-d.pending[0].at > 2*s.cfg.Election
}

// outgoing is a message with the write that must be durable before it is sent.
type outgoing struct {
	need    uint64
	durable bool // depends on everything written so far
	message Message
}

// send queues a message that says nothing about this replica's disk.
func (s *State) send(m Message) { s.queue(m, false) }

// sendDurable queues a message that is sent once all that was changed so far is
// durable.
func (s *State) sendDurable(m Message) { s.queue(m, true) }

func (s *State) queue(m Message, durable bool) {
	m.From = s.id
	s.outbox = append(s.outbox, outgoing{message: m, durable: durable})
}

func (s *State) hardChanged() { s.disk.hardDirty = true }

// appended notes that the log changed from entry first on.
func (s *State) appended(first uint64) {
	if s.disk.first == 0 || first < s.disk.first {
		s.disk.first = first
	}
	s.synced = min(s.synced, first-1)
}

// write emits a Write of what changed and assigns the queued messages to it.
func (d *disk) write(s *State) {
	if d.hardDirty || d.reset != 0 || d.first != 0 {
		d.seq++
		w := Write{Seq: d.seq, HardState: s.hard, Reset: d.reset}
		p := pendingWrite{seq: d.seq, at: s.now}
		if d.first != 0 {
			w.Entries = s.log.from(d.first, s.log.last(), math.MaxInt)
			p.first, p.last = d.first, s.log.last()
		}
		if d.hardDirty {
			d.hardSeq = d.seq
		}
		d.pending = append(d.pending, p)
		d.hardDirty, d.reset, d.first = false, 0, 0
		s.emit(w)
	}
	for _, o := range s.outbox {
		o.need = d.hardSeq
		if o.durable {
			o.need = d.seq
		}
		d.held = append(d.held, o)
	}
	s.outbox = nil
	if s.mutate.skipSync {
		s.onSynced(d.seq)
	}
}

// release emits the messages whose writes are durable. It reports whether that
// changed the state, which is so for a message to this replica itself.
func (s *State) release() bool {
	changed := false
	held := s.disk.held
	s.disk.held = nil
	for _, o := range held {
		switch {
		case o.need > s.disk.syncedSeq:
			s.disk.held = append(s.disk.held, o)
		case o.message.To == s.id:
			s.receive(o.message)
			changed = true
		default:
			s.emit(Send{Address: s.address(o.message.To), Message: o.message})
		}
	}
	return changed
}

func (s *State) address(id ID) string {
	m, _ := s.membership.Find(id)
	return m.Address
}

func (s *State) onSynced(seq uint64) {
	d := &s.disk
	if seq > d.seq {
		panic("brlog: synced a write that was never asked for")
	}
	if seq <= d.syncedSeq {
		return
	}
	d.syncedSeq = seq
	var durable uint64
	for len(d.pending) > 0 && d.pending[0].seq <= seq {
		if p := d.pending[0]; p.last != 0 {
			durable = p.last
		}
		d.pending = d.pending[1:]
	}
	for _, p := range d.pending { // a later write may replace what is durable now
		if p.first != 0 {
			durable = min(durable, p.first-1)
		}
	}
	if d.first != 0 {
		durable = min(durable, d.first-1)
	}
	s.synced = max(s.synced, durable)
}

// forgetPending makes pending writes say nothing about the log, which was reset.
func (d *disk) forgetPending() {
	for i := range d.pending {
		d.pending[i].first, d.pending[i].last = 0, 0
	}
	d.first = 0
}
