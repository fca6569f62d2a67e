package brwire_test

import (
	"testing"

	"bramleyroute/brtest"
	"bramleyroute/brwire"
)

// TestFormats guards against messages that a daemon of another build misreads.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("names", []string{
			brwire.NameHeartbeat, brwire.NameHeartbeatAck, brwire.NameWatch, brwire.NameChange, brwire.NamePropose,
			brwire.NameLog, brwire.NameConfirmed, brwire.NameSamples, brwire.NameTimeline, brwire.NameFetch, brwire.NameTrip,
			brwire.NameSubmit, brwire.NameGrant, brwire.NameRefuse, brwire.NameWithdraw, brwire.NameStarted,
			brwire.NameFirstToken, brwire.NameDone, brwire.NameJoin, brwire.NameIDBound, brwire.NameLocate,
			brwire.NameAttach, brwire.NameReport, brwire.NameHello, brwire.NameTransferRecords,
		}),
		brtest.Value("path_lost/name", brwire.NamePathLost),
		brtest.Message[brwire.PathLost]("path_lost"),
		brtest.Message[brwire.Heartbeat]("heartbeat"),
		brtest.Message[brwire.HeartbeatReply]("heartbeat_reply"),
		brtest.Message[brwire.HeartbeatAck]("heartbeat_ack"),
		brtest.Message[brwire.Watch]("watch"),
		brtest.Message[brwire.Propose]("propose"),
		brtest.Message[brwire.ProposeReply]("propose_reply"),
		brtest.Message[brwire.ConfirmedQuery]("confirmed"),
		brtest.Message[brwire.ConfirmedReply]("confirmed_reply"),
		brtest.Message[[]brwire.Samples]("samples"),
		brtest.Message[brwire.Trip]("trip"),
		brtest.Message[brwire.PoolMessage[brwire.Submit]]("submit"),
		brtest.Message[brwire.PoolMessage[brwire.IDBound]]("bound"),
		brtest.Message[brwire.PoolMessage[brwire.Grant]]("grant"),
		brtest.Message[brwire.PoolMessage[brwire.Refuse]]("refuse"),
		brtest.Message[brwire.PoolMessage[brwire.Withdraw]]("withdraw"),
		brtest.Message[brwire.PoolMessage[brwire.Started]]("started"),
		brtest.Message[brwire.PoolMessage[brwire.FirstToken]]("first_token"),
		brtest.Message[brwire.PoolMessage[brwire.Done]]("done"),
		brtest.Message[brwire.Join]("join"),
		brtest.Message[brwire.JoinReply]("join_reply"),
		brtest.Message[brwire.Locate]("locate"),
		brtest.Message[brwire.LocateReply]("locate_reply"),
		brtest.Message[brwire.Attach]("attach"),
		brtest.Message[brwire.EmptyReply]("empty_reply"),
		brtest.Message[brwire.Hello]("hello"),
		brtest.Message[brwire.PoolMessage[brwire.Announce]]("report"),
		brtest.Message[brwire.TransferRecords]("inherit"),
	)
}
