package brlog

import (
	"math"
	"slices"
	"time"
)

// progress is the leader's replication state of one other member.
type progress struct {
	match, next   uint64
	probing       bool // send one append at a time until the logs are known to match
	awaitingReply bool // a probe or snapshot chunk has no reply yet
	inflight      int  // number of unacknowledged appends
	lastAppendAt  time.Duration

	hasAck      bool          // a heartbeat counting for the lease was acknowledged
	ackSentAt   time.Duration // send time of the latest acknowledged heartbeat
	lastReplyAt time.Duration // receipt time of the latest reply
	peerTime    int64
	session     uint64

	yieldingUntil time.Duration // the member yields its vote until then

	snapshotIndex  uint64 // index of the snapshot being sent; 0 if none
	snapshotOffset uint64
}

// becomeLeader makes this replica the leader of the current term.
func (s *State) becomeLeader() {
	s.role, s.leader, s.votes = leader, s.id, nil
	s.transferTarget, s.uncommittedBytes = "", 0
	s.leaseNotBefore = s.now
	s.nextHeartbeat = s.now
	s.progress = map[ID]*progress{}
	s.updateProgress()
	s.countPreviousSilence()
	s.termStart = s.log.last() + 1
	s.appendEntries([]Entry{{Kind: EntryNoop}})
	s.tickLeader()
}

// contact is the latest contact with a replica.
type contact struct {
	id ID
	at time.Duration
}

// countPreviousSilence lets the silence of the previous leader begin at its last message
// instead of at the election: until a learner has the vote of a leader that is lost for good,
// one further loss leaves no majority of three. Silence beyond Config.VoterTimeout isn't
// counted: it would have the leader removed at once when the group starts again after a pause.
func (s *State) countPreviousSilence() {
	if p := s.progress[s.previous.id]; p != nil {
		p.lastReplyAt = max(s.previous.at, s.now-s.cfg.VoterTimeout)
	}
}

// updateProgress adds progress for new members and deletes it for removed ones.
func (s *State) updateProgress() {
	for id := range s.progress {
		if _, ok := s.membership.Find(id); !ok {
			delete(s.progress, id)
		}
	}
	for _, m := range s.membership.Members {
		if m.ID != s.id && s.progress[m.ID] == nil {
			s.progress[m.ID] = &progress{next: s.log.last() + 1, probing: true, lastReplyAt: s.now}
		}
	}
}

// appendEntries sets the index and term of entries and appends them to the
// leader's log.
func (s *State) appendEntries(entries []Entry) {
	first := s.log.last() + 1
	for i := range entries {
		entries[i].Index, entries[i].Term = first+uint64(i), s.hardState.Term
	}
	s.log.truncateAndAppend(entries)
	s.uncommittedBytes += dataBytes(entries)
	s.markEntriesDirty(first)
	if entries[0].Kind == EntryMembership {
		s.updateMembership()
		s.updateProgress()
	}
}

func (s *State) emitAccepted(count int) {
	n := uint64(count)
	s.emit(Accepted{First: s.log.last() + 1 - n, Term: s.hardState.Term, Count: n})
}

func (s *State) propose(data [][]byte) {
	switch {
	case s.role != leader:
		s.emitRefused(NotLeader)
		return
	case s.transferTarget != "" || s.log.last()-s.commit > maxUncommitted || s.uncommittedBytes > maxUncommittedBytes:
		s.emitRefused(Busy)
		return
	case len(data) == 0:
		s.emitRefused(Invalid)
		return
	}
	entries := make([]Entry, len(data))
	for i, d := range data {
		entries[i] = Entry{Kind: EntryData, Data: d}
	}
	s.appendEntries(entries)
	s.emitAccepted(len(entries))
}

func (s *State) emitRefused(r Reason) {
	m, _ := s.membership.Find(s.leader)
	s.emit(Refused{Reason: r, Leader: s.leader, LeaderAddress: m.Address})
}

func (s *State) tickLeader() {
	// A leader that received nothing from a majority for the maximum election
	// timeout can't commit entries, and its followers may have another leader.
	// A leader with a stalled disk can't commit either.
	if !s.quorumActive(s.membership, 2*s.cfg.ElectionTimeout) || s.disk.stalled(s) {
		s.becomeFollower(s.hardState.Term, "")
		return
	}
	if s.transferTarget != "" && s.now >= s.transferDeadline {
		s.transferTarget = ""
	}
	s.confirmOwnCommit()
	if s.now >= s.nextHeartbeat {
		s.nextHeartbeat = s.now + s.cfg.HeartbeatInterval
		for _, m := range s.membership.Members {
			if m.ID != s.id {
				s.sendHeartbeat(m)
			}
		}
	}
	s.balanceVoters()
}

func (s *State) sendHeartbeat(m Member) {
	p := s.progress[m.ID]
	s.send(Message{
		Kind: MessageHeartbeat, To: m.ID, Term: s.hardState.Term, Index: p.match, Commit: s.commit,
		Voter: !m.Learner, Confirmed: s.canServeReads(),
		LeaderTime: int64(s.now), PeerTime: p.peerTime, Session: p.session,
	})
}

// quorumActive reports whether a majority of the voters of m replied within the
// last d. This replica counts as active if it is a voter.
func (s *State) quorumActive(m Membership, d time.Duration) bool {
	n := 0
	for _, x := range m.Members {
		if x.Learner {
			continue
		}
		if s.active(x.ID, d) {
			n++
		}
	}
	return n >= m.Quorum()
}

// leaseEnd returns the time at which the leader's lease expires, or 0 if there is no
// lease.
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
		} else if p := s.progress[m.ID]; p != nil && p.hasAck {
			sent = append(sent, p.ackSentAt)
		}
	}
	q := s.membership.Quorum()
	if len(sent) < q {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-q] + time.Duration(float64(s.cfg.LeaseDuration)*(1-MaxClockDrift))
}

// canServeReads reports whether the lease is valid and the commit index covers all
// entries committed by earlier leaders.
func (s *State) canServeReads() bool {
	return s.role == leader && s.commit >= s.termStart && s.now < s.leaseEnd()
}

// confirmOwnCommit records the current time and commit index as confirmed if this
// replica is the leader and holds its lease.
func (s *State) confirmOwnCommit() {
	if s.canServeReads() {
		s.confirmed, s.confirmedAt, s.confirmedCommit = true, s.now, s.commit
	}
}

func (s *State) onFollowerReply(m Message) {
	p := s.progress[m.From]
	if p == nil {
		return
	}
	p.lastReplyAt = s.now
	switch m.Kind {
	case MessageHeartbeatReply:
		s.onHeartbeatReply(p, m)
	case MessageAppendReply:
		s.onAppendReply(p, m)
	case MessageSnapshotReply:
		if m.Index == p.snapshotIndex && m.Chunk != nil {
			total := uint64(len(s.snapshot.Data))
			p.snapshotOffset = min(m.Chunk.Offset, total)
			p.awaitingReply = p.snapshotOffset == total // wait until the follower has saved the snapshot
		}
	}
	s.maybeTransfer()
}

func (s *State) onHeartbeatReply(p *progress, m Message) {
	at := durationOf(m.LeaderTime)
	if s.mutate.leaseFromReceipt {
		at = s.now
	}
	if at >= s.leaseNotBefore && (!p.hasAck || at > p.ackSentAt) {
		p.hasAck, p.ackSentAt = true, at
	}
	if m.Session != p.session || m.PeerTime > p.peerTime {
		p.session, p.peerTime = m.Session, m.PeerTime
	}
	if durationOf(m.LeaderTime) < p.lastAppendAt {
		return
	}
	// The heartbeat was sent after the last append. If the append is still
	// unacknowledged, the append or its reply was lost.
	switch {
	case p.probing:
		p.awaitingReply = false
	case m.Index+1 < p.next:
		p.next = max(p.match, m.Index) + 1
		p.probing, p.awaitingReply, p.inflight = true, false, 0
	case p.match+1 < p.next:
		p.inflight = 0
		s.sendAppend(m.From, p, nil)
	}
}

func (s *State) onAppendReply(p *progress, m Message) {
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		// The hint skips a whole term and may be lower than the known match.
		if at := max(m.Index, p.match); at+1 < p.next {
			p.next = at + 1
			p.probing, p.awaitingReply, p.inflight = true, false, 0
		}
		return
	}
	if m.Index > s.log.last() {
		return // the entry was not sent by this leader
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	if p.snapshotIndex == 0 && p.match+1 >= p.next {
		p.probing, p.awaitingReply = false, false
	}
}

