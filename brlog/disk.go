package brlog

import (
	"math"
	"time"
)

// disk tracks which writes are durable and holds back the messages that depend on
// pending writes.
type disk struct {
	seq, syncedSeq uint64 // numbers of the last emitted and of the last durable write
	hardSeq        uint64 // number of the last write that changed the hard state
	pending        []pendingWrite
	heldMessages   []outgoing

	// Content of the next write.
	hardDirty bool
	reset     uint64
	first     uint64 // first entry to write; 0 for none
}

type pendingWrite struct {
	seq         uint64
	first, last uint64 // entries; 0 for none
	startedAt   time.Duration
}

// stalled reports whether a write has been pending for longer than the maximum
// election timeout. A replica with a stalled disk must not be the leader.
func (d *disk) stalled(s *State) bool {
	return len(d.pending) > 0 && s.now-d.pending[0].startedAt > 2*s.cfg.ElectionTimeout
}

// outgoing is a message that is sent once the write requiredSeq is durable.
type outgoing struct {
	requiredSeq uint64
	durable     bool // depends on all writes so far, not only on the hard state
	message     Message
}

// send queues a message that does not depend on log entries being durable. It is
// sent once the hard state is durable.
func (s *State) send(m Message) { s.queue(m, false) }

// sendDurable queues a message that is sent once all changes so far are durable.
func (s *State) sendDurable(m Message) { s.queue(m, true) }

func (s *State) queue(m Message, durable bool) {
	m.From = s.id
	s.outbox = append(s.outbox, outgoing{message: m, durable: durable})
}

func (s *State) markHardStateDirty() { s.disk.hardDirty = true }

// markEntriesDirty records that the log changed from entry first onwards.
func (s *State) markEntriesDirty(first uint64) {
	if s.disk.first == 0 || first < s.disk.first {
		s.disk.first = first
	}
	s.synced = min(s.synced, first-1)
}

// write emits a Write effect for pending changes, if any, and determines the write
// that each queued message depends on.
func (d *disk) write(s *State) {
	if d.hardDirty || d.reset != 0 || d.first != 0 {
		d.seq++
		w := Write{Seq: d.seq, HardState: s.hardState, Reset: d.reset}
		p := pendingWrite{seq: d.seq, startedAt: s.now}
		if d.first != 0 {
			w.Entries = s.log.entriesFrom(d.first, s.log.last(), math.MaxInt)
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
		o.requiredSeq = d.hardSeq
		if o.durable {
			o.requiredSeq = d.seq
		}
		d.heldMessages = append(d.heldMessages, o)
	}
	s.outbox = nil
	if s.mutate.skipSync {
		s.onSynced(d.seq)
	}
}

// releaseMessages emits the messages whose writes are durable. A message to this
// replica itself is processed directly. releaseMessages reports whether there was
// such a message, in which case the state may have changed.
func (s *State) releaseMessages() bool {
	changed := false
	held := s.disk.heldMessages
	s.disk.heldMessages = nil
	for _, o := range held {
		switch {
		case o.requiredSeq > s.disk.syncedSeq:
			s.disk.heldMessages = append(s.disk.heldMessages, o)
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
		panic("brlog: Synced event for a write that was not emitted")
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
	for _, p := range d.pending { // a pending write may replace durable entries
		if p.first != 0 {
			durable = min(durable, p.first-1)
		}
	}
	if d.first != 0 {
		durable = min(durable, d.first-1)
	}
	s.synced = max(s.synced, durable)
}

// clearPendingEntries discards the entry ranges of pending writes after the log was
// reset.
func (d *disk) clearPendingEntries() {
	for i := range d.pending {
		d.pending[i].first, d.pending[i].last = 0, 0
	}
	d.first = 0
}
