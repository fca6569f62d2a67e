package brlog

import (
	"math"
	"slices"
	"time"
)

// progress is what the leader knows of one other member.
type progress struct {
	match, next uint64
	probing     bool // one append at a time until the logs are known to match
	waiting     bool // for the answer to a probe
	inflight    int  // appends without an answer
	lastSent    time.Duration

	answered bool          // a heartbeat of this term
	acked    time.Duration // when the newest answered heartbeat was sent
	heard    time.Duration // receipt of the newest reply
	peerTime int64
	session  uint64

	sending uint64 // index of the snapshot that is being sent; 0 for none
	offset  uint64
}

// lead makes this candidate the leader of its term.
func (s *State) lead() {
	s.role, s.leader, s.votes = leader, s.id, nil
	s.transfer, s.uncommitted = "", 0
	s.leaseFloor = s.now
	s.nextHeartbeat = s.now
	s.progress = map[ID]*progress{}
	s.trackMembers()
	s.termStart = s.log.last() + 1
	s.appendOwn([]Entry{{Kind: EntryNoop}})
	s.tickLeader()
}

// trackMembers starts the progress of new members and ends that of removed ones.
func (s *State) trackMembers() {
	for id := range s.progress {
		if _, ok := s.membership.Find(id); !ok {
			delete(s.progress, id)
		}
	}
	for _, m := range s.membership.Members {
		if m.ID != s.id && s.progress[m.ID] == nil {
			s.progress[m.ID] = &progress{next: s.log.last() + 1, probing: true, heard: s.now}
		}
	}
}

// appendOwn appends entries of the leader's term to its log.
func (s *State) appendOwn(entries []Entry) {
	first := s.log.last() + 1
	for i := range entries {
		entries[i].Index, entries[i].Term = first+uint64(i), s.hard.Term
	}
	s.log.put(entries)
	s.uncommitted += dataBytes(entries)
	s.appended(first)
	if entries[0].Kind == EntryMembership {
		s.findMembership()
		s.trackMembers()
	}
}

func (s *State) accept(count int) {
	n := uint64(count)
	s.emit(Accepted{First: s.log.last() + 1 - n, Term: s.hard.Term, Count: n})
}

func (s *State) propose(data [][]byte) {
	switch {
	case s.role != leader:
		s.refuse(NotLeader)
		return
	case s.transfer != "" || s.log.last()-s.commit > maxUncommitted || s.uncommitted > maxUncommittedBytes:
		s.refuse(Busy)
		return
	case len(data) == 0:
		s.refuse(Invalid)
		return
	}
	entries := make([]Entry, len(data))
	for i, d := range data {
		entries[i] = Entry{Kind: EntryData, Data: d}
	}
	s.appendOwn(entries)
	s.accept(len(entries))
}

func (s *State) refuse(r Reason) {
	m, _ := s.membership.Find(s.leader)
	s.emit(Refused{Reason: r, Leader: s.leader, LeaderAddress: m.Address})
}

func (s *State) tickLeader() {
	// A leader that has heard from no majority for the longest election
	// timeout can commit nothing, and its followers may have another leader.
	// One whose own disk has stalled can't commit either.
	if !s.quorumHeard(s.membership, 2*s.cfg.Election) || s.disk.stuck(s) {
		s.follow(s.hard.Term, "")
		return
	}
	if s.transfer != "" && s.now >= s.deadline {
		s.transfer = ""
	}
	s.noteOwnContact()
	if s.now >= s.nextHeartbeat {
		s.nextHeartbeat = s.now + s.cfg.Heartbeat
		for _, m := range s.membership.Members {
			if m.ID != s.id {
				s.sendHeartbeat(m)
			}
		}
	}
	s.promoteLearner()
}

func (s *State) sendHeartbeat(m Member) {
	p := s.progress[m.ID]
	s.send(Message{
		Kind: MessageHeartbeat, To: m.ID, Term: s.hard.Term, Index: p.match, Commit: s.commit,
		Voter: !m.Learner, Confirmed: s.readable(),
		LeaderTime: int64(s.now), PeerTime: p.peerTime, Session: p.session,
	})
}

