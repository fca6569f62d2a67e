package brrollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Policy is what may vary in Step. The zero Policy is the one to use; the seam
// exists so that other judges can be measured.
type Policy struct {
	// Verdict replaces Judge.Verdict. Nil means Judge.Verdict.
	Verdict func(Judge) Verdict
}

// Step returns the state after ev at now and what is to be done, with the zero
// Policy.
//
// now is wall time, as finish_by is. Step panics if ev is nil. Events that don't
// fit the state, such as samples after the outcome, change nothing.
func Step(s State, now time.Time, ev Event) (State, []Effect) {
	return Policy{}.Step(s, now, ev)
}

// Step is like the function Step.
func (p Policy) Step(s State, now time.Time, ev Event) (State, []Effect) {
	if ev == nil {
		panic("brrollout: nil event")
	}
	if p.Verdict == nil {
		p.Verdict = Judge.Verdict
	}
	t := turn{State: s, policy: p, now: now}
	t.handle(ev)
	return t.State, t.effects
}

// turn is one call of Step. Its State shares slices with the caller's State
// until they are cloned.
type turn struct {
	State
	policy  Policy
	now     time.Time
	effects []Effect
	owned   bool // Endpoints is a clone
}

func (t *turn) handle(ev Event) {
	if e, ok := ev.(Started); ok {
		t.start(e)
		return
	}
	if t.Phase == Pending {
		return
	}
	switch e := ev.(type) {
	case Resumed:
		t.resume(e)
	case BudgetChanged:
		debt, at := t.Budget.Debt, t.Budget.At
		t.Budget = e.Budget
		t.Budget.Debt, t.Budget.At = debt, at
	case EndpointSeen:
		t.seen(e.Target)
	case Samples:
		t.sample(e)
	case OrderResult:
		t.orderResult(e)
	case StateRead:
		t.stateRead(e)
	case VersionReady:
		t.ready(e)
	case EndpointLost:
		t.lost(e)
	case LoadFailed:
		t.loadFailed(e.EndpointID, e.Version)
	case Tripped:
		t.takeBack(fmt.Sprintf("breaker of pool %s: %s", e.Pool, e.Reason))
	case OperatorAbort:
		t.takeBack("operator: " + e.Reason)
	case Tick:
		t.tick()
	}
}

func (t *turn) start(e Started) {
	if t.Phase != Pending {
		return
	}
	t.State = State{
		RolloutID: e.RolloutID, Model: e.Model, OldVersion: e.OldVersion, NewVersion: e.NewVersion,
		StartedAt: t.now, FinishBy: e.FinishBy, LoadBytes: e.LoadBytes,
		Phase: Running, FencingToken: e.FencingToken, Budget: e.Budget, TickedAt: t.now,
		Judge: Judge{OldVersion: e.OldVersion, NewVersion: e.NewVersion},
	}
	t.Judge.BlockLength, t.Judge.BlockLimit = t.scaled(blockLength), t.scaled(blockLimit)
	for _, target := range e.Endpoints {
		t.seen(target)
	}
	switch {
	case !e.FinishBy.After(t.now):
		t.takeBack("finish_by is in the past")
	case t.present() < 2:
		t.takeBack("fewer than two endpoints: the old version needs one until the outcome")
	case !t.loadable():
		t.takeBack("the weight store's rate does not allow loading all endpoints by finish_by")
	}
}

func (t *turn) resume(e Resumed) {
	t.FencingToken, t.FormerLeaseBy = e.FencingToken, e.FormerLeaseBy
	for i := range t.Endpoints {
		p := t.own(i)
		p.Confirmed, p.Accepted = false, false
		p.OrderedAt, p.ReadAt = time.Time{}, time.Time{}
	}
	t.TickedAt = t.now
	t.emit(SetShare{t.RolloutID, t.NewVersion, t.Share})
	if t.Ended() {
		t.emit(Finish{t.RolloutID, t.Phase, t.Reason, t.EndedAt})
	}
}

func (t *turn) sample(e Samples) {
	if t.Phase != Running || e.RolloutID != t.RolloutID {
		return
	}
	t.noteLoad(e)
	fresh := e.Version == t.NewVersion
	if fresh && e.Tripped {
		t.takeBack(fmt.Sprintf("breaker of pool %s: route %s", e.Pool, e.Route))
		return
	}
	t.Judge = t.Judge.Add(t.now, e.Samples)
	if t.now.Before(t.SettledAt) {
		t.Judge = t.Judge.Discard()
	}
	if fresh && t.counts() {
		t.StageLoaded += e.Requests
	}
}

func (t *turn) noteLoad(e Samples) {
	for i, l := range t.Loads {
		if l.Pool != e.Pool || l.Route != e.Route || l.Version != e.Version {
			continue
		}
		if l.Outstanding != e.Outstanding {
			t.Loads = slices.Clone(t.Loads)
			t.Loads[i].Outstanding = e.Outstanding
		}
		return
	}
	t.Loads = append(slices.Clone(t.Loads), Load{e.Pool, e.Route, e.Version, e.Outstanding})
}

func (t *turn) tick() {
	if t.Phase == Running {
		t.average()
		t.decide()
	}
	t.TickedAt = t.now
	t.move()
	t.applyShare()
}

// average lets the smoothed load follow the last reports.
func (t *turn) average() {
	total := 0
	for _, l := range t.Loads {
		total += l.Outstanding
	}
	passed := max(0, t.now.Sub(t.TickedAt))
	t.Smoothed += (float64(total) - t.Smoothed) * (1 - math.Exp(-passed.Seconds()/t.scaled(loadedTime).Seconds()))
	t.Peak = max(t.Peak, t.Smoothed)
	switch exposure := t.Exposure(); {
	case exposure > exposureLimit:
		t.Saving = true
	case exposure < exposureResume:
		t.Saving = false
	}
}

func (t *turn) decide() {
	t.Judge = t.Judge.Close(t.now).WithTraffic(t.loaded(), t.Share == 1000)
	v := t.policy.Verdict(t.Judge)
	t.Suspect = !v.Content
	if v.Doubt {
		t.Doubted = v.Reason
	}
	last := t.Stage == len(stages)-1
	held := !t.StageSince.IsZero() && t.now.Sub(t.StageSince) >= t.minHold()
	switch {
	case v.Worse:
		t.takeBack("judge: " + v.Reason)
	case t.spent() && (t.LoadFails.doubtful() || t.OrderFails.doubtful()):
		t.takeBack("moves to the new version fail, with the exposure at its limit")
	case t.spent() && t.Suspect && t.Doubted != "":
		t.takeBack("judge, with the exposure at its limit: " + t.Doubted)
	case !t.now.Before(t.FinishBy):
		t.takeBack("not finished by finish_by: " + t.missing(v))
	case t.Stage == 0 && t.StageSince.IsZero() && !t.now.Before(t.at(stages[1].Latest)):
		t.takeBack("no endpoint serves the new version in time: " + t.missing(v))
	case !v.Content:
		t.hold(v.Reason)
	case !held:
	case !last:
		t.grow()
	case !t.now.Before(t.finishAt()) && t.Share == 1000 && t.seenRequests() >= finishEvidence:
		t.finish()
	}
}

// grow enters the next stage if its time has come and the evidence suffices.
func (t *turn) grow() {
	next := stages[t.Stage+1]
	late, need := !t.now.Before(t.at(next.Latest)), t.evidence()
	switch {
	case t.now.Before(t.at(next.Earliest)):
		return
	case t.StageLoaded < need && !late:
		t.hold(fmt.Sprintf("not seen under load: %d of %d requests at %d per mille", t.StageLoaded, need, stages[t.Stage].PerMille))
		return
	case t.StageLoaded < need:
		t.note(fmt.Sprintf("stage %d per mille by time: %d of %d requests under load", next.PerMille, t.StageLoaded, need))
	default:
		t.note(fmt.Sprintf("stage %d per mille after %d requests under load", next.PerMille, t.StageLoaded))
	}
	t.Stage++
	t.StageSince, t.StageLoaded, t.Held = time.Time{}, 0, ""
}

// applyShare sends the share where it has changed.
func (t *turn) applyShare() {
	share := t.targetShare()
	t.SettledShare = min(t.SettledShare, share)
	if float64(share) > settleRatio*float64(t.SettledShare) {
		t.SettledShare = share
		t.SettledAt = t.now.Add(t.scaled(settleTime))
		t.Judge = t.Judge.Flush()
	}
	if share != t.Share {
		t.Share = share
		t.emit(SetShare{t.RolloutID, t.NewVersion, share})
	}
	if t.Phase == Running && t.StageSince.IsZero() && share > 0 && t.reached() {
		t.StageSince = t.now
	}
}

// reached reports whether the stage's share is set or kept lower for a reason
// that doesn't hold growth: in the early stages because the fleet isn't loaded or
// the exposure is at its limit, later because moves fail, which only more moves
// can clear up.
func (t *turn) reached() bool {
	return t.Share == stages[t.Stage].PerMille || t.Stage < earlyStages || !t.movesTrusted()
}

func (t *turn) finish() {
	t.end(Finished, "judge content at full share")
}

// takeBack ends a running rollout and stops the new version's traffic at once.
func (t *turn) takeBack(reason string) {
	if t.Phase != Running {
		return
	}
	t.end(TakenBack, reason)
}

func (t *turn) end(outcome Phase, reason string) {
	t.Phase, t.Reason, t.EndedAt = outcome, reason, t.now
	for i := range t.Endpoints {
		t.own(i).Attempt = 0
		t.own(i).RetryAt = time.Time{}
	}
	t.Share = t.targetShare()
	t.emit(SetShare{t.RolloutID, t.NewVersion, t.Share})
	t.emit(Finish{t.RolloutID, outcome, reason, t.now})
}

func (t *turn) seenRequests() int {
	_, fresh := t.Judge.Totals()
	return fresh.Requests
}

// missing says what stood against the outcome finished.
func (t *turn) missing(v Verdict) string {
	ready, loading := t.count(t.NewVersion)
	if !v.Content {
		return v.Reason
	}
	return fmt.Sprintf("stage %d per mille, share %d, %d endpoints ready, %d loading, %d requests seen",
		stages[t.Stage].PerMille, t.Share, ready, loading, t.seenRequests())
}

// hold notes why growth is held, once per reason class.
func (t *turn) hold(reason string) {
	if t.Held == "" {
		t.note("growth held: " + reason)
	}
	t.Held = reason
}

func (t *turn) note(text string) { t.emit(Note{t.RolloutID, text}) }

func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }
