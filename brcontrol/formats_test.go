package brcontrol

import (
	"testing"

	"bramleyroute/brlog"
	"bramleyroute/brtest"
)

// TestFormats guards against messages that a replica of another build misreads.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("names", []string{callPropose, callRead, callChange, callHello}),
		brtest.Value("names/yield", callYield),
		brtest.Value("message_kinds", []brlog.MessageKind{
			brlog.MessagePreVote, brlog.MessagePreVoteReply, brlog.MessageVote, brlog.MessageVoteReply,
			brlog.MessageHeartbeat, brlog.MessageHeartbeatReply, brlog.MessageAppend, brlog.MessageAppendReply,
			brlog.MessageCommit, brlog.MessageSnapshot, brlog.MessageSnapshotReply, brlog.MessageTimeoutNow, brlog.MessageRemoved,
		}),
		brtest.Value("entry_kinds", []brlog.EntryKind{brlog.EntryData, brlog.EntryNoop, brlog.EntryMembership}),
		brtest.Message[envelope]("log"),
		brtest.Message[brlog.Membership]("membership"),
		brtest.Message[proposeRequest]("propose"),
		brtest.Message[proposeReply]("propose_reply"),
		brtest.Message[indexReply]("index_reply"),
		brtest.Message[changeRequest]("change"),
		brtest.Message[yieldRequest]("yield"),
		brtest.Message[helloReply]("hello_reply"),
	)
}