// quorumHeard reports whether a majority of the voters of m, with this replica,
// sent something in the last d.
func (s *State) quorumHeard(m Membership, d time.Duration) bool {
	n := 0
	for _, x := range m.Members {
		if x.Learner {
			continue
		}
		if p := s.progress[x.ID]; x.ID == s.id || p != nil && s.now-p.heard < d {
			n++
		}
	}
	return n >= m.Quorum()
}

// leaseEnd returns the time at which the leader's lease ends.
func (s *State) leaseEnd() time.Duration {
	if s.role != leader {
		return 0
	}
	var sent []time.Duration
	for _, m := range s.membership.Members {
		if m.Learner {
			continue
		}
		if m.ID == s.id {
			sent = append(sent, s.now)
		} else if p := s.progress[m.ID]; p != nil && p.answered {
			sent = append(sent, p.acked)
		}
	}
	q := s.membership.Quorum()
	if len(sent) < q {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-q] + time.Duration(float64(s.cfg.Lease)*(1-DriftBound))
}

// readable reports whether the lease holds and commit covers every entry that
// any earlier leader committed.
func (s *State) readable() bool {
	return s.role == leader && s.commit >= s.termStart && s.now < s.leaseEnd()
}

// noteOwnContact keeps the time at which the leader last held its lease.
func (s *State) noteOwnContact() {
	if s.readable() {
		s.contact, s.contactAt, s.contactCommit = true, s.now, s.commit
	}
}

func (s *State) onFollowerReply(m Message) {
	p := s.progress[m.From]
	if p == nil {
		return
	}
	p.heard = s.now
	switch m.Kind {
	case MessageHeartbeatReply:
		s.onHeartbeatReply(p, m)
	case MessageAppendReply:
		s.onAppendReply(p, m)
	case MessageSnapshotReply:
		if m.Index == p.sending && m.Chunk != nil {
			total := uint64(len(s.snapshot.Data))
			p.offset = min(m.Chunk.Offset, total)
			p.waiting = p.offset == total // until it is saved
		}
	}
	s.maybeTransfer()
}

func (s *State) onHeartbeatReply(p *progress, m Message) {
	at := durationOf(m.LeaderTime)
	if s.mutate.leaseFromReceipt {
		at = s.now
	}
	if at >= s.leaseFloor && (!p.answered || at > p.acked) {
		p.answered, p.acked = true, at
	}
	if m.Session != p.session || m.PeerTime > p.peerTime {
		p.session, p.peerTime = m.Session, m.PeerTime
	}
	if durationOf(m.LeaderTime) < p.lastSent {
		return
	}
	// The heartbeat was sent after the last append, so an append that the
	// follower doesn't have by now was lost, or its answer was.
	switch {
	case p.probing:
		p.waiting = false
	case m.Index+1 < p.next:
		p.next = max(p.match, m.Index) + 1
		p.probing, p.waiting, p.inflight = true, false, 0
	case p.match+1 < p.next:
		p.inflight = 0
		s.sendAppend(m.From, p, nil)
	}
}

func (s *State) onAppendReply(p *progress, m Message) {
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		// The hint skips a whole term and may lie before the known match.
		if at := max(m.Index, p.match); at+1 < p.next {
			p.next = at + 1
			p.probing, p.waiting, p.inflight = true, false, 0
		}
		return
	}
	if m.Index > s.log.last() {
		return // of a log that this leader never sent
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.sending != 0 && p.match >= p.sending {
		p.sending = 0
	}
	if p.sending == 0 && p.match+1 >= p.next {
		p.probing, p.waiting = false, false
	}
}

