package brrollout

import "time"

// Stage is one step in the growth of the new version's share. Earliest and Latest
// are fractions of the time from the start to finish_by. The stage starts no
// earlier than Earliest; from Latest on it starts even without the evidence that is
// otherwise required.
type Stage struct {
	PerMille int
	Earliest float64
	Latest   float64
}

// stages are the steps of growth. The early stages are long, and the later ones
// follow each other closely at the end. A fault that shows within the first three
// quarters of the time then affects less than 2% of the traffic.
var stages = [...]Stage{
	{10, 0, 0},
	{20, 0.05, 0.10},
	{50, 0.08, 0.16},
	{100, 0.11, 0.22},
	{250, 0.75, 0.79},
	{500, 0.82, 0.86},
	{1000, 0.90, 0.93},
}

// Stages returns a copy of the steps of growth.
func Stages() []Stage { return append([]Stage(nil), stages[:]...) }

const (
	// earlyStages is the number of stages that exposureLimit applies to. They reach
	// a share of 10%, at which one of ten endpoints carries as much load as the
	// others. Below that share a small fleet never has a new version under load.
	earlyStages = 4
	// lateStagesStart is the Earliest of the first stage after the early ones.
	lateStagesStart = 0.75

	// exposureTarget is the fraction of all traffic that a bad version should stay
	// below. Above exposureLimit the early stages reduce the share to
	// throttledShare, and below exposureResume they raise it again. The distance
	// between exposureLimit and exposureTarget leaves room for the requests in
	// progress at detection. exposureLimit and exposureResume are far apart because
	// the samples within settleTime of each increase are weaker evidence.
	exposureTarget = 0.02
	exposureLimit  = 0.016
	exposureResume = 0.012
	// throttledShare is the share in per mille of the early stages after the first
	// while the exposure is at its limit or State.savesTraffic holds. The traffic
	// saved then is used under load, where more faults show.
	throttledShare = 2
	// suspectShare is the share in per mille to which the later stages fall back
	// in State.lateStageCap, as far as the old version's endpoints can carry the
	// rest. A bad request is worth more evidence at a low share than at a high one.
	// The last stage keeps its share, because its evidence doesn't add to that
	// gathered while the old version had traffic.
	suspectShare = 50

	// earlyStageRequests and stageRequests are the numbers of requests that the new
	// version must have ended at the stage's share before the next stage starts
	// ahead of its Latest. earlyStageRequests applies before the last early stage.
	// Only requests under load count, except in stages whose share is below the
	// equal share of the new version's endpoints, which can't be loaded then. With 15
	// instead of 6, three stages of a small fleet with 5 requests/s took all that
	// exposureLimit allows before the share at which a fault under load shows.
	earlyStageRequests = 6
	stageRequests      = 100
	// minFinishRequests is the minimum number of requests of the new version in the
	// whole rollout for the outcome Finished.
	minFinishRequests = 5

	// loadedFraction is the fraction of the peak outstanding work above which the
	// fleet counts as loaded. loadAveragingTime is the time constant of the moving
	// average of the work.
	loadedFraction    = 0.85
	loadAveragingTime = 30 * time.Second
	// assumedPeakFraction is the fraction of the capacity that is assumed as the
	// minimum peak until the fraction assumedPeakUntil of the rollout's time has
	// passed.
	assumedPeakFraction = 0.65
	assumedPeakUntil    = 0.5

	// settleTime is the time for which the Judge compares with the share after it was
	// raised by more than the factor settleRatio; see Judge.WithSettling. Of the
	// requests started then, those that fail or are short end first.
	settleTime  = 10 * time.Second
	settleRatio = 1.25

	// minStageFraction is the minimum duration of a stage as a fraction of the
	// rollout's time.
	minStageFraction = 0.01
	// finishLeadFraction of the rollout's time, but at most maxFinishLead, is left
	// between the outcome Finished and finish_by for committing the outcome.
	finishLeadFraction = 0.005
	maxFinishLead      = 15 * time.Second

	// loadingFraction of the endpoints, and at least one, may load at a time.
	loadingFraction = 0.1
	// reserveFraction of the endpoints, and at least one, keeps the old version
	// until the outcome, so that a rollout that is rolled back at full share still
	// has endpoints to serve it.
	reserveFraction = 0.1
	// usableFraction of the remaining capacity may be in use after an endpoint is
	// taken out of service. The rest is the headroom of tier 1.
	usableFraction = 0.8

	// Loads and orders are tested by a sequential probability ratio test (Wald,
	// Ann. Math. Statist. 16 (1945) 117-186) of the failure rate badRate of a bad
	// version against the failure rate flakyRate of flaky endpoints. minFailScore
	// keeps many successes from hiding a fault that begins later. The test ends a
	// rollout at failThreshold, which flaky endpoints reach from zero with a
	// probability of at most exp(-failThreshold) = 0.00055.
	flakyRate = 0.05
	badRate   = 0.8
	// Above reliableThreshold, which a single failure after many successes doesn't
	// reach, the new version's share stays low until more loads succeed. Above
	// doubtThreshold, which takes two consecutive failures, no more traffic is
	// risked for the test.
	failThreshold     = 7.5
	doubtThreshold    = 3
	reliableThreshold = -2
	minFailScore      = -5

	resendInterval = 5 * time.Second // between attempts to send an unacknowledged order
	retryDelay     = 15 * time.Second
	maxRetryDelay  = 5 * time.Minute
	minLoadTimeout = 2 * time.Minute
	loadTimeFactor = 5 // multiple of the shortest possible load time that is allowed

	// shortDuration is the duration of a rollout below which its fixed times are
	// scaled down in proportion; see scaled.
	shortDuration = 10 * time.Minute
	// minScaledTime is the minimum of scaled times. Schedulers report once per
	// second.
	minScaledTime = time.Second
	// reportLag is the time from granting a request to its report in a rollout
	// shorter than shortDuration: the request itself, the report interval and a
	// tick.
	reportLag = 3 * time.Second
	// minScaledLoadTimeout is the minimum of the load timeout. It covers the
	// timeout of an order and an announcement.
	minScaledLoadTimeout = 10 * time.Second
)

// scaled returns a fixed time adapted to the duration of this rollout. The stages
// are fractions of the time from the start to finish_by. In a rollout shorter than
// shortDuration the fixed times shrink in proportion, because a single unscaled
// settleTime would last longer than a stage. Requests that take longer than the
// scaled settleTime then bias the first samples of a stage, so such a rollout is
// suitable only for a model whose requests take less than 1/60 of its duration.
func (s *State) scaled(d time.Duration) time.Duration {
	scale := min(1, float64(s.duration())/float64(shortDuration))
	return max(min(d, minScaledTime), time.Duration(scale*float64(d)))
}

// settlingShare returns the share in per mille for Judge.WithSettling.
func (s *State) settlingShare(now time.Time) int {
	switch {
	case !now.Before(s.SettledAt):
		return 0
	case now.Before(s.FormerShareEnd):
		return max(s.Share, s.FormerShare)
	}
	return s.Share
}

func (s *State) duration() time.Duration { return s.FinishBy.Sub(s.StartedAt) }

// timeAt maps a fraction of the plan to a time. If loading the fleet takes longer
// than the planned late stages, these are stretched and the rest is compressed.
func (s *State) timeAt(fraction float64) time.Time {
	lateFraction := s.lateStagesFraction()
	if fraction >= lateStagesStart {
		fraction = 1 - (1-fraction)*lateFraction/(1-lateStagesStart)
	} else {
		fraction *= (1 - lateFraction) / lateStagesStart
	}
	return s.StartedAt.Add(time.Duration(fraction * float64(s.duration())))
}

// lateStagesFraction returns the fraction of the time for the stages after the
// early ones.
func (s *State) lateStagesFraction() float64 {
	load := float64(s.Budget.Duration(s.presentEndpoints(), s.LoadBytes)) / float64(s.duration())
	return min(max(1-lateStagesStart, 1.5*load+0.1), 0.9)
}

// loadable reports whether the weight store's rate allows loading all endpoints in
// time.
func (s *State) loadable() bool {
	return s.Budget.Duration(s.presentEndpoints(), s.LoadBytes) < time.Duration(0.8*float64(s.duration()))
}

func (s *State) minStageTime() time.Duration {
	return time.Duration(minStageFraction * float64(s.duration()))
}

func (s *State) finishAt() time.Time {
	lead := min(time.Duration(finishLeadFraction*float64(s.duration())), maxFinishLead)
	return s.FinishBy.Add(-max(lead, minScaledTime))
}

// loaded reports whether the fleet's outstanding work is near its peak.
func (s *State) loaded() bool {
	peak := s.PeakLoad
	if s.TickedAt.Before(s.timeAt(assumedPeakUntil)) {
		peak = max(peak, assumedPeakFraction*float64(s.capacity()))
	}
	return peak > 0 && s.SmoothedLoad >= loadedFraction*peak
}

// capacity returns the tokens that all endpoints can hold, or 0 if the capacity of
// one is unknown.
func (s *State) capacity() int {
	sum := 0
	for _, e := range s.Endpoints {
		if e.Placement == Lost {
			continue
		}
		if e.CapacityTokens == 0 {
			return 0
		}
		sum += e.CapacityTokens
	}
	return sum
}

// endpointsNeeded returns the number of endpoints with the new version that a stage
// requires.
func (s *State) endpointsNeeded(stage int) int {
	n := s.presentEndpoints()
	reserve := max(1, int(reserveFraction*float64(n)))
	need := (n*stages[stage].PerMille + 999) / 1000
	return max(1, min(need, n-reserve))
}

// targetShare returns the share to set, in per mille. While the stage lacks
// endpoints, the share is proportional to the number of endpoints with the new
// version, so that the endpoints of neither version carry more than their share.
func (s *State) targetShare() int {
	ready, _ := s.countEndpoints(s.NewVersion)
	old, _ := s.countEndpoints(s.OldVersion)
	switch {
	case s.Phase == Finished:
		return 1000
	case s.Phase != Running || ready == 0:
		return 0
	}
	share := stages[s.Stage].PerMille
	if 0 < s.Stage && s.Stage < earlyStages && (s.Throttled || s.savesTraffic(ready)) {
		share = throttledShare
	}
	if s.Stage < earlyStages && s.duration() < shortDuration {
		share = min(share, s.exposureCap())
	}
	if ready < s.endpointsNeeded(s.Stage) {
		share = min(share, 1000*ready/(ready+old))
	}
	if earlyStages <= s.Stage && s.Stage < len(stages)-1 {
		share = min(share, s.lateStageCap())
	}
	return share
}

// savesTraffic reports whether the traffic that this early stage could have is better
// used later: while the fleet isn't loaded, or, if the ready endpoints of the new version
// can't be loaded at the stage's share, once the stage has the requests that it requires.
// While the Judge holds growth, more evidence is needed at once.
func (s *State) savesTraffic(ready int) bool {
	if stages[s.Stage].PerMille*s.presentEndpoints() < 1000*ready {
		return !s.Suspect && s.StageLoaded >= s.requiredRequests()
	}
	return !s.loaded()
}

// lateStageCap returns the maximum share in per mille in the later stages but the last.
// It is 1000 unless loads or orders fail, the Judge holds growth while the exposure is above
// exposureLimit, or its evidence isn't clear; see awaitsClarity. The share is lowest while loads or
// orders fail, because more traffic yields no evidence about these.
func (s *State) lateStageCap() int {
	switch {
	case !s.loadsReliable():
		return max(throttledShare, s.minShare())
	case s.Suspect && s.Exposure() > exposureLimit || s.awaitsClarity():
		return max(suspectShare, s.minShare())
	}
	return 1000
}

// awaitsClarity reports whether a later stage but the last keeps its share low, up to the
// Latest of the next one, because the evidence isn't clear and the exposure has been above
// exposureLimit without falling to exposureResume. At the share of a later stage it would be
// above the limit again within a minute.
func (s *State) awaitsClarity() bool {
	return earlyStages <= s.Stage && s.Stage < len(stages)-1 && s.Unclear && s.Throttled && s.TickedAt.Before(s.timeAt(stages[s.Stage+1].Latest))
}

// loadsReliable reports whether loads of the new version, and orders to load it,
// succeed often enough to raise its share.
func (s *State) loadsReliable() bool {
	return s.LoadFails.reliable() && s.OrderFails.reliable()
}

// exposureSpent reports whether the exposure of the new version is above
// exposureLimit but would stay below exposureTarget if it were rolled back now.
func (s *State) exposureSpent() bool {
	exposure := s.Exposure()
	return exposureLimit < exposure && exposure < exposureTarget
}

// exposureCap returns the share in per mille, at least throttledShare, at which the
// exposure stays below exposureLimit until the next reports arrive. In a rollout of
// an hour one report covers a small fraction of the traffic. In a rollout of half a
// minute the requests within reportLag at a share of 10% alone exceed 1%.
func (s *State) exposureCap() int {
	oldCounts, newCounts := s.Judge.Totals()
	all := float64(oldCounts.Requests + newCounts.Requests)
	elapsed := s.TickedAt.Sub(s.StartedAt)
	if all == 0 || elapsed <= 0 {
		return throttledShare
	}
	remaining := exposureLimit*all - float64(newCounts.Requests)
	perLag := all * reportLag.Seconds() / elapsed.Seconds()
	return max(throttledShare, int(1000*remaining/perLag))
}

// minShare returns the share in per mille that the old version's endpoints cannot
// carry. It returns 1000 if a capacity is unknown.
func (s *State) minShare() int {
	capacity := 0
	for _, e := range s.Endpoints {
		if e.Placement != Serving || e.Version != s.OldVersion {
			continue
		}
		if e.CapacityTokens == 0 {
			return 1000
		}
		capacity += e.CapacityTokens
	}
	if s.SmoothedLoad == 0 {
		return 0
	}
	return int(1000 * max(0, 1-usableFraction*float64(capacity)/s.SmoothedLoad))
}

// countsAsEvidence reports whether requests of the new version count as evidence
// for the current stage.
func (s *State) countsAsEvidence() bool {
	share := stages[s.Stage].PerMille
	ready, _ := s.countEndpoints(s.NewVersion)
	return s.Share == share && (s.loaded() || share*s.presentEndpoints() < 1000*ready)
}

// requiredRequests returns the number of such requests that the current stage
// requires.
func (s *State) requiredRequests() int {
	if s.Stage < earlyStages-1 {
		return earlyStageRequests
	}
	return stageRequests
}

// loadTimeout returns the time after which a load counts as failed.
func (s *State) loadTimeout() time.Duration {
	return max(minScaledLoadTimeout, s.scaled(minLoadTimeout), loadTimeFactor*s.Budget.Duration(1, s.LoadBytes))
}
