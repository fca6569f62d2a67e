package brdaemon

import (
	"testing"

	"bramleyroute/brmember"
	"bramleyroute/broperator"
	"bramleyroute/brpool"
	"bramleyroute/brrollout"
	"bramleyroute/brtest"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// TestFormats guards against messages, and progress of rollouts in the log, that a daemon
// of another build misreads.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("names", []string{
			nameReports, nameLedgerRecord, nameEndpoints, nameRequestEndpoints, nameSuspendForLoad, nameHistory,
			namePoolStatus, nameStatus, nameDrain,
		}),
		brtest.Value("endpoint_known/name", nameEndpointKnown),
		brtest.Message[endpointQuery]("endpoint_known"),
		brtest.Message[endpointReply]("endpoint_known/reply"),
		brtest.Message[ViewUpdate]("change"),
		brtest.Message[RecordQuery]("ledger_record"),
		brtest.Message[RecordReply]("ledger_record/reply"),
		brtest.Message[EndpointReport]("endpoints"),
		brtest.Message[brwire.PoolMessage[brpool.SuspendForLoad]]("load"),
		brtest.Message[timelineQuery]("timeline"),
		brtest.Value("timeline/reply", timelineReply{Events: []brtimeline.Event{{Kind: brtimeline.ProcessStarted, Process: "d", Detail: "x"}}, Truncated: true}),
		brtest.Message[[]brmember.Report]("reports/reply"),
		brtest.Message[[]broperator.HistoryEntry]("history/reply"),
		brtest.Message[broperator.Status]("daemon_status/reply"),
		// The field "alone" was removed after these builds.
		brtest.Message[brrollout.State]("rollout/progress").NotShared("6e4e0a6", "be68923", "df5154f", "294156b"),
	)
}
