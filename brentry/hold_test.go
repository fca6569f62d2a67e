package brentry_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
)

// waiting makes the scheduler take submits and grant nothing.
func waiting(f *fixture) {
	f.Submit = func(_ context.Context, s brwire.Submit) error { f.submits <- s; return nil }
}

func (f *fixture) inBackground(tb testing.TB, body string) <-chan string {
	out := make(chan string, 1)
	go func() {
		_, b := f.complete(tb, "", body)
		out <- b
	}()
	return out
}

// Guards against a dispatch under an old owner's grant, and against a new owner
// that isn't told what was queued, running and finished.
func TestJoin(t *testing.T) {
	started := make(chan struct{}, 3)
	f := newFixture(t, brfake.Config{StepBase: 20 * time.Millisecond}, brentry.Config{}, func(f *fixture) {
		waiting(f)
		f.Started = func(string, brwire.Started) { started <- struct{}{} }
	})
	ended := f.inBackground(t, streamBody)
	s0 := <-f.submits
	if err := f.grant(s0, 1, f.address); err != nil {
		t.Fatal(err)
	}
	<-ended
	runs := f.inBackground(t, streamBody)
	s1 := <-f.submits
	if err := f.grant(s1, 1, f.address); err != nil {
		t.Fatal(err)
	}
	queued := f.inBackground(t, streamBody)
	s2 := <-f.submits
	<-started
	<-started
	r := f.Join(brwire.Join{Pool: pool, Epoch: 2})
	if len(r.Queued) != 1 || r.Queued[0].RequestID != s2.RequestID || len(r.Running) != 1 || r.Running[0].Submit.RequestID != s1.RequestID ||
		len(r.Ended) != 1 || r.Ended[0].RequestID != s0.RequestID || !r.Ended[0].Ran || r.Ended[0].Customer != "trust" || r.Epoch != 2 || r.EntryID != "entry-1" {
		t.Errorf("%+v", r)
	}
	if err := f.grant(s2, 1, f.address); !brerror.Is(err, brerror.NotOwner) {
		t.Errorf("grant of the old epoch: %v", err)
	}
	if r := f.Join(brwire.Join{Pool: pool, Epoch: 1}); r.Epoch != 2 || len(r.Queued) != 0 {
		t.Errorf("join of an older epoch: %+v", r)
	}
	if err := f.grant(s2, 2, f.address); err != nil {
		t.Fatal(err)
	}
	if err := f.grant(s2, 2, f.address); err == nil {
		t.Error("second grant was accepted")
	}
	for _, c := range []<-chan string{runs, queued} {
		if _, whole := streamText(t, <-c); !whole {
			t.Error("answer isn't whole")
		}
	}
}

// Guards against a grant that is used although the pool changed hands between
// its arrival and the dispatch.
func TestJoinVoidsUnusedGrant(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
		f.Submit = func(_ context.Context, s brwire.Submit) error {
			if err := f.grant(s, 1, f.address); err != nil {
				return err
			}
			r := f.Join(brwire.Join{Pool: pool, Epoch: 2})
			if len(r.Queued) != 1 {
				t.Errorf("%+v", r)
			}
			f.submits <- s
			return nil
		}
	})
	answer := f.inBackground(t, streamBody)
	s := <-f.submits
	for f.Join(brwire.Join{Pool: pool, Epoch: 2}).Queued == nil {
		t.Fatal("request was dispatched under a void grant")
	}
	if err := f.grant(s, 2, f.address); err != nil {
		t.Fatal(err)
	}
	if _, whole := streamText(t, <-answer); !whole || f.fake.Counts().Requests[s.RequestID] != 1 {
		t.Error("not dispatched once under the new grant")
	}
	if d := <-f.dones; d.Epoch != 2 {
		t.Errorf("%+v", d)
	}
}

// Guards against shedding a tier while a lower one is held.
func TestShedLowestTierFirst(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{MaxHeld: 3}, func(f *fixture) {
		waiting(f)
		resolve := f.Resolve
		f.Resolve = func(key, route, model string) (brentry.Admission, error) {
			a, err := resolve(key, route, model)
			if len(route) > 0 {
				a.Route.Tier = int(route[0] - '0')
			}
			return a, err
		}
	})
	answers := map[string]<-chan string{}
	add := func(tier string) {
		answers[tier] = f.inBackground(t, `{"prompt":"a","model":"m","route":"`+tier+`"}`)
	}
	for _, tier := range []string{"2", "5", "4"} {
		add(tier)
		<-f.submits
	}
	for _, step := range []struct{ add, shed string }{{"3", "5"}, {"1", "4"}, {"5", "5"}, {"3b", "3b"}, {"1b", "3"}} {
		add(step.add)
		if kind, _ := kindOf(t, <-answers[step.shed]); kind != "overloaded" {
			t.Errorf("after tier %s: tier %s got %s", step.add, step.shed, kind)
		}
		if step.add != step.shed {
			<-f.submits
		}
	}
	if n := strings.Count(f.logged(), "withdraw"); n != 3 {
		t.Errorf("%d requests were withdrawn, want the 3 that were submitted", n)
	}
	for _, id := range f.Join(brwire.Join{Pool: pool, Epoch: 9}).Queued {
		f.Refuse(brwire.Refuse{RequestID: id.RequestID, Epoch: 9, Error: *brerror.New(brerror.Overloaded, "end of the test")})
	}
	for _, left := range []string{"1", "1b", "2"} {
		<-answers[left]
	}
}

// ledger is a stand-in for the replicated ledger.
type ledger struct {
	mu     sync.Mutex
	states map[string]brentry.LedgerState
	fail   int // commits that fail
	log    chan string
}

func (l *ledger) attach(f *fixture) {
	l.states, l.log = map[string]brentry.LedgerState{}, make(chan string, 16)
	f.route.NonIdempotent = true
	set := func(name string, r brentry.LedgerRecord, s brentry.LedgerState) (brentry.LedgerState, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.fail > 0 {
			l.fail--
			return brentry.LedgerState{}, errors.New("no quorum")
		}
		before := l.states[r.RequestID]
		if name != "begin" || !before.Begun && !before.Finished {
			l.states[r.RequestID] = s
		}
		l.log <- name
		f.note(name)
		return before, nil
	}
	f.LedgerLookup = func(_ context.Context, id string) (brentry.LedgerState, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.states[id], nil
	}
	f.LedgerBegin = func(_ context.Context, r brentry.LedgerRecord) (brentry.LedgerState, error) {
		return set("begin", r, brentry.LedgerState{Begun: true, Customer: r.Customer})
	}
	f.LedgerFinish = func(_ context.Context, r brentry.LedgerRecord, a brentry.LedgerAnswer) error {
		_, err := set("finish", r, brentry.LedgerState{Finished: true, Customer: r.Customer, Answer: a})
		return err
	}
	f.LedgerRelease = func(_ context.Context, r brentry.LedgerRecord) error {
		_, err := set("release", r, brentry.LedgerState{})
		return err
	}
}
