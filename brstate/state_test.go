package brstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"github.com/sebdah/goldie/v2"
)

var base = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

// machine applies commands to a state with growing indexes, ids and times.
type machine struct {
	*State
	t   testing.TB
	at  time.Time
	ids int
}

func newMachine(t testing.TB) *machine { return &machine{State: New(), t: t, at: base} }

func (m *machine) do(c Command) (brwire.ProposeReply, *Change) {
	if c.ID == "" {
		m.ids++
		c.ID = fmt.Sprint("command-", m.ids)
	}
	c.At = m.at
	return m.apply(mustEncode(c))
}

func (m *machine) apply(data []byte) (brwire.ProposeReply, *Change) {
	return m.Apply(m.Index()+1, data)
}

// must applies a command that must succeed.
func (m *machine) must(c Command) brwire.ProposeReply {
	m.t.Helper()
	r, _ := m.do(c)
	if r.Error != nil {
		m.t.Fatal(r.Error)
	}
	return r
}

// refused applies a command that must fail with a kind.
func (m *machine) refused(c Command, k brerror.Kind) brwire.ProposeReply {
	m.t.Helper()
	r, change := m.do(c)
	if r.Error == nil || r.Error.Kind != k || change != nil {
		m.t.Errorf("got %v, want %v", r.Error, k)
	}
	return r
}

func document(customers int) *brconfig.Document {
	d := &brconfig.Document{
		Models: []brconfig.Model{{Name: "large", Kind: "engine"}},
		Templates: []brconfig.Template{{Name: "t", Routes: []brconfig.Route{
			{Name: "drafting", Model: "large", Tier: 4, FirstTokenMS: 2000, DeadlineMS: 60_000},
			{Name: "question", Model: "large", Tier: 1, FirstTokenMS: 400, DeadlineMS: 4000}}}},
	}
	for i := range customers {
		tier, target := 1+i%5, 500+i%400
		d.Customers = append(d.Customers, brconfig.Customer{Name: fmt.Sprintf("customer-%03d", i), Template: "t", Weight: 1 + i%7, Keys: []string{fmt.Sprintf("key-of-customer-%027d", i)},
			Parameters: []brconfig.Parameters{{Route: "drafting", Tier: &tier}, {Route: "question", FirstTokenMS: &target}}})
	}
	return d
}

func put(expected uint64, d *brconfig.Document) Command {
	return Command{PutConfiguration: &PutConfiguration{Expected: expected, Document: d}}
}

func requestID(t time.Time, n byte) string {
	ms := t.UnixMilli()
	return uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80, 15: n}.String()
}

// Guards against two operators that overwrite each other, against a resend that
// gets another answer than the first, and against an invalid document.
func TestTwoOperators(t *testing.T) {
	m := newMachine(t)
	m.must(put(0, document(2)))
	a, b := put(1, document(3)), put(1, document(4))
	a.ID, b.ID = "a", "b"
	first := m.must(a)
	if r := m.refused(b, brerror.RevisionConflict); r.Revision != 2 {
		t.Errorf("conflict states revision %d", r.Revision)
	}
	m.must(put(2, document(5)))
	if again := m.must(a); !cmp.Equal(again, first) {
		t.Error(cmp.Diff(first, again))
	}
	bad := document(5)
	bad.Customers[1].Weight, bad.Models[0].Kind = -1, "x"
	r := m.refused(put(5, bad), brerror.RevisionConflict)
	r = m.refused(put(r.Revision, bad), brerror.InvalidRequest)
	if got, _ := brwire.Decode[PutResult](r.Result); len(got.Problems) != 2 || r.Error.Field != "models[0].kind" {
		t.Errorf("problems %v, field %s", got.Problems, r.Error.Field)
	}
	if n := len(m.View().Configuration.Customers); n != 5 {
		t.Errorf("%d customers", n)
	}
	m.at = m.at.Add(ResultRetention)
	m.refused(a, brerror.RevisionConflict) // forgotten after a day, and still without effect
}

// Guards against a second rollout of a model, a second outcome, an outcome after
// the date, and a move that is started again although it was decided.
func TestRollouts(t *testing.T) {
	m := newMachine(t)
	d := document(2)
	by := base.Add(time.Hour)
	d.Templates[0].Moves = []brconfig.Move{{Model: "large", From: "v1", To: "v2", FinishBy: base.Add(2 * time.Hour)}}
	d.Customers[1].Parameters[1].MoveBy = &by
	m.must(put(0, d))
	r := m.View().Rollouts[0]
	if r.ID != "move-large-1" || !r.FinishBy.Equal(base.Add(time.Hour)) {
		t.Fatalf("started %+v", r)
	}
	start := func(id string) Command {
		return Command{StartRollout: &StartRollout{ID: id, Model: "large", From: "v2", To: "v3", FinishBy: base.Add(3 * time.Hour)}}
	}
	m.refused(start("r3"), brerror.RevisionConflict)
	m.must(Command{UpdateRollout: &UpdateRollout{ID: r.ID, Expected: r.Revision, Stage: 1, SharePerMille: 10, Tripped: []string{"q", "d", "q"}}})
	m.refused(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}}, brerror.RevisionConflict)
	r, _ = m.View().Rollout(r.ID)
	m.at = base.Add(time.Hour + time.Second)
	m.refused(Command{UpdateRollout: &UpdateRollout{ID: r.ID, Expected: r.Revision, SharePerMille: 20}}, brerror.InvalidRequest)
	m.refused(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}}, brerror.InvalidRequest)
	m.must(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: TakenBack, Reason: "late"}})
	r, _ = m.View().Rollout(r.ID)
	m.refused(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: TakenBack}}, brerror.RevisionConflict)
	d.Customers[0].Weight = 3
	m.must(put(1, d))
	later := base.Add(4 * time.Hour)
	d.Templates[0].Moves[0].FinishBy, d.Customers[1].Parameters[1].MoveBy = later, nil
	m.must(put(m.View().ConfigurationRevision, d))
	if n := len(m.View().Rollouts); n != 2 {
		t.Fatalf("%d rollouts after the new date", n)
	}
	r = m.View().Rollouts[1]
	m.must(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}})
	m.must(start("r3"))
	if got, _ := m.View().Rollout(r.ID); got.SharePerMille != FullShare || got.Outcome != Finished || len(m.View().Rollouts) != 3 {
		t.Errorf("rollouts %+v", m.View().Rollouts)
	}
}

// Guards against an order without the lease, and against wrong answers to
// requests whose entry is gone.
func TestOrdersAndLedger(t *testing.T) {
	m := newMachine(t)
	order := &PlaceOrder{ID: "o", Lease: "endpoint/e", Holder: "a", Epoch: 1, EndpointID: "e", Kind: "load"}
	m.refused(Command{PlaceOrder: order}, brerror.NotOwner)
	m.must(Command{AcquireLease: &brlease.Acquire{Name: "endpoint/e", Holder: "a", Duration: time.Second}})
	m.must(Command{PlaceOrder: order})
	m.must(Command{FinishOrder: &FinishOrder{ID: "o", OK: true}})
	m.must(Command{FinishOrder: &FinishOrder{ID: "o"}})
	if o, _ := m.Order("o"); !o.OK || len(m.OpenOrders()) != 0 {
		t.Errorf("order %+v", o)
	}
	begin := Command{BeginRequest: &brledger.Begin{RequestID: requestID(base, 1), Entry: "e1"}}
	m.must(Command{RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: "e1"}}})
	m.must(begin)
	m.refused(begin, brerror.InProgress)
	m.must(Command{DeregisterDaemon: &DeregisterDaemon{DaemonID: "e1"}})
	m.refused(begin, brerror.UnknownOutcome)
	m.must(Command{FinishRequest: &brledger.Finish{RequestID: requestID(base, 1), Entry: "e1", Answer: brledger.Answer{Status: 201}}})
	if got, err := brwire.Decode[BeginResult](m.must(begin).Result); err != nil || got.Begun || got.Record.Answer.Status != 201 {
		t.Errorf("resend: %+v, %v", got, err)
	}
}