// replicate sends id what it lacks, as far as its answers keep up.
func (s *State) replicate(id ID) {
	p := s.progress[id]
	if p == nil {
		return
	}
	for !p.waiting && p.inflight < maxInflight {
		if p.next <= s.log.base {
			s.sendChunk(id, p)
			return
		}
		p.sending = 0
		entries := s.log.from(p.next, s.log.last(), s.cfg.BatchBytes)
		if len(entries) == 0 && !p.probing {
			return
		}
		s.sendAppend(id, p, entries)
		if p.probing {
			p.waiting = true
			return
		}
		p.inflight++
		p.next += uint64(len(entries))
	}
}

func (s *State) sendAppend(id ID, p *progress, entries []Entry) {
	prevTerm, _ := s.log.term(p.next - 1)
	p.lastSent = s.now
	s.send(Message{
		Kind: MessageAppend, To: id, Term: s.hard.Term, Index: p.next - 1, LogTerm: prevTerm,
		Commit: s.commit, Entries: entries, Voter: s.membership.IsVoter(id),
	})
}

// sendChunk sends the next part of the snapshot. Once all was sent, an empty
// part asks whether the follower still has it.
func (s *State) sendChunk(id ID, p *progress) {
	if p.sending != s.snapshot.Index {
		p.sending, p.offset = s.snapshot.Index, 0
	}
	data := s.snapshot.Data[p.offset:]
	data = data[:min(len(data), s.cfg.ChunkBytes)]
	p.probing, p.waiting, p.lastSent = true, true, s.now
	s.send(Message{
		Kind: MessageSnapshot, To: id, Term: s.hard.Term, Voter: s.membership.IsVoter(id),
		Index: s.snapshot.Index, LogTerm: s.snapshot.Term,
		Chunk: &Chunk{
			Offset: p.offset, Total: uint64(len(s.snapshot.Data)),
			Data: data, Membership: s.snapshot.Membership,
		},
	})
}

// maybeCommit commits what a majority and this replica itself have synced, if
// it is of the own term (Raft, section 5.4.2).
func (s *State) maybeCommit() {
	if s.role != leader {
		return
	}
	var matches []uint64
	for _, m := range s.membership.Members {
		switch p := s.progress[m.ID]; {
		case m.Learner:
		case m.ID == s.id:
			matches = append(matches, s.synced)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	to := min(matches[len(matches)-s.membership.Quorum()], s.synced)
	if t, ok := s.log.term(to); to <= s.commit || !ok || t != s.hard.Term {
		return
	}
	s.uncommitted -= dataBytes(s.log.from(max(s.commit+1, s.termStart), to, math.MaxInt))
	s.commit = to
	s.noteOwnContact()
	for _, m := range s.membership.Members {
		if m.ID != s.id {
			s.send(Message{Kind: MessageCommit, To: m.ID, Term: s.hard.Term, Commit: s.commit, Voter: !m.Learner})
		}
	}
	if _, ok := s.membership.Find(s.id); !ok && s.memberAt <= s.commit {
		s.follow(s.hard.Term, "") // this leader has removed itself
	}
}

// startTransfer prepares to hand leadership over.
func (s *State) startTransfer(to ID) {
	if s.role != leader {
		s.refuse(NotLeader)
		return
	}
	var best *progress
	for _, m := range s.membership.Members {
		p := s.progress[m.ID]
		if p == nil || m.Learner || s.now-p.heard > s.cfg.Election || to != "" && to != m.ID {
			continue
		}
		if best == nil || p.match > best.match {
			best, s.transfer = p, m.ID
		}
	}
	if best == nil {
		s.refuse(NoMajority)
		return
	}
	s.deadline = s.now + s.cfg.Election
	s.maybeTransfer()
}

// maybeTransfer tells the target to start an election at once when it has the
// whole log. From then on this replica is no leader: the target's election
// doesn't wait for the lease to end.
func (s *State) maybeTransfer() {
	p := s.progress[s.transfer]
	if s.transfer == "" || p == nil || p.match != s.log.last() {
		return
	}
	s.send(Message{Kind: MessageTimeoutNow, To: s.transfer, Term: s.hard.Term, Voter: true})
	s.follow(s.hard.Term, "")
}

func durationOf(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }
