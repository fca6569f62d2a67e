package brmember

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
	"github.com/google/go-cmp/cmp"
)

var zero = time.Unix(1000, 0)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

// newConfirmedDaemon returns daemon a of a, b and c. It was confirmed with revision
// 5 at 0 ms, holds lease p and sends its first query at 2,900 ms.
func newConfirmedDaemon() *Daemon {
	d := NewDaemon(zero, "a")
	d.Step(zero, Registered{[]string{"a", "b", "c"}})
	d.Step(zero, Applied{5})
	d.Step(zero, Tick{})
	d.Step(zero, ReplyReceived{brwire.HeartbeatReply{Sequence: 1, Confirmed: true, Revision: 5}})
	d.Step(zero, LeaseGranted{brlease.Lease{Name: "p", Holder: "a", Epoch: 4, Duration: 3 * time.Second}, zero})
	d.Step(at(2900), Tick{})
	return d
}

// Guards against replies that are wrongly counted toward an exemption or a lease
// extension: from other rounds, unregistered or just started daemons, with a newer
// revision, or after the lease has expired.
func TestQueryReplies(t *testing.T) {
	unconfirmed := brwire.ConfirmedReply{Ready: true, Revision: 5}
	for _, c := range []struct {
		name     string
		from     string
		round    uint64
		at       int // arrival, ms
		reply    brwire.ConfirmedReply
		standing Standing // at 3,100 ms
		holds    bool     // at 3,100 ms
	}{
		{"unconfirmed", "b", 1, 2950, unconfirmed, Exempt, true},
		{"older revision", "b", 1, 2950, brwire.ConfirmedReply{Ready: true, Revision: 4}, Exempt, true},
		{"newer revision", "b", 1, 2950, brwire.ConfirmedReply{Ready: true, Revision: 6}, Unconfirmed, false},
		{"confirmed", "b", 1, 2950, brwire.ConfirmedReply{Ready: true, Confirmed: true, Revision: 5}, Unconfirmed, false},
		{"just started", "b", 1, 2950, brwire.ConfirmedReply{Revision: 5}, Unconfirmed, false},
		{"not registered", "x", 1, 2950, unconfirmed, Unconfirmed, false},
		{"other round", "b", 9, 2950, unconfirmed, Unconfirmed, false},
		{"after the lease expired", "b", 1, 2975, unconfirmed, Exempt, false},
	} {
		d := newConfirmedDaemon()
		d.Step(at(c.at), QueryReplyReceived{c.round, c.from, c.reply})
		if _, holds := d.Holds(at(3100), "p"); d.Standing(at(3100)) != c.standing || holds != c.holds {
			t.Errorf("%s: unexpected state at 3,100 ms: standing %v, holds lease %v", c.name, d.Standing(at(3100)), holds)
		}
		if d.Standing(at(2900+1500)) != Unconfirmed || d.AcceptsWork(at(4400)) {
			t.Errorf("%s: daemon accepts work after the extension ended", c.name)
		}
	}
}

// Guards against a process that uses a lease after a freeze. The lease must be
// invalid before the next step, and the next step must drop it.
func TestFreeze(t *testing.T) {
	d := newConfirmedDaemon()
	d.Step(at(2950), QueryReplyReceived{1, "b", brwire.ConfirmedReply{Ready: true, Revision: 5}})
	d.Step(at(2960), LeaseGranted{brlease.Lease{Name: "long", Holder: "a", Epoch: 2, Duration: time.Minute}, at(2960)})
	if _, ok := d.Holds(at(5960), "long"); ok {
		t.Error("lease is still valid 3 s after the last step")
	}
	got := d.Step(at(5960), LeaseRenewed{brlease.Lease{Name: "long", Epoch: 2, Duration: time.Minute}, at(2960)})
	if diff := cmp.Diff(Effect(Frozen{3 * time.Second, []string{"long", "p"}}), got[0]); diff != "" {
		t.Error(diff)
	}
	if _, ok := d.Holds(at(5961), "long"); ok {
		t.Error("lease is still valid after the freeze was detected")
	}
}

// Guards against a period of uninterrupted confirmation that continues although
// the daemon replied "unconfirmed" to an owner, and against a leader that counts a
// daemon whose period is shorter than MinConfirmedFor.
func TestUnconfirmedReplyResetsConfirmedFor(t *testing.T) {
	d, s, l := newConfirmedDaemon(), &Sessions{}, NewLeader(zero)
	d.Step(at(2950), QueryReceived{"b"})
	s.Step(at(2960), HeartbeatReceived{brwire.Heartbeat{Daemon: brwire.Daemon{ID: "a"}, Sequence: 2}})
	s.Step(at(2960), ReplySent{"a", 2})
	for _, ef := range d.Step(at(2970), ReplyReceived{brwire.HeartbeatReply{Sequence: 2, Confirmed: true, Revision: 5}}) {
		if ack, ok := ef.(SendAck); ok {
			s.Step(at(2980), AckReceived(ack))
		}
	}
	l.Report(at(2990), s.Reports(at(2995)))
	if l.daemons["a"].confirmedFor != 20*time.Millisecond || l.Confirmed(at(3000), []string{"a"}) || !l.Live(at(3000), []string{"a"}) {
		t.Errorf("leader has %+v, want 20 ms of confirmation, live but not confirmed", l.daemons["a"])
	}
}

// Guards against a replica that reports daemons as lost immediately when its own
// network has failed, and against a delayed report of a single lost daemon.
func TestSessions(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent []int // indexes among 12 daemons, four per failure domain
		want   map[int][]SessionEffect
	}{
		{"one", []int{0}, map[int][]SessionEffect{3000: {Lost{[]string{"d00"}}}}},
		{"one per domain", []int{0, 4, 8}, map[int][]SessionEffect{3000: {Lost{[]string{"d00", "d04", "d08"}}}}},
		{"half of a domain", []int{0, 1}, map[int][]SessionEffect{3000: {OwnNetworkSuspected{true}}, 8000: {Lost{[]string{"d00", "d01"}}}, 8100: {OwnNetworkSuspected{false}}}},
		{"a third of all", []int{0, 4, 8, 9}, map[int][]SessionEffect{3000: {OwnNetworkSuspected{true}}, 8000: {Lost{[]string{"d00", "d04", "d08", "d09"}}}, 8100: {OwnNetworkSuspected{false}}}},
	} {
		s, got := &Sessions{}, map[int][]SessionEffect{}
		for ms := 0; ms <= 9000; ms += 100 {
			for i := range 12 {
				silent := false
				for _, j := range c.silent {
					silent = silent || i == j && ms > 0
				}
				if !silent {
					id := fmt.Sprintf("d%02d", i)
					s.Step(at(ms), HeartbeatReceived{brwire.Heartbeat{Daemon: brwire.Daemon{ID: id, FailureDomain: fmt.Sprint(i / 4)}}})
				}
			}
			if ef := s.Step(at(ms), SessionTick{}); ef != nil {
				got[ms] = ef
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Guards against a leader that removes daemons while it may be isolated, that is,
// without live sessions of a majority.
func TestRemovable(t *testing.T) {
	l, ids := NewLeader(zero), []string{"a", "b", "c"}
	late := at(10 * 60 * 1000)
	l.Report(late, []Report{{DaemonID: "a"}})
	if got := l.Removable(late, ids); got != nil {
		t.Errorf("removable without a live majority: %v, want none", got)
	}
	l.Report(late, []Report{{DaemonID: "b"}})
	if diff := cmp.Diff([]string{"c"}, l.Removable(late, ids)); diff != "" {
		t.Error(diff)
	}
}

func Example() {
	d := NewDaemon(zero, "vm-1")
	d.Step(zero, Registered{[]string{"vm-1", "vm-2", "vm-3"}})
	d.Step(zero, Tick{}) // returns SendHeartbeat
	d.Step(at(3), ReplyReceived{brwire.HeartbeatReply{Sequence: 1, Confirmed: true}})
	fmt.Println(d.Standing(at(2999)), d.Standing(at(3000)))
	// Output: confirmed unconfirmed
}