// replicate sends missing entries or snapshot chunks to id, with at most
// maxInflight unacknowledged appends.
func (s *State) replicate(id ID) {
	p := s.progress[id]
	if p == nil {
		return
	}
	for !p.awaitingReply && p.inflight < maxInflight {
		if p.next <= s.log.base {
			s.sendChunk(id, p)
			return
		}
		p.snapshotIndex = 0
		entries := s.log.entriesFrom(p.next, s.log.last(), s.cfg.BatchBytes)
		if len(entries) == 0 && !p.probing {
			return
		}
		s.sendAppend(id, p, entries)
		if p.probing {
			p.awaitingReply = true
			return
		}
		p.inflight++
		p.next += uint64(len(entries))
	}
}

func (s *State) sendAppend(id ID, p *progress, entries []Entry) {
	prevTerm, _ := s.log.term(p.next - 1)
	p.lastAppendAt = s.now
	s.send(Message{
		Kind: MessageAppend, To: id, Term: s.hardState.Term, Index: p.next - 1, LogTerm: prevTerm,
		Commit: s.commit, Entries: entries, Voter: s.membership.IsVoter(id),
	})
}

// sendChunk sends the next chunk of the snapshot. After the last chunk, it sends
// empty chunks to check whether the follower still has the snapshot.
func (s *State) sendChunk(id ID, p *progress) {
	if p.snapshotIndex != s.snapshot.Index {
		p.snapshotIndex, p.snapshotOffset = s.snapshot.Index, 0
	}
	data := s.snapshot.Data[p.snapshotOffset:]
	data = data[:min(len(data), s.cfg.ChunkBytes)]
	p.probing, p.awaitingReply, p.lastAppendAt = true, true, s.now
	s.send(Message{
		Kind: MessageSnapshot, To: id, Term: s.hardState.Term, Voter: s.membership.IsVoter(id),
		Index: s.snapshot.Index, LogTerm: s.snapshot.Term,
		Chunk: &Chunk{
			Offset: p.snapshotOffset, Total: uint64(len(s.snapshot.Data)),
			Data: data, Membership: s.snapshot.Membership,
		},
	})
}

// maybeCommit advances the commit index to the last entry synced by a majority and
// by this replica, if that entry is of the current term (Raft, section 5.4.2).
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
	if t, ok := s.log.term(to); to <= s.commit || !ok || t != s.hardState.Term {
		return
	}
	s.uncommittedBytes -= dataBytes(s.log.entriesFrom(max(s.commit+1, s.termStart), to, math.MaxInt))
	s.commit = to
	s.confirmOwnCommit()
	for _, m := range s.membership.Members {
		if m.ID != s.id {
			s.send(Message{Kind: MessageCommit, To: m.ID, Term: s.hardState.Term, Commit: s.commit, Voter: !m.Learner})
		}
	}
	if _, ok := s.membership.Find(s.id); !ok && s.membershipIndex <= s.commit {
		s.becomeFollower(s.hardState.Term, "") // this leader was removed from the group
	}
}

// startTransfer starts a leadership transfer to the voter to, or to the voter with
// the highest match index if to is empty.
func (s *State) startTransfer(to ID) {
	if s.role != leader {
		s.emitRefused(NotLeader)
		return
	}
	var best *progress
	for _, m := range s.membership.Members {
		p := s.progress[m.ID]
		if p == nil || m.Learner || s.now-p.lastReplyAt > s.cfg.ElectionTimeout || to != "" && to != m.ID {
			continue
		}
		if best == nil || p.match > best.match {
			best, s.transferTarget = p, m.ID
		}
	}
	if best == nil {
		s.emitRefused(NoMajority)
		return
	}
	s.transferDeadline = s.now + s.cfg.ElectionTimeout
	s.maybeTransfer()
}

// maybeTransfer requests an immediate election by the transfer target once the
// target has the entire log. This replica then becomes a follower, because the
// target's election does not wait for the lease to expire.
func (s *State) maybeTransfer() {
	p := s.progress[s.transferTarget]
	if s.transferTarget == "" || p == nil || p.match != s.log.last() {
		return
	}
	s.send(Message{Kind: MessageTimeoutNow, To: s.transferTarget, Term: s.hardState.Term, Voter: true})
	s.becomeFollower(s.hardState.Term, "")
}

func durationOf(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }
