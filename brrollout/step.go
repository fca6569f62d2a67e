package brrollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Policy holds the replaceable parts of Step. The zero Policy is the one used in
// production; other values serve to compare alternative judges.
type Policy struct {
	// Verdict replaces Judge.Verdict. Nil means Judge.Verdict.
	Verdict func(Judge) Verdict
}

// Step returns the state after ev at now and the effects to carry out, using the
// zero Policy.
//
// now is wall-clock time, as is finish_by. Step panics if ev is nil. Events that
// don't apply to the state, such as samples after the outcome, have no effect.
func Step(s State, now time.Time, ev Event) (State, []Effect) {
	return Policy{}.Step(s, now, ev)
}

// Step is like the function Step, but uses p.
func (p Policy) Step(s State, now time.Time, ev Event) (State, []Effect) {
	if ev == nil {
		panic("brrollout: nil event")
	}
	if p.Verdict == nil {
		p.Verdict = Judge.Verdict
	}
	t := transition{State: s, policy: p, now: now}
	t.handle(ev)
	return t.State, t.effects
}

// transition is one call of Step. Its State shares slices with the caller's State
// until they are cloned.
type transition struct {
	State
	policy  Policy
	now     time.Time
	effects []Effect
	cloned  bool // Endpoints has been cloned
}

func (t *transition) handle(ev Event) {
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
	case EndpointAnnounced:
		t.upsertEndpoint(e.Target)
	case Samples:
		t.sample(e)
	case OrderResult:
		t.orderResult(e)
	case StateRead:
		t.stateRead(e)
	case VersionReady:
		t.versionReady(e)
	case EndpointLost:
		t.endpointLost(e)
	case LoadFailed:
		t.loadFailed(e.EndpointID, e.Version)
	case Tripped:
		t.rollBack(fmt.Sprintf("breaker of pool %s: %s", e.Pool, e.Reason))
	case OperatorAbort:
		t.rollBack("operator: " + e.Reason)
	case Tick:
		t.tick()
	}
}

func (t *transition) start(e Started) {
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
		t.upsertEndpoint(target)
	}
	switch {
	case !e.FinishBy.After(t.now):
		t.rollBack("finish_by is in the past")
	case t.presentEndpoints() < 2:
		t.rollBack("fewer than two endpoints: the old version needs one until the rollout ends")
	case !t.loadable():
		t.rollBack("the weight store's rate is too low to load all endpoints by finish_by")
	}
}

func (t *transition) resume(e Resumed) {
	t.FencingToken, t.FormerLeaseEnd = e.FencingToken, e.FormerLeaseEnd
	for i := range t.Endpoints {
		p := t.mutable(i)
		p.Confirmed, p.Accepted = false, false
		p.OrderedAt, p.ReadAt = time.Time{}, time.Time{}
	}
	t.TickedAt = t.now
	t.emit(SetShare{t.RolloutID, t.NewVersion, t.Share})
	if t.Ended() {
		t.emit(Finish{t.RolloutID, t.Phase, t.Reason, t.EndedAt})
	}
}

func (t *transition) sample(e Samples) {
	if t.Phase != Running || e.RolloutID != t.RolloutID {
		return
	}
	t.recordLoad(e)
	isNew := e.Version == t.NewVersion
	if isNew && e.Tripped {
		t.rollBack(fmt.Sprintf("breaker of pool %s: route %s", e.Pool, e.Route))
		return
	}
	t.Judge = t.Judge.WithSettling(t.settlingShare(t.now)).Add(t.now, e.Samples)
	if isNew && t.countsAsEvidence() {
		t.StageLoaded += e.Requests
	}
}

func (t *transition) recordLoad(e Samples) {
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

func (t *transition) tick() {
	if t.Phase == Running {
		t.updateSmoothedLoad()
		t.decide()
	}
	t.TickedAt = t.now
	t.placeOrders()
	t.applyShare()
}

// updateSmoothedLoad updates the moving average of the load and its peak from the
// last reports, and decides whether the share must be reduced to limit the exposure.
func (t *transition) updateSmoothedLoad() {
	total := 0
	for _, l := range t.Loads {
		total += l.Outstanding
	}
	elapsed := max(0, t.now.Sub(t.TickedAt))
	t.SmoothedLoad += (float64(total) - t.SmoothedLoad) * (1 - math.Exp(-elapsed.Seconds()/t.scaled(loadAveragingTime).Seconds()))
	t.PeakLoad = max(t.PeakLoad, t.SmoothedLoad)
	switch exposure := t.Exposure(); {
	case exposure > exposureLimit:
		t.Throttled = true
	case exposure < exposureResume:
		t.Throttled = false
	}
}

func (t *transition) decide() {
	t.Judge = t.Judge.Close(t.now).WithTraffic(t.loaded(), t.Share)
	v := t.policy.Verdict(t.Judge)
	t.Suspect, t.Unclear = !v.MayGrow, v.Unclear
	if v.Doubtful {
		t.DoubtReason = v.Reason
	}
	lastStage := t.Stage == len(stages)-1
	stayedLongEnough := !t.StageSince.IsZero() && t.now.Sub(t.StageSince) >= t.minStageTime()
	switch {
	case v.Worse:
		t.rollBack("judge: " + v.Reason)
	case t.Stage >= earlyStages && t.exposureSpent() && (t.LoadFails.doubtful() || t.OrderFails.doubtful()):
		t.rollBack("loads or orders of the new version fail while its traffic exposure is at the limit")
	case t.exposureSpent() && t.Suspect && t.DoubtReason != "":
		t.rollBack("judge, with the traffic exposure at the limit: " + t.DoubtReason)
	case !t.now.Before(t.FinishBy):
		t.rollBack("not finished by finish_by: " + t.unmetConditions(v))
	case t.Stage == 0 && t.StageSince.IsZero() && !t.now.Before(t.timeAt(stages[1].Latest)):
		t.rollBack("no endpoint serves the new version in time: " + t.unmetConditions(v))
	case !v.MayGrow && (v.Doubtful || !lastStage):
		t.noteHold(v.Reason)
	case !stayedLongEnough:
	case !lastStage:
		t.advanceStage()
	case !t.now.Before(t.finishAt()) && t.Share == 1000 && t.newVersionRequests() >= minFinishRequests:
		t.finish()
	}
}

// advanceStage enters the next stage if its earliest time has come and the evidence
// suffices or its latest time has come.
func (t *transition) advanceStage() {
	next := stages[t.Stage+1]
	late, need := !t.now.Before(t.timeAt(next.Latest)), t.requiredRequests()
	switch {
	case t.now.Before(t.timeAt(next.Earliest)):
		return
	case t.StageLoaded < need && !late:
		t.noteHold(fmt.Sprintf("too few requests under load: %d of %d at %d per mille", t.StageLoaded, need, stages[t.Stage].PerMille))
		return
	case t.StageLoaded < need:
		t.note(fmt.Sprintf("stage %d per mille at its latest time: %d of %d requests under load", next.PerMille, t.StageLoaded, need))
	default:
		t.note(fmt.Sprintf("stage %d per mille after %d requests under load", next.PerMille, t.StageLoaded))
	}
	t.Stage++
	t.StageSince, t.StageLoaded, t.HoldReason = time.Time{}, 0, ""
}

// applyShare emits the share if it has changed.
func (t *transition) applyShare() {
	share := t.targetShare()
	t.SettledShare = min(t.SettledShare, share)
	if float64(share) > settleRatio*float64(t.SettledShare) {
		t.SettledShare = share
		t.SettledAt = t.now.Add(t.scaled(settleTime))
		t.Judge = t.Judge.Flush()
	}
	if settleRatio*float64(share) < float64(t.Share) {
		// The requests of one block are comparable only at the same share.
		t.Judge = t.Judge.Flush()
		if !t.now.Before(t.FormerShareEnd) {
			t.FormerShare = 0
		}
		t.FormerShare, t.FormerShareEnd = max(t.FormerShare, t.Share), t.now.Add(t.scaled(settleTime))
	}
	if share != t.Share {
		t.Share = share
		t.emit(SetShare{t.RolloutID, t.NewVersion, share})
	}
	if t.Phase == Running && t.StageSince.IsZero() && share > 0 && t.shareReached() {
		t.StageSince = t.now
	}
}

// shareReached reports whether the stage's share is set, or is kept lower for a
// reason that doesn't hold growth. In the early stages the reason is that the exposure
// is at its limit or that traffic is saved for later. In later stages it is that loads or
// orders fail, which only further attempts can resolve, or that the evidence isn't clear,
// which some good versions have by chance: the next stage must not start after its Latest.
func (t *transition) shareReached() bool {
	return t.Share == stages[t.Stage].PerMille || t.Stage < earlyStages || !t.loadsReliable() || t.awaitsClarity()
}

func (t *transition) finish() {
	t.end(Finished, "no evidence against the new version at full share")
}

// rollBack ends a running rollout and stops the new version's traffic at once.
func (t *transition) rollBack(reason string) {
	if t.Phase != Running {
		return
	}
	t.end(RolledBack, reason)
}

func (t *transition) end(outcome Phase, reason string) {
	t.Phase, t.Reason, t.EndedAt = outcome, reason, t.now
	for i := range t.Endpoints {
		t.mutable(i).Attempt = 0
		t.mutable(i).RetryAt = time.Time{}
	}
	t.Share = t.targetShare()
	t.emit(SetShare{t.RolloutID, t.NewVersion, t.Share})
	t.emit(Finish{t.RolloutID, outcome, reason, t.now})
}

func (t *transition) newVersionRequests() int {
	_, newCounts := t.Judge.Totals()
	return newCounts.Requests
}

// unmetConditions describes why the rollout could not be finished.
func (t *transition) unmetConditions(v Verdict) string {
	ready, loading := t.countEndpoints(t.NewVersion)
	if !v.MayGrow {
		return v.Reason
	}
	return fmt.Sprintf("stage %d per mille, share %d, %d endpoints ready, %d loading, %d requests ended",
		stages[t.Stage].PerMille, t.Share, ready, loading, t.newVersionRequests())
}

// noteHold adds a note when growth is first held in a stage, and records the reason.
func (t *transition) noteHold(reason string) {
	if t.HoldReason == "" {
		t.note("growth held: " + reason)
	}
	t.HoldReason = reason
}

func (t *transition) note(text string) { t.emit(Note{t.RolloutID, text}) }

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }
