package brstate

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against replicas or watchers whose state diverges, against time or epochs
// that decrease, and against two active rollouts of a model. It applies random
// commands to two replicas, one of which is restored from snapshots, and sends the
// changes to a watcher.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, watcher, epochs, at := New(), New(), View{}, map[string]uint64{}, base
		for i := uint64(1); i <= uint64(rapid.IntRange(1, 60).Draw(t, "commands")); i++ {
			at = at.Add(time.Duration(rapid.SampledFrom([]int{-1, 0, 1, 1, 3600 * 9}).Draw(t, "seconds")) * time.Second)
			c := randomCommand(t, a, at)
			c.ID, c.At = fmt.Sprint("c", rapid.IntRange(0, 40).Draw(t, "id")), at
			before := a.Now()
			ra, change := a.Apply(i, mustEncode(c))
			if a.Now().Before(before) {
				t.Fatal("time of the state decreased")
			}
			rb, _ := b.Apply(i, mustEncode(c))
			if !bytes.Equal(mustEncode(ra), mustEncode(rb)) {
				t.Fatalf("replies of the replicas differ: %v, %v", ra, rb)
			}
			if change != nil {
				sent, err := brwire.Decode[Change](mustEncode(*change))
				if err != nil {
					t.Fatal(err)
				}
				watcher = watcher.With(sent)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				var err error
				if b, err = Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			for _, l := range a.Leases() {
				if l.Epoch < epochs[l.Name] {
					t.Fatalf("epoch of lease %s decreased", l.Name)
				}
				epochs[l.Name] = l.Epoch
			}
			active := 0
			for _, r := range a.View().Rollouts {
				if r.Active() {
					active++
				}
			}
			if active > 1 {
				t.Fatal("model has more than one active rollout")
			}
		}
		if x, y := a.Snapshot(), b.Snapshot(); !bytes.Equal(x, y) {
			t.Fatal("snapshots of the replicas differ")
		}
		if x, y := mustEncode(a.View()), mustEncode(watcher); !bytes.Equal(x, y) {
			t.Fatal(cmp.Diff(a.View(), watcher))
		}
	})
}

func randomCommand(t *rapid.T, s *State, at time.Time) Command {
	small := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
	daemonID, r := fmt.Sprint("d", small("who")), Rollout{}
	if rows := s.View().Rollouts; len(rows) > 0 {
		r = rapid.SampledFrom(rows).Draw(t, "rollout")
	}
	l, _ := s.Lease(PoolLease("p"))
	term := l.Term()
	id := requestID(base.Add(time.Duration(small("hours"))*9*time.Hour), byte(small("request")))
	switch rapid.IntRange(0, 13).Draw(t, "kind") {
	case 0, 1:
		d := document(1 + small("customers"))
		d.Customers[0].Weight = small("weight")
		if small("move") > 0 {
			d.Templates[0].Moves = []brconfig.Move{{Model: "large", From: "v1", To: fmt.Sprint("v", 2+small("version")), FinishBy: base.Add(time.Duration(1+small("by")) * 20 * time.Hour)}}
		}
		return putDocument(s.View().ConfigurationRevision-uint64(small("stale")/2), d)
	case 2:
		return Command{RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: daemonID, Incarnation: fmt.Sprint(small("incarnation"))}}}
	case 3:
		return Command{DeregisterDaemon: &DeregisterDaemon{DaemonID: daemonID}}
	case 4:
		return Command{AcquireLease: &brlease.Acquire{Name: PoolLease("p"), Holder: daemonID, Duration: time.Second, Lapsed: &term}}
	case 5:
		return Command{RenewLease: &brlease.Renew{Name: PoolLease("p"), Holder: l.Holder, Epoch: l.Epoch}}
	case 6:
		return Command{ReleaseLease: &brlease.Release{Name: PoolLease("p"), Holder: daemonID, Epoch: l.Epoch}}
	case 7:
		return Command{BeginRequest: &brledger.Begin{RequestID: id, Entry: daemonID}}
	case 8:
		return Command{FinishRequest: &brledger.Finish{RequestID: id, Entry: daemonID, Response: brledger.Response{Status: 200, Body: make([]byte, 40_000*small("body"))}}}
	case 9:
		return Command{ReleaseRequest: &brledger.Release{RequestID: id, Entry: daemonID}}
	case 10:
		return Command{StartRollout: &StartRollout{ID: fmt.Sprint("r", s.Index()), Model: "large", From: "v1", To: "v2", FinishBy: at.Add(time.Hour)}}
	case 11:
		return Command{UpdateRollout: &UpdateRollout{ID: r.ID, Expected: r.Revision, SharePerMille: small("share")}}
	case 12:
		return Command{FinishRollout: &FinishRollout{ID: r.ID, Expected: r.Revision, Outcome: []Outcome{Finished, RolledBack, RolledBack}[small("outcome")]}}
	}
	return Command{PlaceOrder: &PlaceOrder{ID: fmt.Sprint("o", small("order")), Lease: PoolLease("p"), Holder: l.Holder, Epoch: l.Epoch, EndpointID: "e", Kind: "load"}}
}

// input is the input of a client's operation on the configuration, in which case
// request is empty, or on one request of the ledger.
type input struct {
	kind     string // read, put, begin, finish or release
	request  string
	client   int
	expected uint64
	value    int // value in the configuration, or status of a stored response
}

type output struct {
	ok       bool
	conflict bool
	revision uint64
	value    int
}

type registers struct {
	revision uint64
	value    int
	phase    string // phase of the request: "", begun or finished
	entry    int
	status   int
}

var model = porcupine.Model{
	Init: func() any { return registers{revision: 1, value: 1} },
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		parts, index := [][]porcupine.Operation{}, map[string]int{}
		for _, op := range ops {
			i, ok := index[op.Input.(input).request]
			if !ok {
				i = len(parts)
				index[op.Input.(input).request], parts = i, append(parts, nil)
			}
			parts[i] = append(parts[i], op)
		}
		return parts
	},
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(registers), in.(input), out.(output)
		owned := s.entry == i.client && s.phase != ""
		switch i.kind {
		case "read":
			return o.revision == s.revision && o.value == s.value, s
		case "put":
			if i.expected != s.revision {
				return o.conflict && o.revision == s.revision, s
			}
			ok := o.ok && o.revision > s.revision
			s.revision, s.value = o.revision, i.value
			return ok, s
		case "begin":
			switch s.phase {
			case "":
				s.phase, s.entry = "begun", i.client
				return o.ok, s
			case "begun":
				return o.conflict, s
			}
			return !o.ok && !o.conflict && o.value == s.status, s
		case "finish":
			if owned && s.phase == "begun" {
				s.phase, s.status = "finished", i.value
			}
			return o.ok == owned, s
		}
		ok := owned && s.phase == "begun"
		if ok {
			s = registers{}
		}
		return o.ok == ok, s
	},
}

type client struct {
	in      input
	data    []byte
	call    int64
	replies []output // replies to all copies of the command; only the last is received
	view    View     // view of the last read
}

// history runs clients against a state and returns their operations. Replies are
// lost, commands are resent and old copies of commands are applied late.
func history(t testing.TB, seed uint64, skipRevisionCheck bool) []porcupine.Operation {
	r := rand.New(rand.NewPCG(seed, 1))
	m := newMachine(t)
	m.must(putDocument(0, documentWithValue(1)))
	for i := range 3 {
		m.must(Command{RegisterDaemon: &RegisterDaemon{brwire.Daemon{ID: fmt.Sprint("d", i)}}})
	}
	m.skipRevisionCheck = skipRevisionCheck
	clients, sent, ops := make([]client, 3), [][]byte{}, []porcupine.Operation{}
	for now := int64(1); now < 250; now++ {
		i := r.IntN(len(clients))
		c := &clients[i]
		switch {
		case c.call == 0 && now < 200:
			c.issue(r, m, i, now)
		case c.call == 0:
		case len(c.replies) > 0 && r.IntN(3) > 0:
			ops = append(ops, porcupine.Operation{ClientId: i, Input: c.in, Call: c.call, Output: c.replies[len(c.replies)-1], Return: now})
			*c = client{view: c.view}
		case r.IntN(6) == 0 && len(sent) > 0:
			m.apply(sent[r.IntN(len(sent))]) // a late copy of an earlier command
		default:
			c.execute(m)
			if c.data != nil {
				sent = append(sent, c.data)
			}
		}
	}
	return ops
}

func documentWithValue(v int) *brconfig.Document {
	d := document(1)
	d.Models[0].QueueTokens = v
	return d
}

func (c *client) issue(r *rand.Rand, m *machine, i int, now int64) {
	c.call = now
	c.in = input{kind: []string{"read", "put", "put", "begin", "finish", "release"}[r.IntN(6)], client: i, expected: c.view.ConfigurationRevision, value: int(now) + 1}
	id := requestID(base, byte(r.IntN(3)))
	cmd := Command{ID: fmt.Sprint("op", now), At: base}
	switch c.in.kind {
	case "read":
		return
	case "put":
		cmd.PutConfiguration = &PutConfiguration{Expected: c.in.expected, Document: documentWithValue(c.in.value)}
	case "begin":
		c.in.request, cmd.BeginRequest = id, &brledger.Begin{RequestID: id, Entry: fmt.Sprint("d", i)}
	case "finish":
		c.in.request, cmd.FinishRequest = id, &brledger.Finish{RequestID: id, Entry: fmt.Sprint("d", i), Response: brledger.Response{Status: c.in.value}}
	case "release":
		c.in.request, cmd.ReleaseRequest = id, &brledger.Release{RequestID: id, Entry: fmt.Sprint("d", i)}
	}
	c.data = mustEncode(cmd)
}

func (c *client) execute(m *machine) {
	if c.data == nil {
		c.view = m.View()
		c.replies = append(c.replies, output{revision: c.view.ConfigurationRevision, value: c.view.Configuration.Models[0].QueueTokens})
		return
	}
	reply, _ := m.apply(c.data)
	o := output{ok: reply.Error == nil, revision: reply.Revision}
	o.conflict = brerror.Is(errorOf(reply), brerror.RevisionConflict) || brerror.Is(errorOf(reply), brerror.InProgress)
	if c.in.kind == "begin" && o.ok {
		b, _ := brwire.Decode[BeginResult](reply.Result)
		o.ok, o.value = b.Begun, b.Record.Response.Status
	}
	c.replies = append(c.replies, o)
}

func errorOf(r brwire.ProposeReply) error {
	if r.Error == nil {
		return nil
	}
	return r.Error
}

// Guards against operations on the configuration or the ledger that are not
// linearizable when replies are lost and commands are resent. A second run without
// the comparison of revisions must be rejected, which shows that the check detects
// violations.
func TestLinearizable(t *testing.T) {
	rejected := 0
	for seed := range uint64(60) {
		if !porcupine.CheckOperations(model, history(t, seed, false)) {
			t.Errorf("history of seed %d is not linearizable", seed)
		}
		if !porcupine.CheckOperations(model, history(t, seed, true)) {
			rejected++
		}
	}
	if rejected < 50 {
		t.Errorf("without the comparison of revisions %d of 60 histories were rejected, want at least 50", rejected)
	}
}
