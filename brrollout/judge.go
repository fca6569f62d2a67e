package brrollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"bramleyroute/brwire"
)

// Metric is a count of bad requests on which the two versions are compared.
type Metric uint8

// Metrics on which the versions are compared.
const (
	Errors     Metric = iota // requests that ended with an error
	SlowFirst                // time to the first token exceeds the route's target
	SlowTokens               // mean time between tokens exceeds the route's target
	metricCount
)

// String returns the name of m in snake case.
func (m Metric) String() string {
	return [...]string{"errors", "slow_first", "slow_tokens"}[m]
}

// False positive rates of the Judge.
const (
	// Alpha limits the probability that a version as good as the old one is ever
	// judged worse, over all routes and metrics and the whole rollout.
	Alpha = 0.001
	// AlphaDoubtful is the same limit for the level that suffices once the new
	// version has had the traffic that a bad version may have.
	AlphaDoubtful = 0.009
	// AlphaHold is the same limit for the level that holds growth.
	AlphaHold = 0.2

	// unclearLevel is the log likelihood ratio, on any one route and metric, from which
	// the evidence isn't clear enough to exceed the traffic that a bad version may have.
	// Such evidence is 20 times as likely of a worse version as of a good one.
	unclearLevel = 3

	// allRoutes is the name of the row for all routes together.
	allRoutes = "all"

	sideCount  = 2 // worse and better
	phaseCount = 2 // while the old version has enough traffic to compare with, and afterwards
	loadCount  = 2 // all blocks, and blocks under load
)

// Parameters of the blocks of evidence.
const (
	// blockLength is the minimum length of a block. A block counts both versions
	// over the same time, so that a busy fleet affects both counts.
	blockLength = 5 * time.Second
	// blockLimit is the age at which a block is closed that has requests of the new
	// version only while the old version has traffic, or that isn't large; see complete.
	blockLimit = time.Minute
	// blockCap limits the amount that one block adds to a log likelihood ratio.
	// Failures occur in clusters, which the binomial model doesn't describe, so a
	// verdict requires evidence from at least three separate blocks.
	blockCap = 4.0
	// minOldFraction is the fraction of the requests of a block that the old version
	// needs for a concurrent comparison. Below it nearly all bad requests are expected
	// to be the new version's, so that they say little.
	minOldFraction = 0.25
	// referenceWindow is the number of requests of the old version over which one
	// reference rate is computed.
	referenceWindow = 200
	// firstStartWeight is the weight of a fault that begins with the first block without
	// enough old traffic. Of the remaining weight each later block gets the fraction
	// laterStartWeight, since that phase has some 100 blocks in the standard stages.
	firstStartWeight = 0.5
	laterStartWeight = 1.0 / 128
)

// Rate ratios over which the likelihood ratios are mixed with equal weights. The
// smallest one determines the accepted difference: the evidence for a ratio r grows
// only if the true ratio is above (r-1)/ln r, which is 1.23 for r = 1.5.
var (
	worseRatios  = [...]float64{1.5, 2, 3, 5, 10, 30, 100}
	betterRatios = [...]float64{0.25, 0.5}
	afterRatios  = [...]float64{1.5, 2, 4, 8}
)

// Counts holds the number of ended requests and of those that were bad by each
// metric.
type Counts struct {
	Requests int              `cbor:"requests"`
	Bad      [metricCount]int `cbor:"bad"`
}

func (c *Counts) add(s brwire.Samples) {
	c.Requests += s.Requests
	c.Bad[Errors] += s.Errors
	c.Bad[SlowFirst] += s.SlowFirst
	c.Bad[SlowTokens] += s.SlowTokens
}

// Evidence holds the log likelihood ratios of one metric on one route, one for
// each rate ratio.
type Evidence struct {
	Worse  [len(worseRatios)]float64  `cbor:"worse"`
	Better [len(betterRatios)]float64 `cbor:"better"`
	After  [len(afterRatios)]float64  `cbor:"after"`
	// AfterBlocks is the number of blocks in After.
	AfterBlocks int `cbor:"after_blocks,omitempty"`
}

// RouteCounts holds the counts of one route over the whole rollout.
type RouteCounts struct {
	Route     string               `cbor:"route"`
	Old       Counts               `cbor:"old"`
	New       Counts               `cbor:"new"`
	Window    Counts               `cbor:"window"`    // old version, in the current reference window
	Reference [metricCount]float64 `cbor:"reference"` // highest rate of the old version in any one window
}

// RouteEvidence holds the evidence on one route.
type RouteEvidence struct {
	All    [metricCount]Evidence `cbor:"every"`  // from all blocks
	Loaded [metricCount]Evidence `cbor:"loaded"` // from blocks that began under load
}

// Block holds the counts of one pool and route over a short time.
type Block struct {
	Pool   string    `cbor:"pool"`
	Route  string    `cbor:"route"`
	Since  time.Time `cbor:"since"`
	Loaded bool      `cbor:"loaded"` // the fleet was loaded when the block began
	Old    Counts    `cbor:"old"`
	New    Counts    `cbor:"new"`
	// SettlingShare is the highest Judge.SettlingShare during the block.
	SettlingShare int `cbor:"settling_share,omitempty"`
}

// Judge is a sequential test of a new version against the old one, per route,
// on Errors, SlowFirst and SlowTokens. It is a value: Add and Close return a new
// Judge and leave the receiver unchanged.
//
// While both versions have traffic, the test is a mixture sequential probability
// ratio test (mixture: Robbins, Ann. Math. Statist. 41 (1970) 1397-1409; always
// valid use: Johari, Pekelis and Walsh, Operations Research 70 (2022) 1806-1821;
// conditional form for counts whose common rate changes with time: Lindon and
// Malek, NeurIPS 2022). In each block of one pool and route, let q be the new
// version's fraction of the ended requests, k the number of bad requests of both
// versions and x that of the new one. If the versions are equally good, each bad
// request belongs to the new version with probability q, independent of the common
// rate in that block. At a rate ratio of r the probability is q r/(1-q+q r). The
// statistic is the mean over the ratios r in worseRatios of
//
//	Π_blocks r^x / (1-q+q r)^k.
//
// Requests are drawn without replacement, which makes the expectation of each
// factor at most 1 (Hoeffding, J. Amer. Statist. Assoc. 58 (1963) 13-30, theorem
// 4), as does the limit blockCap on the logarithm. The statistic is thus a
// supermartingale, and by Ville's inequality the probability that it ever exceeds
// 1/a is at most a.
//
// In a block from shortly after a growth of the share, q is at least the share. Of the
// new version's requests then, those that fail or are short end first, so that its
// fraction of the ended ones would be too low a q for the bad ones. A request was sent
// to it with at most the probability of the highest recent share, whenever it started.
//
// Where the old version has less than minOldFraction of the requests of a block, or
// none, a concurrent comparison has little power or is impossible. The statistic is
// then the mean over afterRatios f of the binomial likelihood
// ratio of the rate f p against p. Here p is 1.5 times the highest rate of the old
// version in any window of referenceWindow requests of this rollout, plus one
// percent. The statistic is a supermartingale for every rate up to p. The fault may
// begin in any block of this phase, so the statistic is also a mean, with weights set
// beforehand, over the block from which on the ratios are multiplied. Without that,
// minutes without a fault would have to be outweighed before one that begins at full
// traffic shows.
//
// The evidence of all routes together is, for each ratio, the product of the
// evidence of the routes, which is also a supermartingale. It detects a fault that
// affects every route before any single route has enough requests.
//
// The limit Alpha is divided equally between the sides (worse, better), the phases
// (with enough traffic of the old version to compare, and without), the selections of blocks (all,
// under load) and the metrics. The rows are all routes together and then each route
// in order of appearance. The i-th row gets the fraction 1/(i (i+1)), because
// these fractions sum to one for any number of routes.
type Judge struct {
	OldVersion string `cbor:"old_version"`
	NewVersion string `cbor:"new_version"`
	// BlockLength is the minimum length of a block, and BlockLimit its maximum length.
	// 0 means 5 s and 1 min.
	BlockLength time.Duration `cbor:"block_length,omitempty"`
	BlockLimit  time.Duration `cbor:"block_limit,omitempty"`

	Loaded   bool            `cbor:"loaded"`          // see WithTraffic
	Share    int             `cbor:"share,omitempty"` // see WithTraffic
	Routes   []RouteCounts   `cbor:"routes"`          // in order of appearance
	Evidence []RouteEvidence `cbor:"evidence"`        // in the order of Routes; trailing elements may be missing
	Blocks   []Block         `cbor:"blocks"`          // open blocks

	SettlingShare int `cbor:"settling_share,omitempty"` // see WithSettling
}

// Add returns j with the counts of s added. Samples of other versions are ignored.
func (j Judge) Add(now time.Time, s brwire.Samples) Judge {
	if s.Requests == 0 || (s.Version != j.OldVersion && s.Version != j.NewVersion) {
		return j
	}
	j.Routes, j.Blocks = slices.Clone(j.Routes), slices.Clone(j.Blocks)
	r, b := &j.Routes[j.route(s.Route)], j.block(now, s.Pool, s.Route)
	b.SettlingShare = max(b.SettlingShare, j.SettlingShare)
	if s.Version == j.NewVersion {
		r.New.add(s)
		b.New.add(s)
		return j
	}
	r.Old.add(s)
	b.Old.add(s)
	r.Window.add(s)
	r.closeWindow()
	return j
}

// WithTraffic returns j with the current traffic state: loaded reports whether the
// fleet is under load, and share is the new version's share in per mille. A share
// of 0 means that it is not known. A fault that occurs only under load is diluted by
// the evidence of other times, so blocks that begin under load are also tested
// separately.
func (j Judge) WithTraffic(loaded bool, share int) Judge {
	j.Loaded, j.Share = loaded, share
	return j
}

// Close returns j with the evidence of every block that is complete at now.
func (j Judge) Close(now time.Time) Judge {
	return j.closeIf(func(b Block) bool { return j.complete(b, now) })
}

// Flush returns j with the evidence of every open block.
func (j Judge) Flush() Judge {
	return j.closeIf(func(Block) bool { return true })
}

func (j Judge) closeIf(complete func(Block) bool) Judge {
	if !slices.ContainsFunc(j.Blocks, complete) {
		return j
	}
	j.Evidence = append([]RouteEvidence(nil), j.Evidence...)
	open := make([]Block, 0, len(j.Blocks))
	for _, b := range j.Blocks {
		if !complete(b) {
			open = append(open, b)
			continue
		}
		j.addEvidence(b)
	}
	j.Blocks = open
	return j
}

// WithSettling returns j with the highest share in per mille at which a request that
// ends now may have been sent. It is 0 unless the share was raised so recently that the
// ended requests of the new version are a biased sample; see Judge. The beginning and
// the end of such a time complete the open blocks.
func (j Judge) WithSettling(share int) Judge {
	if (share > 0) != (j.SettlingShare > 0) {
		j = j.Flush()
	}
	j.SettlingShare = share
	return j
}

// Verdict is the result of the Judge at one time.
type Verdict struct {
	Worse    bool   // the new version is worse
	Doubtful bool   // the evidence has reached the level of AlphaDoubtful
	MayGrow  bool   // the evidence is below the level that holds growth
	Unclear  bool   // the evidence is above unclearLevel
	Reason   string // metric and route that are worse or hold growth
}

// Verdict returns the result of the test for the evidence so far.
func (j Judge) Verdict() Verdict {
	v := Verdict{MayGrow: true}
	for i := range len(j.Evidence) + 1 {
		worseLevel, holdLevel := level(i, Alpha), level(i, AlphaHold)
		e := j.row(i)
		for m := range metricCount {
			all, loaded := &e.All[m], &e.Loaded[m]
			logRatio := max(logMean(all.Worse[:]), logMean(all.After[:]), logMean(loaded.Worse[:]), logMean(loaded.After[:]))
			v.Unclear = v.Unclear || logRatio >= unclearLevel
			if logRatio < holdLevel {
				continue
			}
			v.MayGrow, v.Reason = false, j.reason(i, m, logRatio)
			v.Doubtful = v.Doubtful || logRatio >= level(i, AlphaDoubtful)
			if logRatio >= worseLevel {
				v.Worse = true
				return v
			}
		}
	}
	return v
}

// Better lists the routes and metrics on which the new version is better, with the
// same limit on the probability of an error.
func (j Judge) Better() []string {
	var names []string
	for i := range len(j.Evidence) + 1 {
		e := j.row(i)
		for m := range metricCount {
			if logMean(e.All[m].Better[:]) >= level(i, Alpha) {
				names = append(names, j.counts(i).Route+" "+m.String())
			}
		}
	}
	return names
}

// counts returns the counts of the i-th row.
func (j Judge) counts(i int) RouteCounts {
	if i > 0 {
		return j.Routes[i-1]
	}
	all := RouteCounts{Route: allRoutes}
	all.Old, all.New = j.Totals()
	return all
}

// level returns the level of the logarithm of a statistic of the i-th row, counted
// from 0, for a total error probability of at most alpha.
func level(i int, alpha float64) float64 {
	return math.Log(float64(sideCount*phaseCount*loadCount*int(metricCount)) * float64((i+1)*(i+2)) / alpha)
}

// Totals returns the counts of each version over all routes.
func (j Judge) Totals() (oldCounts, newCounts Counts) {
	for _, r := range j.Routes {
		oldCounts.Requests += r.Old.Requests
		newCounts.Requests += r.New.Requests
		for m := range metricCount {
			oldCounts.Bad[m] += r.Old.Bad[m]
			newCounts.Bad[m] += r.New.Bad[m]
		}
	}
	return oldCounts, newCounts
}

// route returns the index of a route. It adds the route if it is new.
func (j *Judge) route(name string) int {
	for i := range j.Routes {
		if j.Routes[i].Route == name {
			return i
		}
	}
	j.Routes = append(j.Routes, RouteCounts{Route: name})
	return len(j.Routes) - 1
}

func (j *Judge) block(now time.Time, pool, route string) *Block {
	for i := range j.Blocks {
		if j.Blocks[i].Pool == pool && j.Blocks[i].Route == route {
			return &j.Blocks[i]
		}
	}
	j.Blocks = append(j.Blocks, Block{Pool: pool, Route: route, Since: now, Loaded: j.Loaded})
	return &j.Blocks[len(j.Blocks)-1]
}

// complete reports whether b can be closed at now. A block must be large enough that
// at least one of its requests is expected to be the new version's. In a smaller one
// the new version's fraction is far above its share if it has a request at all, and a
// bad one then adds little evidence; blocks without requests of the new version add
// none, so that the old version's requests in them would be lost.
func (j Judge) complete(b Block, now time.Time) bool {
	age := now.Sub(b.Since)
	paired := j.Share == 1000 || b.New.Requests == 0 || b.Old.Requests > 0
	large := j.Share == 0 || (b.Old.Requests+b.New.Requests)*j.Share >= 1000
	return age >= cmp.Or(j.BlockLength, blockLength) && paired && large || age >= cmp.Or(j.BlockLimit, blockLimit)
}

func (j Judge) reason(row int, m Metric, logRatio float64) string {
	c := j.counts(row)
	return fmt.Sprintf("%v on route %s: new %d of %d, old %d of %d, log likelihood ratio %.1f",
		m, c.Route, c.New.Bad[m], c.New.Requests, c.Old.Bad[m], c.Old.Requests, logRatio)
}