// Guards against a log entry or a snapshot that stops the replicas.
func TestMalformed(t *testing.T) {
	m := newMachine(t)
	for _, data := range [][]byte{nil, {0xff}, mustEncode(Command{ID: "x"}), mustEncode(Command{RegisterDaemon: &RegisterDaemon{}}),
		mustEncode(Command{ID: "x", RenewLease: &brlease.Renew{}, ReleaseLease: &brlease.Release{}})} {
		if r, _ := m.apply(data); r.Error == nil || r.Error.Kind != brerror.InvalidRequest {
			t.Errorf("%x: %v", data, r.Error)
		}
	}
	snapshot := m.Snapshot()
	for n := range len(snapshot) {
		if _, err := Restore(snapshot[:n]); err == nil {
			t.Errorf("restored %d of %d bytes", n, len(snapshot))
		}
	}
}

// Guards against a change of the log's or the messages' format that a replica or
// daemon of the release before can't read.
func TestFormat(t *testing.T) {
	at := base.Add(time.Hour)
	rows := []any{
		Command{ID: "1", At: at, PutConfiguration: &PutConfiguration{Expected: 7, Change: &brconfig.Change{Customers: document(1).Customers, RemovedModels: []string{"m"}}}},
		Command{ID: "2", At: at, RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: "d", Roles: []brwire.Role{brwire.RoleEntry}}}},
		Command{ID: "3", At: at, DeregisterDaemon: &DeregisterDaemon{"d", "i", false}},
		Command{ID: "4", At: at, AcquireLease: &brlease.Acquire{Name: "l", Holder: "d", Duration: time.Second, Lapsed: &brlease.Term{Epoch: 1, Renewals: 2}}},
		Command{ID: "5", At: at, RenewLease: &brlease.Renew{Name: "l", Holder: "d", Epoch: 1}},
		Command{ID: "6", At: at, ReleaseLease: &brlease.Release{Name: "l", Holder: "d", Epoch: 1}},
		Command{ID: "7", At: at, BeginRequest: &brledger.Begin{RequestID: "r", Entry: "d", Endpoint: "e"}},
		Command{ID: "8", At: at, FinishRequest: &brledger.Finish{RequestID: "r", Entry: "d", Answer: brledger.Answer{Status: 200, ContentType: "t", Body: []byte("b")}}},
		Command{ID: "9", At: at, ReleaseRequest: &brledger.Release{RequestID: "r", Entry: "d"}},
		Command{ID: "10", At: at, StartRollout: &StartRollout{"r", "m", "p", "v1", "v2", at}},
		Command{ID: "11", At: at, UpdateRollout: &UpdateRollout{"r", 3, 1, 10, []string{"q"}}},
		Command{ID: "12", At: at, FinishRollout: &FinishRollout{"r", 3, Finished, "good"}},
		Command{ID: "13", At: at, PlaceOrder: &PlaceOrder{"o", "l", "d", 1, "e", "load", "v", "a", "r"}},
		Command{ID: "14", At: at, FinishOrder: &FinishOrder{"o", true, "done"}},
		Change{Revision: 9, Previous: 8, Configuration: &brconfig.Change{RemovedCustomers: []string{"c"}}, Owners: []Owner{{"p", "d", 4}}, Daemons: []brwire.Daemon{{ID: "d"}},
			RemovedDaemons: []string{"x"}, Rollouts: []Rollout{{ID: "r", Tripped: []string{"q"}, Outcome: TakenBack, EndedAt: at}}, RemovedRollouts: []string{"y"}},
		frame{Header: &header{snapshotFormat, 9, at, 8, 7, 6}, Leases: []brlease.Lease{{Name: "l"}}, Records: []brledger.Record{{RequestID: "r"}}, Orders: []Order{{DoneAt: at}}, Results: []result{{ID: "c"}}, LastFrame: true},
	}
	var text strings.Builder
	for _, r := range rows {
		line, err := cbor.Diagnose(mustEncode(r))
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(line + "\n")
	}
	goldie.New(t).Assert(t, "format", []byte(text.String()))
}

// Guards against a configuration that differs between replicas in different time
// zones, and against an offset that can be decoded but not encoded.
func TestTimeZones(t *testing.T) {
	m := newMachine(t)
	d := document(1)
	by := base.Add(time.Hour).In(time.FixedZone("", 23*3600))
	d.Templates[0].Moves = []brconfig.Move{{Model: "large", From: "v1", To: "v2", FinishBy: by}}
	d.Customers[0].Parameters[0].MoveBy = &by
	m.must(put(0, d))
	c := m.View().Configuration
	if c.Templates[0].Moves[0].FinishBy != by.UTC() || *c.Customers[0].Parameters[0].MoveBy != by.UTC() {
		t.Errorf("times are %v and %v", c.Templates[0].Moves[0].FinishBy, c.Customers[0].Parameters[0].MoveBy)
	}
	again := put(1, d)
	again.ID = "again"
	for _, offset := range []string{"+24:00", "-24:00", "+23:60"} {
		m.apply(bytes.ReplaceAll(mustEncode(again), []byte("+23:00"), []byte(offset)))
		m.Snapshot()
	}
}

