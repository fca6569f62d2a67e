package brserver

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var schedules = flag.Int("schedules", 20000, "number of random schedules")

// schedule is a play of one connection: a caller, the reader of conn.Read, which may be late
// at every step, changes of the limits and a stop. Times are in milliseconds.
type schedule struct {
	random *rand.Rand
	now    time.Time
	state  State
	limits Limits

	unread   int // bytes that have arrived and weren't read
	head     int // bytes of the current request that the caller still sends
	slowness int // time in ms that the caller may still take for the current request
	sent     int // number of whole requests that have arrived
	served   int
	ended    Verdict
	late     int // largest delay of the reader in ms
	arriveAt time.Time
}

const headBytes = 300

func newSchedule(seed uint64) *schedule {
	r := rand.New(rand.NewPCG(seed, 0))
	s := &schedule{
		random: r, now: time.Unix(1e9, 0), late: []int{0, 5, 400}[r.IntN(3)],
		limits: Limits{HeaderBytes: headBytes + r.IntN(4000), HeaderTimeout: time.Duration(100+r.IntN(3000)) * time.Millisecond, IdleTimeout: time.Duration(200+r.IntN(5000)) * time.Millisecond},
	}
	s.state = NewState(s.now, s.limits)
	s.nextRequest()
	return s
}

// nextRequest plans a request within the limits, which may change before it is sent.
func (s *schedule) nextRequest() {
	s.head = headBytes
	idle := int(s.limits.IdleTimeout/time.Millisecond) * 4 / 5
	s.arriveAt = s.now.Add(time.Duration(s.random.IntN(idle)) * time.Millisecond)
	s.slowness = int(s.limits.HeaderTimeout/time.Millisecond) * 9 / 10
}

// advance moves the time to at, and plays what the caller sends until then.
func (s *schedule) advance(at time.Time) {
	for !s.arriveAt.After(at) && s.head > 0 {
		n := min(s.head, headBytes/9+s.random.IntN(headBytes))
		s.head -= n
		s.unread += n
		if s.head == 0 {
			s.sent++
		}
		pause := s.random.IntN(s.slowness + 1)
		s.slowness -= pause
		s.arriveAt = s.arriveAt.Add(time.Duration(pause) * time.Millisecond)
	}
	s.now = at
}

// delay is the time that the daemon doesn't run.
func (s *schedule) delay() {
	if s.late > 0 {
		s.advance(s.now.Add(time.Duration(s.random.IntN(s.late)) * time.Millisecond))
	}
}

// read plays conn.Read. It returns false when the connection ends.
func (s *schedule) read(interruptAt time.Time) bool {
	start := s.now
	until := s.now.Add(s.state.Wait(s.now, s.limits))
	if interruptAt.After(s.now) && interruptAt.Before(until) {
		until = interruptAt
		defer func() { s.state = s.state.WithClosing() }()
	}
	if s.unread == 0 && s.head > 0 && !s.arriveAt.After(until) {
		s.advance(s.arriveAt)
	} else if s.unread == 0 {
		s.advance(until)
	}
	s.delay()
	verdict := Continue
	if s.unread == 0 {
		if s.state, verdict = s.state.WithSilence(s.now, s.limits, s.now.Sub(start)); verdict == Continue {
			return true
		}
		s.delay()
	}
	if s.unread > 0 {
		n := s.unread
		s.unread = 0
		s.state, verdict = s.state.WithData(s.now, s.limits, n, s.now.Sub(start))
	}
	s.ended = verdict
	return verdict == Continue
}

// play runs the schedule until the connection ends or ten requests were served.
func (s *schedule) play(t *testing.T, seed uint64) {
	stopAt := s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
	for step := 0; s.served < 10; step++ {
		if step > 10000 {
			t.Fatalf("seed %d: schedule doesn't end", seed)
		}
		if !s.read(stopAt) {
			break
		}
		if !s.now.Before(stopAt) {
			s.state = s.state.WithClosing()
		}
		if s.random.IntN(4) == 0 { // more generous limits, which the caller may know before
			s.limits = s.limits.max(Limits{HeaderTimeout: s.limits.HeaderTimeout * 2, IdleTimeout: s.limits.IdleTimeout + time.Second})
		}
		if s.head == 0 && s.unread == 0 {
			s.state = s.state.WithRequest(s.now, s.limits)
			s.served++
			s.advance(s.now.Add(time.Duration(s.random.IntN(300)) * time.Millisecond))
			s.state = s.state.WithResponse(s.now, s.limits)
			s.nextRequest()
		}
	}
	if s.unread > 0 || s.sent != s.served {
		t.Errorf("seed %d: ended with verdict %d, %d unread bytes, %d of %d whole requests served", seed, s.ended, s.unread, s.served, s.sent)
	}
	if s.ended == CloseIdle && (s.head != headBytes || !s.state.Closing()) {
		t.Errorf("seed %d: closed with %d bytes of a request left to send, stopping: %v", seed, s.head, s.state.Closing())
	}
	if s.ended == RejectTooLarge || s.ended == RejectTimeout {
		t.Errorf("seed %d: verdict %d on a caller that keeps the limits", seed, s.ended)
	}
}

// TestSchedules guards against a close, or a rejection, of a connection on which a request
// has arrived within the limits, whatever the order of arrival, reads, limits and a stop.
func TestSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		newSchedule(seed).play(t, seed)
		if t.Failed() {
			return
		}
	}
}

// TestState guards against connections that stay open past their limits, and against limits
// of another moment than the one they bound.
func TestState(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	small := Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	large := Limits{HeaderBytes: 10000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	read := func(l Limits, n int, wait time.Duration) func(State) (State, Verdict) {
		return func(s State) (State, Verdict) { return s.WithData(at(wait), l, n, wait) }
	}
	silent := func(l Limits, now, wait time.Duration) func(State) (State, Verdict) {
		return func(s State) (State, Verdict) { return s.WithSilence(at(now), l, wait) }
	}
	serve := func(l Limits, from, to time.Duration) func(State) (State, Verdict) {
		return func(s State) (State, Verdict) {
			return s.WithRequest(at(from), l).WithResponse(at(to), l), Continue
		}
	}
	stop := func(s State) (State, Verdict) { return s.WithClosing(), Continue }
	for _, test := range []struct {
		name  string
		steps []func(State) (State, Verdict)
		want  []Verdict
	}{
		{"accepted early", []func(State) (State, Verdict){silent(small, 4*time.Second, 4*time.Second), silent(small, 6*time.Second, time.Second)}, []Verdict{Continue, CloseIdle}},
		{"limit grows while idle", []func(State) (State, Verdict){silent(large, 6*time.Second, time.Second), silent(large, 16*time.Second, time.Second)}, []Verdict{Continue, CloseIdle}},
		{"limit shrinks while idle", []func(State) (State, Verdict){serve(large, 0, 0), silent(small, 7*time.Second, time.Second), silent(small, 16*time.Second, time.Second)}, []Verdict{Continue, Continue, CloseIdle}},
		{"stop while idle", []func(State) (State, Verdict){stop, silent(small, time.Second, 0)}, []Verdict{Continue, CloseIdle}},
		{"stop before the first request can arrive", []func(State) (State, Verdict){stop, silent(small, 10*time.Millisecond, 0), silent(small, firstRequestTime, 0)}, []Verdict{Continue, Continue, CloseIdle}},
		{"stop after a response", []func(State) (State, Verdict){serve(small, 0, 0), stop, silent(small, 10*time.Millisecond, 0)}, []Verdict{Continue, Continue, CloseIdle}},
		{"stop while reading", []func(State) (State, Verdict){read(small, 10, 0), stop, silent(small, 0, 0), silent(small, time.Second, time.Second)}, []Verdict{Continue, Continue, Continue, RejectTimeout}},
		{"silence within a header", []func(State) (State, Verdict){read(small, 10, 0), read(small, 10, 900*time.Millisecond), silent(small, time.Second, 100*time.Millisecond)}, []Verdict{Continue, Continue, RejectTimeout}},
		{"header timeout grows within a header", []func(State) (State, Verdict){read(small, 10, 0), silent(large, time.Second, time.Second)}, []Verdict{Continue, Continue}},
		{"header timeout shrinks within a header", []func(State) (State, Verdict){read(large, 10, 0), silent(small, 2*time.Second, 2*time.Second)}, []Verdict{Continue, Continue}},
		{"header too large", []func(State) (State, Verdict){read(small, 3000, 0), read(small, 3000, 0)}, []Verdict{Continue, RejectTooLarge}},
		{"next request has its own limits", []func(State) (State, Verdict){read(large, 9000, 0), serve(small, 0, 0), read(small, 6000, 0)}, []Verdict{Continue, Continue, RejectTooLarge}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewState(start, small)
			var got []Verdict
			for _, step := range test.steps {
				var v Verdict
				s, v = step(s)
				got = append(got, v)
			}
			if d := cmp.Diff(test.want, got); d != "" {
				t.Errorf("verdicts differ (-want +got):\n%s", d)
			}
		})
	}
}
