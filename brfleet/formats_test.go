package brfleet

import (
	"testing"
	"time"

	"bramleyroute/brconcurrency"
	"bramleyroute/brcore"
	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
	"bramleyroute/brquota"
	"bramleyroute/brtest"
)

// TestFormats guards against records and evidence files that a daemon of another build
// misreads.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("kindEndpoint", kindEndpoint),
		brtest.Value("kindEvidence", kindEvidence),
		brtest.Value("kindEvacuation", kindEvacuation),
		brtest.Value("kindLimit", kindLimit),
		brtest.Value("kindLoad", kindLoad),
		brtest.Value("kindConcurrency", kindConcurrency),
		brtest.Value("kindDomainLoad", kindDomainLoad),
		brtest.Value("kindQuotaUsage", kindQuotaUsage),
		brtest.Value("kindPause", kindPause),
		brtest.Value("kindPolicy", kindPolicy),
		brtest.Value("kindShare", kindShare),
		brtest.Value("kindTally", kindTally),
		brtest.Value("kindPath", kindPath),
		brtest.Message[pathRecord]("path"),
		brtest.Message[evacuationRecord]("evacuation"),
		brtest.Message[Announcement]("endpoint"),
		brtest.Message[brquarantine.Evidence]("evidence"),
		brtest.Value("evidence/subjects", []string{
			brquarantine.Subject{Kind: brquarantine.KindRequest, ID: "x"}.String(), brquarantine.Subject{Kind: brquarantine.KindPart, ID: "x"}.String(),
		}),
		brtest.Value("evidence_file/name", evidenceFile),
		brtest.Message[[]subjectEvidence]("evidence_file"),
		brtest.Message[limitRecord]("limit"),
		// 294156b writes maps instead of arrays, and names totals otherwise.
		brtest.Message[brplace.Report]("load").NotShared("294156b"),
		brtest.Message[brquota.Report]("spent").NotShared("294156b"),
		brtest.Message[brconcurrency.Report]("concurrency"),
		brtest.Message[time.Duration]("pause"),
		brtest.Message[brcore.Document]("policy"),
		brtest.Message[versionShare]("steer"),
		brtest.Message[tallies]("tally"),
		brtest.Value("tally/key", tallyKey("service", "route", "version")),
	)
}
