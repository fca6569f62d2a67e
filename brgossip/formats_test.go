package brgossip

import (
	"testing"

	"bramleyroute/brtest"
)

// TestFormats guards against records that a daemon of another build misreads.
func TestFormats(t *testing.T) {
	brtest.CheckFormats(t,
		brtest.Value("names", []string{KindDaemon, pushHello, pushRecord, pushSubscribe}),
		brtest.Value("names/confirm", callConfirm),
		brtest.Message[helloMessage]("hello"),
		// 294156b writes the names of fields instead of numbers.
		brtest.Message[batch]("records").NotShared("294156b"),
		brtest.Message[subscribeMessage]("subscribe"),
		brtest.Message[Daemon]("daemon"),
		brtest.Message[confirmRequest]("confirm"),
		brtest.Message[confirmReply]("confirm_reply"),
	)
}
