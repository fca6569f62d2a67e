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

// machine applies commands to a state with increasing indexes and IDs, at time at.
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

// must applies a command and fails the test if it is refused.
func (m *machine) must(c Command) brwire.ProposeReply {
	m.t.Helper()
	r, _ := m.do(c)
	if r.Error != nil {
		m.t.Fatal(r.Error)
	}
	return r
}

// mustFail applies a command that must fail with an error of kind k.
func (m *machine) mustFail(c Command, k brerror.Kind) brwire.ProposeReply {
	m.t.Helper()
	r, change := m.do(c)
	if r.Error == nil || r.Error.Kind != k || change != nil {
		m.t.Errorf("got error %v, want kind %v", r.Error, k)
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

func putDocument(expected uint64, d *brconfig.Document) Command {
	return Command{PutConfiguration: &PutConfiguration{Expected: expected, Document: d}}
}

func requestID(t time.Time, n byte) string {
	ms := t.UnixMilli()
	return uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80, 15: n}.String()
}

// Guards against two operators overwriting each other's changes, against a resent
// command that gets a different reply, and against accepting an invalid document.
func TestTwoOperators(t *testing.T) {
	m := newMachine(t)
	m.must(putDocument(0, document(2)))
	a, b := putDocument(1, document(3)), putDocument(1, document(4))
	a.ID, b.ID = "a", "b"
	first := m.must(a)
	if r := m.mustFail(b, brerror.RevisionConflict); r.Revision != 2 {
		t.Errorf("conflict has revision %d, want 2", r.Revision)
	}
	m.must(putDocument(2, document(5)))
	if again := m.must(a); !cmp.Equal(again, first) {
		t.Error(cmp.Diff(first, again))
	}
	bad := document(5)
	bad.Customers[1].Weight, bad.Models[0].Kind = -1, "x"
	r := m.mustFail(putDocument(5, bad), brerror.RevisionConflict)
	r = m.mustFail(putDocument(r.Revision, bad), brerror.InvalidRequest)
	if got, _ := brwire.Decode[PutResult](r.Result); len(got.Problems) != 2 || r.Error.Field != "models[0].kind" {
		t.Errorf("got problems %v and field %s, want 2 problems and field models[0].kind", got.Problems, r.Error.Field)
	}
	if n := len(m.View().Configuration.Customers); n != 5 {
		t.Errorf("configuration has %d customers, want 5", n)
	}
	m.at = m.at.Add(ResultRetention)
	m.mustFail(a, brerror.RevisionConflict) // the result has expired, but the expected revision is outdated
}

// Guards against a second active rollout of a model, a second outcome, a rollout that
// progresses or finishes after its date, and a move that is started again after its
// rollout ended without a change of its date.
func TestRollouts(t *testing.T) {
	m := newMachine(t)
	d := document(2)
	by := base.Add(time.Hour)
	d.Templates[0].Moves = []brconfig.Move{{Model: "large", From: "v1", To: "v2", FinishBy: base.Add(2 * time.Hour)}}
	d.Customers[1].Parameters[1].MoveBy = &by
	m.must(putDocument(0, d))
	r := m.View().Rollouts[0]
	if r.ID != "move-large-1" || !r.FinishBy.Equal(base.Add(time.Hour)) {
		t.Fatalf("got rollout %+v, want move-large-1 with the customer's earlier date", r)
	}
	start := func(id string) Command {
		return Command{StartRollout: &StartRollout{ID: id, Model: "large", From: "v2", To: "v3", FinishBy: base.Add(3 * time.Hour)}}
	}
	m.mustFail(start("r3"), brerror.RevisionConflict)
	m.must(Command{UpdateRollout: &UpdateRollout{ID: r.ID, Expected: r.Revision, Stage: 1, SharePerMille: 10, Tripped: []string{"q", "d", "q"}}})
	m.mustFail(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}}, brerror.RevisionConflict)
	r, _ = m.View().Rollout(r.ID)
	m.at = base.Add(time.Hour + time.Second)
	m.mustFail(Command{UpdateRollout: &UpdateRollout{ID: r.ID, Expected: r.Revision, SharePerMille: 20}}, brerror.InvalidRequest)
	m.mustFail(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}}, brerror.InvalidRequest)
	m.must(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: RolledBack, Reason: "late"}})
	r, _ = m.View().Rollout(r.ID)
	m.mustFail(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: RolledBack}}, brerror.RevisionConflict)
	d.Customers[0].Weight = 3
	m.must(putDocument(1, d))
	later := base.Add(4 * time.Hour)
	d.Templates[0].Moves[0].FinishBy, d.Customers[1].Parameters[1].MoveBy = later, nil
	m.must(putDocument(m.View().ConfigurationRevision, d))
	if n := len(m.View().Rollouts); n != 2 {
		t.Fatalf("%d rollouts after the date of the move changed, want 2", n)
	}
	r = m.View().Rollouts[1]
	m.must(Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: Finished}})
	m.must(start("r3"))
	if got, _ := m.View().Rollout(r.ID); got.SharePerMille != FullShare || got.Outcome != Finished || len(m.View().Rollouts) != 3 {
		t.Errorf("got rollouts %+v, want 3, the move finished with the full share", m.View().Rollouts)
	}
}

// Guards against placing an order without the lease, against a second result of an
// order, and against wrong replies for requests whose entry was deregistered.
func TestOrdersAndLedger(t *testing.T) {
	m := newMachine(t)
	order := &PlaceOrder{ID: "o", Lease: "endpoint/e", Holder: "a", Epoch: 1, EndpointID: "e", Kind: "load"}
	m.mustFail(Command{PlaceOrder: order}, brerror.NotOwner)
	m.must(Command{AcquireLease: &brlease.Acquire{Name: "endpoint/e", Holder: "a", Duration: time.Second}})
	m.must(Command{PlaceOrder: order})
	m.must(Command{FinishOrder: &FinishOrder{ID: "o", OK: true}})
	m.must(Command{FinishOrder: &FinishOrder{ID: "o"}})
	if o, _ := m.Order("o"); !o.OK || len(m.OpenOrders()) != 0 {
		t.Errorf("got order %+v, want it finished with the first result", o)
	}
	begin := Command{BeginRequest: &brledger.Begin{RequestID: requestID(base, 1), Entry: "e1"}}
	m.must(Command{RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: "e1"}}})
	m.must(begin)
	m.mustFail(begin, brerror.InProgress)
	m.must(Command{DeregisterDaemon: &DeregisterDaemon{DaemonID: "e1"}})
	m.mustFail(begin, brerror.UnknownOutcome)
	m.must(Command{FinishRequest: &brledger.Finish{RequestID: requestID(base, 1), Entry: "e1", Response: brledger.Response{Status: 201}}})
	if got, err := brwire.Decode[BeginResult](m.must(begin).Result); err != nil || got.Begun || got.Record.Response.Status != 201 {
		t.Errorf("resent request: got %+v, %v; want the stored response with status 201", got, err)
	}
}

// Guards against malformed log entries and truncated snapshots that crash the replicas
// or are accepted.
func TestMalformed(t *testing.T) {
	m := newMachine(t)
	for _, data := range [][]byte{nil, {0xff}, mustEncode(Command{ID: "x"}), mustEncode(Command{RegisterDaemon: &RegisterDaemon{}}),
		mustEncode(Command{ID: "x", RenewLease: &brlease.Renew{}, ReleaseLease: &brlease.Release{}})} {
		if r, _ := m.apply(data); r.Error == nil || r.Error.Kind != brerror.InvalidRequest {
			t.Errorf("entry %x: got error %v, want invalid_request", data, r.Error)
		}
	}
	snapshot := m.Snapshot()
	for n := range len(snapshot) {
		if _, err := Restore(snapshot[:n]); err == nil {
			t.Errorf("snapshot truncated to %d of %d bytes was restored", n, len(snapshot))
		}
	}
}

// Guards against a change of the log, snapshot or message format that replicas or
// daemons of the previous release can't read.
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
		Command{ID: "8", At: at, FinishRequest: &brledger.Finish{RequestID: "r", Entry: "d", Response: brledger.Response{Status: 200, ContentType: "t", Body: []byte("b")}}},
		Command{ID: "9", At: at, ReleaseRequest: &brledger.Release{RequestID: "r", Entry: "d"}},
		Command{ID: "10", At: at, StartRollout: &StartRollout{"r", "m", "p", "v1", "v2", at}},
		Command{ID: "11", At: at, UpdateRollout: &UpdateRollout{"r", 3, 1, 10, []string{"q"}}},
		Command{ID: "12", At: at, FinishRollout: &FinishRollout{"r", 3, Finished, "good"}},
		Command{ID: "13", At: at, PlaceOrder: &PlaceOrder{"o", "l", "d", 1, "e", "load", "v", "a", "r"}},
		Command{ID: "14", At: at, FinishOrder: &FinishOrder{"o", true, "done"}},
		Change{Revision: 9, Previous: 8, Configuration: &brconfig.Change{RemovedCustomers: []string{"c"}}, Owners: []Owner{{"p", "d", 4}}, Daemons: []brwire.Daemon{{ID: "d"}},
			RemovedDaemons: []string{"x"}, Rollouts: []Rollout{{ID: "r", Tripped: []string{"q"}, Outcome: RolledBack, EndedAt: at}}, RemovedRollouts: []string{"y"}},
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
// zones, and against a time offset that can be decoded but not encoded, which would
// make Snapshot panic.
func TestTimeZones(t *testing.T) {
	m := newMachine(t)
	d := document(1)
	by := base.Add(time.Hour).In(time.FixedZone("", 23*3600))
	d.Templates[0].Moves = []brconfig.Move{{Model: "large", From: "v1", To: "v2", FinishBy: by}}
	d.Customers[0].Parameters[0].MoveBy = &by
	m.must(putDocument(0, d))
	c := m.View().Configuration
	if c.Templates[0].Moves[0].FinishBy != by.UTC() || *c.Customers[0].Parameters[0].MoveBy != by.UTC() {
		t.Errorf("times are %v and %v, want UTC", c.Templates[0].Moves[0].FinishBy, c.Customers[0].Parameters[0].MoveBy)
	}
	again := putDocument(1, d)
	again.ID = "again"
	for _, offset := range []string{"+24:00", "-24:00", "+23:60"} {
		m.apply(bytes.ReplaceAll(mustEncode(again), []byte("+23:00"), []byte(offset)))
		m.Snapshot()
	}
}

// Guards against a log entry that makes Apply, Snapshot or Restore panic or fail, which
// would stop all replicas.
func FuzzApply(f *testing.F) {
	f.Add(mustEncode(putDocument(0, document(2))), mustEncode(Command{ID: "2", At: base, StartRollout: &StartRollout{"r", "large", "p", "v1", "v2", base}}))
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

// Guards against accepting a lapsed term set by the sender of an acquisition. Only the
// leader may set it.
func TestStamped(t *testing.T) {
	c := Command{AcquireLease: &brlease.Acquire{Name: "p", Lapsed: &brlease.Term{Epoch: 9}}}
	if got := c.Stamped(base, func(string) (brlease.Term, bool) { return brlease.Term{}, false }); got.AcquireLease.Lapsed != nil || !got.At.Equal(base) {
		t.Errorf("without a lapsed term: got %+v", got.AcquireLease)
	}
	got := c.Stamped(base, func(string) (brlease.Term, bool) { return brlease.Term{Epoch: 4, Renewals: 2}, true })
	if *got.AcquireLease.Lapsed != (brlease.Term{Epoch: 4, Renewals: 2}) || c.AcquireLease.Lapsed.Epoch != 9 {
		t.Errorf("with a lapsed term: got %+v, original %+v", got.AcquireLease, c.AcquireLease)
	}
}

// Guards against the encoded size of a change growing with the number of customers, as
// it would if the whole configuration were distributed.
func TestChangeSize(t *testing.T) {
	for _, n := range []int{5, 860} {
		m := newMachine(t)
		m.must(putDocument(0, document(n)))
		_, change := m.do(changeCustomer(m, 41))
		if got := len(mustEncode(*change)); got > 1024 {
			t.Errorf("change of one of %d customers has %d bytes, want at most 1024", n, got)
		}
	}
}

// Guards against a watcher that misses changes after the ring buffer has overwritten
// the oldest ones.
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
			t.Errorf("after revision %d: got %d changes, %v", c.from, len(got), ok)
		}
	}
}

func Example() {
	s := New()
	entry, _ := Command{ID: "1", At: base, AcquireLease: &brlease.Acquire{Name: PoolLease("large@gauteng"), Holder: "vm-3", Duration: 3 * time.Second}}.Encode()
	_, change := s.Apply(1, entry)
	view := View{}.With(*change) // at a watching daemon
	owner, _ := view.Owner("large@gauteng")
	fmt.Println(owner.Holder, owner.Epoch, view.Revision)
	// Output: vm-3 1 1
}
