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

// withholdGrants makes the fake scheduler accept submits without granting them.
func withholdGrants(f *fixture) {
	f.Submit = func(_ context.Context, s brwire.Submit) error { f.submits <- s; return nil }
}

// completeInBackground sends a completion and returns a channel for its response body.
func (f *fixture) completeInBackground(tb testing.TB, body string) <-chan string {
	out := make(chan string, 1)
	go func() {
		_, b := f.complete(tb, "", body)
		out <- b
	}()
	return out
}

// Guards against a dispatch under a grant of a pool's previous owner, and against a
// reply to the new owner that lacks queued, running or ended requests.
func TestJoin(t *testing.T) {
	started := make(chan struct{}, 3)
	f := newFixture(t, brfake.Config{StepBase: 20 * time.Millisecond}, brentry.Config{}, func(f *fixture) {
		withholdGrants(f)
		f.Started = func(string, brwire.Started) { started <- struct{}{} }
	})
	ended := f.completeInBackground(t, streamBody)
	s0 := <-f.submits
	if err := f.grant(s0, 1, f.address); err != nil {
		t.Fatal(err)
	}
	<-ended
	running := f.completeInBackground(t, streamBody)
	s1 := <-f.submits
	if err := f.grant(s1, 1, f.address); err != nil {
		t.Fatal(err)
	}
	queued := f.completeInBackground(t, streamBody)
	s2 := <-f.submits
	<-started
	<-started
	r := f.Join(brwire.Join{Pool: pool, Epoch: 2})
	if len(r.Queued) != 1 || r.Queued[0].RequestID != s2.RequestID || len(r.Running) != 1 || r.Running[0].Submit.RequestID != s1.RequestID ||
		len(r.Ended) != 1 || r.Ended[0].RequestID != s0.RequestID || !r.Ended[0].Ran || r.Ended[0].Customer != "trust" || r.Epoch != 2 || r.EntryID != "entry-1" {
		t.Errorf("Join returned %+v, want one queued, one running and one ended request", r)
	}
	if err := f.grant(s2, 1, f.address); !brerror.Is(err, brerror.NotOwner) {
		t.Errorf("grant of the old epoch returned %v, want kind not_owner", err)
	}
	if r := f.Join(brwire.Join{Pool: pool, Epoch: 1}); r.Epoch != 2 || len(r.Queued) != 0 {
		t.Errorf("Join of an older epoch returned %+v, want epoch 2 and no requests", r)
	}
	if err := f.grant(s2, 2, f.address); err != nil {
		t.Fatal(err)
	}
	if err := f.grant(s2, 2, f.address); err == nil {
		t.Error("second grant of a request was accepted")
	}
	for _, c := range []<-chan string{running, queued} {
		if _, complete := streamText(t, <-c); !complete {
			t.Error("response is incomplete")
		}
	}
}

// Guards against a dispatch under a grant that became void because the pool got a new
// owner between the arrival of the grant and the dispatch.
func TestJoinVoidsUnusedGrant(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
		f.Submit = func(_ context.Context, s brwire.Submit) error {
			if err := f.grant(s, 1, f.address); err != nil {
				return err
			}
			r := f.Join(brwire.Join{Pool: pool, Epoch: 2})
			if len(r.Queued) != 1 {
				t.Errorf("Join returned %+v, want one queued request", r)
			}
			f.submits <- s
			return nil
		}
	})
	response := f.completeInBackground(t, streamBody)
	s := <-f.submits
	for f.Join(brwire.Join{Pool: pool, Epoch: 2}).Queued == nil {
		t.Fatal("request was dispatched under a void grant")
	}
	if err := f.grant(s, 2, f.address); err != nil {
		t.Fatal(err)
	}
	if _, complete := streamText(t, <-response); !complete || f.fake.Counts().Requests[s.RequestID] != 1 {
		t.Error("request was not dispatched exactly once under the new grant, or its response is incomplete")
	}
	if d := <-f.dones; d.Epoch != 2 {
		t.Errorf("done message is %+v, want epoch 2", d)
	}
}

// Guards against shedding a request while one of a lower tier is queued.
func TestShedLowestTierFirst(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{MaxHeld: 3}, func(f *fixture) {
		withholdGrants(f)
		resolve := f.Resolve
		f.Resolve = func(key, route, model string) (brentry.Admission, error) {
			a, err := resolve(key, route, model)
			if len(route) > 0 {
				a.Route.Tier = int(route[0] - '0')
			}
			return a, err
		}
	})
	responses := map[string]<-chan string{}
	add := func(tier string) {
		responses[tier] = f.completeInBackground(t, `{"prompt":"a","model":"m","route":"`+tier+`"}`)
	}
	for _, tier := range []string{"2", "5", "4"} {
		add(tier)
		<-f.submits
	}
	for _, step := range []struct{ add, shed string }{{"3", "5"}, {"1", "4"}, {"5", "5"}, {"3b", "3b"}, {"1b", "3"}} {
		add(step.add)
		if kind, _ := kindOf(t, <-responses[step.shed]); kind != "overloaded" {
			t.Errorf("after a request of tier %s, that of tier %s got kind %q, want overloaded", step.add, step.shed, kind)
		}
		if step.add != step.shed {
			<-f.submits
		}
	}
	if n := strings.Count(f.messageLog(), "withdraw"); n != 3 {
		t.Errorf("%d requests were withdrawn, want the 3 submitted ones that were shed", n)
	}
	for _, id := range f.Join(brwire.Join{Pool: pool, Epoch: 9}).Queued {
		f.Refuse(brwire.Refuse{RequestID: id.RequestID, Epoch: 9, Error: *brerror.New(brerror.Overloaded, "end of the test")})
	}
	for _, remaining := range []string{"1", "1b", "2"} {
		<-responses[remaining]
	}
}

// ledger is a fake of the replicated ledger.
type ledger struct {
	mu     sync.Mutex
	states map[string]brentry.LedgerState
	fail   int // number of commits that will fail
	log    chan string
}

// attach resets l, connects it to f and makes the route of f non-idempotent.
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
		f.logMessage(name)
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
	f.LedgerFinish = func(_ context.Context, r brentry.LedgerRecord, resp brentry.LedgerResponse) error {
		_, err := set("finish", r, brentry.LedgerState{Finished: true, Customer: r.Customer, Response: resp})
		return err
	}
	f.LedgerRelease = func(_ context.Context, r brentry.LedgerRecord) error {
		_, err := set("release", r, brentry.LedgerState{})
		return err
	}
}
