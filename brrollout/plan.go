package brrollout

import "time"

// Stage is one step of the share's growth. Earliest and Latest are parts of the
// time from start to finish_by: growth into the stage happens not before
// Earliest, and at Latest also without the evidence that is otherwise asked for.
type Stage struct {
	PerMille int
	Earliest float64
	Latest   float64
}

// Stages are the steps of growth. The early stages last long and the later ones
// follow each other closely at the end, because a fault that shows by three
// quarters of the time then costs less than 2% of the traffic.
var stages = [...]Stage{
	{10, 0, 0},
	{20, 0.05, 0.10},
	{50, 0.08, 0.16},
	{100, 0.11, 0.22},
	{250, 0.75, 0.79},
	{500, 0.82, 0.86},
	{1000, 0.90, 0.93},
}

// Stages returns the steps of growth.
func Stages() []Stage { return append([]Stage(nil), stages[:]...) }

const (
	// earlyStages is the number of stages that exposureLimit applies to. They
	// reach 10%, where one of ten endpoints carries as much as the others: below
	// that a small fleet never shows a new version under load.
	earlyStages = 4
	// lateStart is the Earliest of the first stage after the early ones.
	lateStart = 0.75

	// exposureAim is the part of all traffic that a bad version is to stay below.
	// exposureLimit is the part of all traffic above which the early stages go
	// back to savingShare, and exposureResume the part below which they grow
	// again. exposureAim leaves room for what is under way at detection. The
	// two are far apart because the samples of settleTime after each growth are
	// not weighed.
	exposureAim    = 0.02
	exposureLimit  = 0.016
	exposureResume = 0.012
	// savingShare is the share in per mille of the early stages after the first
	// while the fleet isn't loaded or the exposure is at its limit. What is
	// saved there is spent under load, where more faults show.
	savingShare = 2
	// suspectShare is the share in per mille to which the later stages go back
	// while the Judge is not content, as far as the old version's endpoints can
	// carry the rest. The last stage is left as it is, because its evidence
	// doesn't add up with that beside the old version.
	suspectShare = 50

	// earlyEvidence and stageEvidence are the numbers of requests that the new
	// version must have ended at the stage's share before the next stage starts
	// ahead of its Latest; earlyEvidence before the last early stage. They count
	// under load only, but for stages whose share is below the endpoints' equal
	// part, where the new version's endpoints cannot be loaded.
	earlyEvidence = 15
	stageEvidence = 100
	// finishEvidence is the least number of requests that the new version must
	// have ended in the whole rollout for the outcome finished.
	finishEvidence = 5

	// loadedPart is the part of the peak outstanding work above which the fleet
	// counts as loaded, and loadedTime the averaging time of the work.
	loadedPart = 0.85
	loadedTime = 30 * time.Second
	// peakPart of the capacity is the least load that is waited for as the peak
	// until the part peakBy of the time.
	peakPart = 0.65
	peakBy   = 0.5

	// settleTime is how long samples are not weighed after the share was raised
	// by more than settleRatio: of the requests begun then, the first to end are
	// those that fail or are short.
	settleTime  = 10 * time.Second
	settleRatio = 1.25

	// holdPart of the rollout's time is the least stay in each stage.
	holdPart = 0.01
	// finishPart of the rollout's time, at most finishLead, is left between the
	// outcome finished and finish_by, for the commit of the outcome.
	finishPart = 0.005
	finishLead = 15 * time.Second

	// loadingPart of the endpoints may load at a time, and at least one.
	loadingPart = 0.1
	// reservePart of the endpoints, at least one, stays on the old version until
	// the outcome, so that a rollout taken back at full share has endpoints.
	reservePart = 0.1
	// usablePart of the capacity may be in use after an endpoint is taken out;
	// the rest is the headroom of tier 1.
	usablePart = 0.8

	// Loads, and orders, are tested by a sequential probability ratio test (Wald,
	// Ann. Math. Statist. 16 (1945) 117-186) of a failure rate of badRate, that of
	// a bad version, against flakyRate, that of flaky endpoints. The floor keeps
	// many successes from hiding a fault that begins later. The test ends a
	// rollout at failLimit, which flaky endpoints reach from zero with a
	// probability of at most exp(-failLimit) = 0.00055.
	flakyRate = 0.05
	badRate   = 0.8
	// Above trustLimit, which one failure after many successes doesn't reach, the
	// new version's share stays low until more moves succeed. Above doubtLimit,
	// which takes two failures in a row, more traffic isn't risked for the test.
	failLimit  = 7.5
	doubtLimit = 3
	trustLimit = -2
	failFloor  = -5

	resendInterval = 5 * time.Second // between sends of an unanswered order
	retryDelay     = 15 * time.Second
	maxRetryDelay  = 5 * time.Minute
	minLoadTimeout = 2 * time.Minute
	loadTimeFactor = 5 // allowed times of the shortest possible load

	// shortLength is the length of a rollout below which its fixed times shrink
	// in proportion; see scaled.
	shortLength = 10 * time.Minute
	// leastTime is what they shrink to at least: schedulers report each second.
	leastTime = time.Second
	// reportLag is the time from a grant to its report in a rollout shorter than
	// shortLength: the request itself, the report's period and a tick.
	reportLag = 3 * time.Second
	// leastLoadTime is the same for the time that a load may take, and covers an
	// order's timeout and an announcement.
	leastLoadTime = 10 * time.Second
)

// scaled returns a fixed time as it holds in this rollout. The plan's stages are
// parts of the time from start to finish_by; in a rollout shorter than
// shortLength the fixed times shrink with them, because at full length a single
// settleTime would last longer than a stage. Requests that last longer than the
// scaled settleTime then bias the first samples of a stage, so such a rollout
// suits only a model whose requests take less than a 60th of its length.
func (s *State) scaled(d time.Duration) time.Duration {
	part := min(1, float64(s.length())/float64(shortLength))
	return max(min(d, leastTime), time.Duration(part*float64(d)))
}

func (s *State) length() time.Duration { return s.FinishBy.Sub(s.StartedAt) }

// at maps a part of the plan to a time. Where loading the fleet needs more than
// the planned end phase, the end phase is stretched and the rest compressed.
func (s *State) at(part float64) time.Time {
	late := s.latePart()
	if part >= lateStart {
		part = 1 - (1-part)*late/(1-lateStart)
	} else {
		part *= (1 - late) / lateStart
	}
	return s.StartedAt.Add(time.Duration(part * float64(s.length())))
}

// latePart returns the part of the time that the stages after the early ones get.
func (s *State) latePart() float64 {
	load := float64(s.Budget.Duration(s.present(), s.LoadBytes)) / float64(s.length())
	return min(max(1-lateStart, 1.5*load+0.1), 0.9)
}

// loadable reports whether the weight store's rate lets all endpoints load in time.
func (s *State) loadable() bool {
	return s.Budget.Duration(s.present(), s.LoadBytes) < time.Duration(0.8*float64(s.length()))
}

func (s *State) minHold() time.Duration {
	return time.Duration(holdPart * float64(s.length()))
}

func (s *State) finishAt() time.Time {
	lead := min(time.Duration(finishPart*float64(s.length())), finishLead)
	return s.FinishBy.Add(-max(lead, leastTime))
}

// loaded reports whether the fleet's outstanding work is near its peak.
func (s *State) loaded() bool {
	peak := s.Peak
	if s.TickedAt.Before(s.at(peakBy)) {
		peak = max(peak, peakPart*float64(s.capacity()))
	}
	return peak > 0 && s.Smoothed >= loadedPart*peak
}

// capacity returns the tokens that all endpoints carry, or 0 if one is unknown.
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

// wanted returns how many endpoints a stage needs on the new version.
func (s *State) wanted(stage int) int {
	n := s.present()
	reserve := max(1, int(reservePart*float64(n)))
	need := (n*stages[stage].PerMille + 999) / 1000
	return max(1, min(need, n-reserve))
}

// targetShare returns the share that is right now, per mille. While endpoints
// are still missing, the share follows their number, so that neither version's
// endpoints carry more than their part.
func (s *State) targetShare() int {
	ready, _ := s.count(s.NewVersion)
	old, _ := s.count(s.OldVersion)
	switch {
	case s.Phase == Finished:
		return 1000
	case s.Phase != Running || ready == 0:
		return 0
	}
	share := stages[s.Stage].PerMille
	belowEqual := share*s.present() < 1000*ready
	if 0 < s.Stage && s.Stage < earlyStages && (s.Saving || !s.loaded() && !belowEqual) {
		share = savingShare
	}
	if s.Stage < earlyStages && s.length() < shortLength {
		share = min(share, s.sparingShare())
	}
	if ready < s.wanted(s.Stage) {
		share = min(share, 1000*ready/(ready+old))
	}
	if earlyStages <= s.Stage && s.Stage < len(stages)-1 {
		share = min(share, s.doubtfulShare())
	}
	return share
}

// doubtfulShare returns the share in per mille that the later stages have while
// something speaks against the new version, and 1000 if nothing does. Failed
// loads and refused orders are no evidence that more traffic would add to.
func (s *State) doubtfulShare() int {
	switch {
	case !s.movesTrusted():
		return max(savingShare, s.leastShare())
	case s.Suspect && s.Exposure() > exposureLimit:
		return max(suspectShare, s.leastShare())
	}
	return 1000
}

// movesTrusted reports whether loads of the new version, and orders to load it,
// succeed often enough to raise its share.
func (s *State) movesTrusted() bool {
	return s.LoadFails.trusted() && s.OrderFails.trusted()
}

// spent reports whether the new version has had exposureLimit of the traffic and
// would stay below exposureAim if it were taken back now.
func (s *State) spent() bool {
	exposure := s.Exposure()
	return exposureLimit < exposure && exposure < exposureAim
}

// sparingShare returns the share in per mille, at least savingShare, with which
// the exposure stays below exposureLimit until the next reports come in. In an
// hour's rollout one report is a small part of the traffic; in one of half a
// minute the requests of reportLag at 10% would alone be more than 1%.
func (s *State) sparingShare() int {
	old, fresh := s.Judge.Totals()
	all := float64(old.Requests + fresh.Requests)
	passed := s.TickedAt.Sub(s.StartedAt)
	if all == 0 || passed <= 0 {
		return savingShare
	}
	left := exposureLimit*all - float64(fresh.Requests)
	perLag := all * reportLag.Seconds() / passed.Seconds()
	return max(savingShare, int(1000*left/perLag))
}

// leastShare returns the share that the old version's endpoints cannot carry,
// per mille; 1000 when a capacity is unknown.
func (s *State) leastShare() int {
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
	if s.Smoothed == 0 {
		return 0
	}
	return int(1000 * max(0, 1-usablePart*float64(capacity)/s.Smoothed))
}

// counts reports whether requests of the new version count as evidence for the
// present stage.
func (s *State) counts() bool {
	share := stages[s.Stage].PerMille
	ready, _ := s.count(s.NewVersion)
	return s.Share == share && (s.loaded() || share*s.present() < 1000*ready)
}

// evidence returns how many such requests the present stage asks for.
func (s *State) evidence() int {
	if s.Stage < earlyStages-1 {
		return earlyEvidence
	}
	return stageEvidence
}

// loadTimeout returns how long a load may take.
func (s *State) loadTimeout() time.Duration {
	return max(leastLoadTime, s.scaled(minLoadTimeout), loadTimeFactor*s.Budget.Duration(1, s.LoadBytes))
}
