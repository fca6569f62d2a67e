package brentry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
)

// useUnreliableScheduler installs a fake scheduler that at random grants late, twice,
// to an endpoint that refuses connections, not at all, or under an epoch that a newer
// one replaces.
func (f *fixture) useUnreliableScheduler(r *rand.Rand) {
	var mu sync.Mutex
	epoch := uint64(1)
	f.Submit = func(_ context.Context, s brwire.Submit) error {
		mu.Lock()
		defer mu.Unlock()
		switch r.IntN(12) {
		case 0:
			return brerror.New(brerror.NotOwner, "moved")
		case 1:
			f.Refuse(brwire.Refuse{RequestID: s.RequestID, Epoch: epoch, Error: *brerror.New(brerror.Overloaded, "full")})
		case 2:
			_ = f.grant(s, epoch, "127.0.0.1:1")
		case 3:
			_ = f.grant(s, epoch, f.address)
			epoch++
			for _, q := range f.Join(brwire.Join{Pool: pool, Epoch: epoch}).Queued {
				_ = f.grant(q, epoch-1, f.address)
				_ = f.grant(q, epoch, f.address)
				_ = f.grant(q, epoch, f.address)
			}
		case 4:
			e := epoch
			go func() { _ = f.grant(s, e, f.address) }()
		default:
			_ = f.grant(s, epoch, f.address)
		}
		return nil
	}
}

// Guards against a second dispatch of an ID, a response that is incomplete or belongs
// to another request, and the outcome not_run for a request that ran, while schedulers,
// connections and callers fail at random.
func TestAtMostOnceDispatchUnderFaults(t *testing.T) {
	const requests, seed = 400, 7
	f := newFixture(t, brfake.Config{StepBase: 2 * time.Millisecond, MaxBatch: 1000, Faults: map[string]brfake.Faults{"": {FailRate: 0.05}}},
		brentry.Config{MaxHeld: 250, DisconnectGrace: 20 * time.Millisecond, ResubmitDelay: 10 * time.Millisecond},
		func(f *fixture) { f.route.DeadlineMS = 2000; f.useUnreliableScheduler(rand.New(rand.NewPCG(seed, 1))) })
	var wg sync.WaitGroup
	var mu sync.Mutex
	kinds, sent, refused := map[string]int{}, map[string]int{}, map[string]int{}
	attempt := func(id string, timeout time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+brengine.PathCompletions, strings.NewReader(strings.Replace(streamBody, "8", "40", 1)))
		req.Header.Set("Authorization", "Bearer k")
		req.Header.Set(brengine.HeaderRequestID, id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		kind, outcome := "complete", "ran"
		if text, complete := streamText(t, string(b)); !complete || text != brfake.Text(id, 0, 40) {
			var e brengine.ErrorBody
			kind, e = kindOf(t, string(b))
			outcome = e.Outcome
		}
		mu.Lock()
		defer mu.Unlock()
		kinds[kind]++
		if outcome == brerror.NotRun.String() {
			refused[id]++
		}
	}
	for i := range requests {
		id, r := newID(0), rand.New(rand.NewPCG(seed, uint64(i)+2))
		if i%100 == 50 {
			f.fake.SetFault(brfake.FaultRequest{Faults: brfake.Faults{FailRate: 0.05}, Silence: true})
		}
		sent[id] = 1 + r.IntN(2)
		for range sent[id] {
			timeout := 10 * time.Second
			if r.IntN(4) == 0 {
				timeout = time.Duration(r.IntN(100)) * time.Millisecond
			}
			wg.Go(func() { attempt(id, timeout) })
		}
	}
	wg.Wait()
	for id := range sent {
		sent[id]++
		wg.Go(func() { attempt(id, 10*time.Second) })
	}
	wg.Wait()
	if err := f.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	ran := f.fake.Counts().Requests
	for id, n := range ran {
		if n > 1 {
			t.Errorf("seed %d: request %s was dispatched %d times, want at most 1", seed, id, n)
		}
	}
	for id, n := range refused {
		if n == sent[id] && ran[id] > 0 {
			t.Errorf("seed %d: request %s ran, but all responses to it have outcome not_run", seed, id)
		}
	}
	t.Log(kinds)
	if kinds["complete"] < requests/4 {
		t.Errorf("seed %d: only %d complete responses; too many faults for a meaningful test", seed, kinds["complete"])
	}
}

// Guards against dispatching the request of a caller without a valid key, and against a
// resume that fails when the entry that dispatched the request is unreachable.
func TestKeysAndResumeWithoutFirstEntry(t *testing.T) {
	a := newFixture(t, brfake.Config{}, brentry.Config{}, nil)
	b := newFixture(t, brfake.Config{}, brentry.Config{EntryID: "entry-2"}, func(b *fixture) {
		b.Locate = func(context.Context, brwire.Locate) (brwire.LocateReply, error) {
			return brwire.LocateReply{Found: true, EntryID: "entry-1", Address: a.address, Customer: "trust"}, nil
		}
		b.SendAttach = func(context.Context, string, brwire.Attach) error { return io.ErrUnexpectedEOF }
	})
	id := newID(0)
	a.complete(t, id, streamBody)
	resp := b.open(t, context.Background(), http.MethodGet, brengine.PathRequests+id+"?offset=3", "", "")
	body, _ := io.ReadAll(resp.Body)
	if text, complete := streamText(t, string(body)); !complete || text != brfake.Text(id, 3, 8) {
		t.Errorf("resumed response is %q, want the complete text of tokens 3 to 7", body)
	}
	for _, key := range []string{"", "Bearer other", "Basic k", "Bearer "} {
		req, _ := http.NewRequest(http.MethodPost, a.url+brengine.PathCompletions, strings.NewReader(streamBody))
		req.Header.Set("Authorization", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("Authorization %q: status %d, want 401", key, resp.StatusCode)
		}
	}
	if n := len(a.fake.Counts().Requests); n != 1 {
		t.Errorf("engine received %d requests, want only the one with a valid key", n)
	}
}
