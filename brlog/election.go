package brlog

import (
	"fmt"
	"slices"
	"time"
)

func (s *State) receive(m Message) {
	if m.isVoteRequest() && slices.Contains(s.RemovedIDs(), m.From) {
		// The candidate may know this replica under an ID that it had before it lost its
		// disk. If no other replica told it, it would remain a candidate for good.
		s.send(Message{Kind: MessageRemoved, To: m.From, Term: s.hardState.Term})
		return
	}
	if m.To != s.id {
		return
	}
	if s.emptyDisk && !s.mutate.reuseLostID {
		s.receiveOnEmptyDisk(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		s.onVoteRequest(m)
		return
	case MessagePreVoteReply:
		s.onPreVoteReply(m)
		return
	case MessageRemoved:
		s.removalReported = true
		s.halt("replica was removed from the group")
		return
	}
	switch {
	case m.Term > s.hardState.Term:
		s.becomeFollower(m.Term, "")
	case m.Term < s.hardState.Term:
		if m.fromLeader() { // notify a leader of an earlier term of the current one
			s.send(Message{Kind: MessageHeartbeatReply, To: m.From, Term: s.hardState.Term})
		}
		return
	}
	s.receiveInTerm(m)
}

// receiveOnEmptyDisk handles messages while the disk is empty. It accepts only
// messages of a leader whose membership has this replica as a learner. If this
// replica is a voter, its disk was lost, and the replica halts.
func (s *State) receiveOnEmptyDisk(m Message) {
	if !m.fromLeader() {
		return
	}
	if m.Voter {
		s.halt(fmt.Sprintf("replica %s is a voter but its disk is empty", s.id))
		return
	}
	s.emptyDisk = false
	s.receive(m)
}

// receiveInTerm handles a message of the current term.
func (s *State) receiveInTerm(m Message) {
	if m.fromLeader() {
		if s.role == leader {
			panic(fmt.Sprintf("brlog: two leaders in term %d: %s and %s", m.Term, s.id, m.From))
		}
		if s.role != follower || s.leader != m.From {
			s.becomeFollower(m.Term, m.From)
		}
		s.previous = contact{m.From, s.now}
		s.delayVotes()
	}
	switch m.Kind {
	case MessageVoteReply:
		s.onVoteReply(m)
	case MessageHeartbeat:
		s.onHeartbeat(m)
	case MessageAppend:
		s.onAppend(m)
	case MessageCommit:
		s.advanceCommit(m.Commit)
	case MessageSnapshot:
		s.onSnapshotChunk(m)
	case MessageTimeoutNow:
		if s.membership.IsVoter(s.id) {
			s.startElection(true)
		}
	case MessageHeartbeatReply, MessageAppendReply, MessageSnapshotReply:
		if s.role == leader {
			s.onFollowerReply(m)
		}
	}
}

// becomeFollower makes this replica a follower in term. The leader is id, or
// unknown if id is empty.
func (s *State) becomeFollower(term uint64, id ID) {
	if term > s.hardState.Term {
		s.hardState = HardState{Term: term}
		s.markHardStateDirty()
		s.matchIndex = s.commit
	}
	if s.role == leader || id == "" {
		s.electionDeadline = s.now + s.randomElection()
	}
	s.role, s.leader, s.transferTarget = follower, id, ""
	s.votes, s.progress = nil, nil
	if s.incoming != nil && !s.incoming.saving {
		s.incoming = nil
	}
}

func (s *State) randomElection() time.Duration {
	return s.cfg.ElectionTimeout + time.Duration(s.cfg.Random()%uint64(s.cfg.ElectionTimeout))
}

func (s *State) startPreVote() {
	s.role, s.leader = preCandidate, ""
	s.votes = map[ID]bool{s.id: true}
	// Replicas that have just started do not grant votes yet. A pre-vote is cheap
	// to repeat, so its timeout is half of the election timeout.
	s.electionDeadline = s.now + s.randomElection()/2
	s.requestVotes(MessagePreVote, s.hardState.Term+1, false)
	s.checkPreVotes()
}

// startElection starts an election in the next term. The replica's own vote counts
// once it is durable, like any other vote.
func (s *State) startElection(transfer bool) {
	s.role, s.leader = candidate, ""
	s.hardState = HardState{Term: s.hardState.Term + 1, Vote: s.id}
	s.markHardStateDirty()
	s.matchIndex = s.commit
	s.votes = map[ID]bool{}
	s.electionDeadline = s.now + s.randomElection()
	s.requestVotes(MessageVote, s.hardState.Term, transfer)
	s.sendDurable(Message{Kind: MessageVoteReply, To: s.id, Term: s.hardState.Term})
}

func (s *State) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range s.membership.Members {
		if m.ID == s.id || m.Learner {
			continue
		}
		s.sendDurable(Message{
			Kind: kind, To: m.ID, Term: term, Transfer: transfer,
			Index: s.log.last(), LogTerm: s.log.lastTerm(),
		})
	}
}

// votesDelayed reports whether this replica must not grant votes, because a leader
// may hold a lease that depends on it.
func (s *State) votesDelayed() bool { return s.role == leader || s.now < s.voteDelayUntil }

func (s *State) isUpToDate(m Message) bool {
	if t := s.log.lastTerm(); m.LogTerm != t {
		return m.LogTerm > t
	}
	return m.Index >= s.log.last()
}

func (s *State) onVoteRequest(m Message) {
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: s.hardState.Term, Reject: true}
	if m.Kind == MessagePreVote {
		reply.Kind = MessagePreVoteReply
	}
	if m.Term < s.hardState.Term {
		s.send(reply)
		return
	}
	if s.votesDelayed() && !m.Transfer {
		return
	}
	if m.Kind == MessagePreVote {
		if m.Term > s.hardState.Term && s.isUpToDate(m) {
			reply.Reject, reply.Term = false, m.Term
		}
		s.send(reply)
		return
	}
	if m.Term > s.hardState.Term {
		s.becomeFollower(m.Term, "")
	}
	canVote := s.hardState.Vote == "" || s.hardState.Vote == m.From
	if canVote && s.role == follower && s.isUpToDate(m) {
		reply.Reject = false
		if s.hardState.Vote == "" && !s.mutate.skipVoteRecord {
			s.hardState.Vote = m.From
			s.markHardStateDirty()
		}
		s.electionDeadline = s.now + s.randomElection()
	}
	reply.Term = s.hardState.Term
	s.sendDurable(reply)
}

func (s *State) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > s.hardState.Term {
			s.becomeFollower(m.Term, "")
		}
		return
	}
	if s.role == preCandidate && m.Term == s.hardState.Term+1 {
		s.votes[m.From] = true
		s.checkPreVotes()
	}
}

func (s *State) checkPreVotes() {
	if s.countVotes() >= s.membership.Quorum() {
		s.startElection(false)
	}
}

func (s *State) onVoteReply(m Message) {
	if s.role != candidate || m.Reject {
		return
	}
	s.votes[m.From] = true
	if m.From == s.previous.id {
		s.previous.at = s.now
	}
	if s.countVotes() >= s.membership.Quorum() {
		s.becomeLeader()
	}
}

func (s *State) countVotes() int {
	n := 0
	for id := range s.votes {
		if s.membership.IsVoter(id) {
			n++
		}
	}
	return n
}