// Guards against a log entry that stops all replicas.
func FuzzApply(f *testing.F) {
	f.Add(mustEncode(put(0, document(2))), mustEncode(Command{ID: "2", At: base, StartRollout: &StartRollout{"r", "large", "p", "v1", "v2", base}}))
	f.Add(mustEncode(Command{ID: "1", At: base, AcquireLease: &brlease.Acquire{Name: "l", Holder: "d", Duration: time.Second}}), mustEncode(Command{ID: "2", PlaceOrder: &PlaceOrder{ID: "o", Lease: "l", Holder: "d", Epoch: 1, EndpointID: "e", Kind: "k"}}))
	f.Add(mustEncode(Command{ID: "1", At: base, BeginRequest: &brledger.Begin{RequestID: requestID(base, 1), Entry: "d"}}), mustEncode(Command{ID: "2", FinishRequest: &brledger.Finish{RequestID: requestID(base, 1), Entry: "d"}}))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s := New()
		s.Apply(1, a)
		s.Apply(2, b)
		if _, err := Restore(s.Snapshot()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a sender that claims itself that a lease lapsed.
func TestStamped(t *testing.T) {
	c := Command{AcquireLease: &brlease.Acquire{Name: "p", Lapsed: &brlease.Term{Epoch: 9}}}
	if got := c.Stamped(base, func(string) (brlease.Term, bool) { return brlease.Term{}, false }); got.AcquireLease.Lapsed != nil || !got.At.Equal(base) {
		t.Errorf("%+v", got.AcquireLease)
	}
	got := c.Stamped(base, func(string) (brlease.Term, bool) { return brlease.Term{Epoch: 4, Renewals: 2}, true })
	if *got.AcquireLease.Lapsed != (brlease.Term{Epoch: 4, Renewals: 2}) || c.AcquireLease.Lapsed.Epoch != 9 {
		t.Errorf("%+v, from %+v", got.AcquireLease, c.AcquireLease)
	}
}

// Guards against a distribution that grows with the number of customers.
func TestChangeSize(t *testing.T) {
	for _, n := range []int{5, 860} {
		m := newMachine(t)
		m.must(put(0, document(n)))
		_, change := m.do(oneCustomer(m, 41))
		if got := len(mustEncode(*change)); got > 1024 {
			t.Errorf("change of one of %d customers has %d bytes", n, got)
		}
	}
}

// Guards against a watcher that misses changes when it is far behind.
func TestHistory(t *testing.T) {
	var h History
	for i := uint64(1); i <= HistorySize+7; i++ {
		h.Add(Change{Revision: 2 * i, Previous: 2 * (i - 1)})
	}
	last := uint64(2 * (HistorySize + 7))
	for _, c := range []struct {
		from uint64
		n    int
		ok   bool
	}{{12, 0, false}, {14, HistorySize, true}, {15, 0, false}, {last - 2, 1, true}, {last, 0, true}, {last + 2, 0, false}} {
		got, ok := h.After(c.from)
		if len(got) != c.n || ok != c.ok || c.n > 0 && (got[0].Previous != c.from || got[c.n-1].Revision != last) {
			t.Errorf("after %d: %d changes, %v", c.from, len(got), ok)
		}
	}
}

func Example() {
	s := New()
	entry, _ := Command{ID: "1", At: base, AcquireLease: &brlease.Acquire{Name: PoolLease("large@gauteng"), Holder: "vm-3", Duration: 3 * time.Second}}.Encode()
	_, change := s.Apply(1, entry)
	view := View{}.With(*change) // at a daemon that watches
	owner, _ := view.Owner("large@gauteng")
	fmt.Println(owner.Holder, owner.Epoch, view.Revision)
	// Output: vm-3 1 1
}
